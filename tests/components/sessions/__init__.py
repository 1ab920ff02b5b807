"""Tests of the sessions."""
