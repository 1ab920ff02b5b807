"""Helpers shared by the components."""
