"""Tests; the folders mirror the package."""
