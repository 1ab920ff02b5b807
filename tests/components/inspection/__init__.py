"""Tests of looking into a running router."""
