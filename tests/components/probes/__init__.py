"""Tests of probing instances for their load."""
