"""Tests of the cordons of failure domains."""
