"""Tests of gateway."""
