"""Tests of request traces."""
