"""Tests of the choice of versions and upstreams."""
