"""Tests of the gossip between routers."""
