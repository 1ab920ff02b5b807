"""Tests of the operators' language."""
