"""Tests of the orders to engines."""
