"""Tests of the copies that routers fetch from each other."""

import random
import threading
from types import SimpleNamespace

import msgspec
import pytest

from lacewingdock.components.mirror.copies import CopyAge
from lacewingdock.components.routers import CopyServer, Routers
from lacewingdock.helpers.clock import STEADY
from lacewingdock.platform.objects import Snapshot, StoredObject
from lacewingdock.world.router_entry import RouterEntry
from tests.daemons.router_site import configuration
from tests.slow_link import SlowLink

LINK_MBPS = 5.0
COPY_BYTES = 700_000


class HeldCopy:
    """A mirror whose copy does not change."""

    clock = STEADY

    def __init__(self, spec, revision):
        self.copy = Snapshot(
            revision, {"main": StoredObject("main", revision, spec)}
        )

    def state(self):
        """Return its revision and age."""
        revision = self.copy.revision
        return CopyAge(revision, revision, STEADY.now())

    def snapshot(self):
        """Return the copy."""
        return self.copy


def routes_spec():
    """Return a configuration of many routes."""
    names = {f"route-{number}": "idempotent" for number in range(4000)}
    spec = configuration(9, **names)
    assert len(msgspec.json.encode(spec)) > COPY_BYTES
    return spec


def random_spec():
    """Return content that can't be compressed to less than three quarters."""
    return {"text": random.Random(1).randbytes(COPY_BYTES // 2).hex()}


@pytest.fixture
def serve():
    """Return a function that serves a copy, and returns the slow link to it."""
    stopping, closed = threading.Event(), []

    def start(spec, revision=9):
        server = CopyServer(
            ("127.0.0.1", 0),
            {"config": HeldCopy(spec, revision)},
            SimpleNamespace(doubtful=False),
            lambda _: None,
        )
        listener = server.listener
        threading.Thread(
            target=listener.run, args=(stopping,), daemon=True
        ).start()
        link = SlowLink(listener.address[1], LINK_MBPS)
        closed.extend([listener, link])
        return link

    yield start
    stopping.set()
    for one in closed:
        one.close()


def router_beside(*links):
    """Return the client of some routers' copies."""
    peers = tuple(f"127.0.0.1:{link.port}" for link in links)
    entry = RouterEntry("127.0.0.1:1", "1")
    return Routers(None, "r-1", entry, lambda: peers, random.Random(1))


@pytest.mark.parametrize("spec", [routes_spec, random_spec])
def test_large_copy_arrives_over_a_slow_link(serve, spec):
    """Guards against: a router without the store that never has a change."""
    link = serve(spec())
    copy = router_beside(link).pull("config", 5)
    assert copy.sure
    assert copy.snapshot.revision == 9
    assert copy.snapshot.objects["main"].spec == spec()


def test_copy_of_many_routes_is_compressed(serve):
    link = serve(routes_spec())
    assert router_beside(link).pull("config", 5).snapshot
    assert link.passed < COPY_BYTES / 8


def test_same_copy_is_sent_once(serve):
    """Guards against: a link that is filled with a second, equal copy."""
    links = serve(random_spec()), serve(random_spec())
    assert router_beside(*links).pull("config", 5).snapshot.revision == 9
    assert min(link.passed for link in links) < 1000


def test_silent_router_is_given_up(serve):
    link = serve(random_spec())
    link.stalled.set()
    began = STEADY.now()
    assert router_beside(link).pull("config", 5).snapshot is None
    assert STEADY.now() - began < 1.0
