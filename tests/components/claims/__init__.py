"""Tests of the claims."""
