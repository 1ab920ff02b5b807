"""Benchmarks, load and the demo."""
