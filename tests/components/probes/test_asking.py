"""Tests of querying sidecars over real sockets."""

import random
import socket
import threading
import time

import pytest

from lacewingdock.components.probes import (
    Load,
    LoadQuery,
    RequestNotice,
    encode,
)
from lacewingdock.components.probes.const import (
    ANSWER_TIMEOUT_S,
    SILENT_BACKOFF_S,
)
from lacewingdock.components.probes.gauge import EngineGauge
from lacewingdock.components.probes.port import GaugePort
from lacewingdock.components.probes.prober import Prober
from lacewingdock.world.engine_load import EngineLoad
from tests.waiting import wait

WAIT_LONG_S = 5.0


class Site:
    """A router's prober and a sidecar's port.

    Attributes:
        gauge: The load of the sidecar's engine.
        addresses: IP addresses that the sidecar accepts as routers.
        port: The sidecar's port.
        prober: The router's prober.
    """

    def __init__(self):
        self.gauge = EngineGauge()
        self.addresses = {"127.0.0.1"}
        self.port = GaugePort(
            ("127.0.0.2", 0), self.gauge, lambda host: host in self.addresses
        )
        number = self.port.datagrams.sock.getsockname()[1]
        self.prober = Prober("127.0.0.1", number, random.Random(1))
        self.stopping = threading.Event()
        for task in (self.port.listen, self.prober.listen):
            threading.Thread(
                target=task, args=(self.stopping,), daemon=True
            ).start()

    def ask(self, *hosts):
        """Query until a sidecar answers: a busy machine may be slow."""
        end = time.monotonic() + WAIT_LONG_S
        while time.monotonic() < end:
            if found := self.prober.ask(hosts or ("127.0.0.2",)):
                return found
            time.sleep(SILENT_BACKOFF_S)
        return {}

    def close(self):
        """End the tasks and close the sockets."""
        self.stopping.set()
        for one in (self.port.datagrams, self.prober.datagrams):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.sendto(b"", one.sock.getsockname())
            one.close()


@pytest.fixture
def site():
    """A router and a sidecar."""
    found = Site()
    yield found
    found.close()


def test_load_and_notice(site):
    site.gauge.update(EngineLoad(2, 1), time.monotonic() + 60.0)
    assert site.ask()["127.0.0.2"].running == 3
    site.prober.announce("127.0.0.2", "a", 1.5)
    wait(lambda: site.port.promised == 1, WAIT_LONG_S)
    assert site.ask()["127.0.0.2"].unread in (0.0, 1.5)


def test_silent_sidecar_delays_one_query_and_then_none(site):
    """Guards against each request waiting for a dead sidecar.

    Without a backoff the sidecar is queried before each choice, though it does
    not answer.
    """
    site.addresses.clear()
    start = time.monotonic()
    assert site.prober.ask(["127.0.0.2"]) == {}
    assert time.monotonic() - start >= ANSWER_TIMEOUT_S * 0.9
    asked = site.prober.asked
    for _ in range(1000):
        assert site.prober.ask(["127.0.0.2"]) == {}
    assert site.prober.asked <= asked + 3


def test_unknown_sender_is_refused(site):
    """Guards against any host keeping work away from an engine."""
    site.gauge.update(EngineLoad(0, 0), time.monotonic() + 60.0)
    site.addresses.clear()
    site.prober.announce("127.0.0.2", "a", 1.5)
    wait(lambda: site.port.datagrams.refused >= 1, WAIT_LONG_S)
    assert site.port.promised == 0
    assert site.prober.ask(["127.0.0.2"]) == {}


@pytest.mark.parametrize(
    "data",
    [b"nonsense", encode(LoadQuery(1)), encode(RequestNotice("a", 1.0))],
)
def test_message_other_than_an_answer_is_refused(site, data):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(data, site.prober.datagrams.sock.getsockname())
    wait(lambda: site.prober.datagrams.refused == 1, WAIT_LONG_S)


def test_answer_of_another_host_is_dropped(site):
    """Guards against placement by the answer of a host that was not queried."""
    site.prober._pending = AnyQuery(["127.0.0.2"])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.3", 0))
        address = site.prober.datagrams.sock.getsockname()
        sock.sendto(encode(Load(5, 0, 0.0)), address)
        sock.sendto(b"end", address)
    wait(lambda: site.prober.datagrams.refused == 1, WAIT_LONG_S)
    assert site.prober._pending.asked.loads == {}


class AnyQuery:
    """Pending queries that hold one for any number, sent to some hosts."""

    def __init__(self, hosts):
        self.asked = type("Asked", (), {})()
        self.asked.hosts, self.asked.loads = hosts, {}

    def get(self, _):
        """Return the query."""
        return self.asked
