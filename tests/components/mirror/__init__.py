"""Tests of mirror."""
