"""Tests of the runs."""
