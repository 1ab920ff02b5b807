"""Tests of the daemons as processes."""
