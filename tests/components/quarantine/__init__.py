"""Tests of the quarantine of poison requests."""
