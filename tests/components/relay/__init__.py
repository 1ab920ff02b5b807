"""Tests of relaying the store's changes between routers."""
