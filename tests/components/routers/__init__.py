"""Tests of routers."""
