"""Fixtures of the gateway's tests."""

import time

import pytest

from tests.components.gateway.fakes import GatewayHarness, route


@pytest.fixture
def build_harness():
    """Builds gateways with fake upstreams, and closes the gateways."""
    made = []

    def make(*args, **kwargs):
        made.append(GatewayHarness(*args, **kwargs))
        return made[-1]

    yield make
    for harness in made:
        harness.close()


@pytest.fixture
def build_one_route():
    """Builds gateways with one route; closes gateways and upstreams."""
    built = []

    def build(*upstreams, **changes):
        harness = GatewayHarness([route(**changes)], upstreams)
        built.extend([harness, *upstreams])
        return harness

    yield build
    for one in built:
        one.close()


@pytest.fixture
def clock(monkeypatch):
    """A fake monotonic clock; calling the fixture advances it by seconds."""
    now = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])

    def move(seconds):
        now[0] += seconds

    return move
