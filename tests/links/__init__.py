"""Tests of the links."""
