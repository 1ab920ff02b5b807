"""Tests of the session tokens."""
