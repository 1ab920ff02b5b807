"""Tests of the detection of poison requests."""
