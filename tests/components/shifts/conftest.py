"""Fixtures of the roll-outs' tests."""

import pytest

from tests.components.shifts.fakes import Clock


@pytest.fixture
def clock(monkeypatch):
    return Clock(monkeypatch)
