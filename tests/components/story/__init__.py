"""Tests of story."""
