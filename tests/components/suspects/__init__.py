"""Tests of the requests that crash upstream instances."""
