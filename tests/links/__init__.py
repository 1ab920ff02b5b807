"""Tests for the links package."""
