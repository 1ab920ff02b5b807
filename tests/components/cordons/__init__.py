"""Tests of cordoned failure domains."""
