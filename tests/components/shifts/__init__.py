"""Tests of shifts."""
