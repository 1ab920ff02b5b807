"""Tests of routes."""
