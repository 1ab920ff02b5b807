"""Tests of asking instances for their load."""
