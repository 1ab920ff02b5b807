"""Fixtures for the tests of roll-outs."""

import pytest

from tests.components.traffic_shifting.fakes import Clock


@pytest.fixture
def clock(monkeypatch):
    return Clock(monkeypatch)
