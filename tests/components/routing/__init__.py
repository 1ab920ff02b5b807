"""Tests of the routing."""
