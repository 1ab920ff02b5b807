"""Tests of the roll-outs."""
