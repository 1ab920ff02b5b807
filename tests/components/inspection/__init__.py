"""Tests of the inspection of a running router."""
