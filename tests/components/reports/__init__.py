"""Tests of the reports."""
