"""Tests for running attempts on a sidecar."""
