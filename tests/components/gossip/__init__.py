"""Tests of what routers tell each other of their load."""
