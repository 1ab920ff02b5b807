"""Tests of the protection against overload."""
