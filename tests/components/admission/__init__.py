"""Tests of the admission."""
