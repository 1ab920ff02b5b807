"""Tests of distributed rate limiting to cold and limited instances."""
