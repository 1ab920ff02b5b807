"""Tests of the discovery of routers and of their status."""
