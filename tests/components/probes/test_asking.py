"""Tests of asking sidecars over real sockets."""

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
    """A router that asks, and a sidecar.

    Attributes:
        gauge: What the sidecar knows.
        known: IP numbers that the sidecar takes for routers.
        port: The sidecar's port.
        prober: The router's side.
    """

    def __init__(self):
        self.gauge = EngineGauge()
        self.known = {"127.0.0.1"}
        self.port = GaugePort(
            ("127.0.0.2", 0), self.gauge, lambda host: host in self.known
        )
        number = self.port.datagrams.sock.getsockname()[1]
        self.prober = Prober("127.0.0.1", number, random.Random(1))
        self.stopping = threading.Event()
        for task in (self.port.listen, self.prober.listen):
            threading.Thread(
                target=task, args=(self.stopping,), daemon=True
            ).start()

    def ask(self, *hosts):
        """Ask until somebody answers: a busy machine may be slow."""
        end = time.monotonic() + WAIT_LONG_S
        while time.monotonic() < end:
            if found := self.prober.ask(hosts or ("127.0.0.2",)):
                return found
            time.sleep(SILENT_BACKOFF_S)
        return {}

    def close(self):
        """End the tasks."""
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


def test_load_and_promise(site):
    site.gauge.update(EngineLoad(2, 1), time.monotonic() + 60.0)
    assert site.ask()["127.0.0.2"].running == 3
    site.prober.announce("127.0.0.2", "a", 1.5)
    wait(lambda: site.port.promised == 1, WAIT_LONG_S)
    assert site.ask()["127.0.0.2"].unread in (0.0, 1.5)


def test_silent_sidecar_costs_a_moment_and_then_nothing(site):
    """Symptom: each request waits for a sidecar that is dead.

    Sequence: it does not answer; it is asked before each choice. Cause: it
    was not left alone.
    """
    site.known.clear()
    start = time.monotonic()
    assert site.prober.ask(["127.0.0.2"]) == {}
    assert time.monotonic() - start >= ANSWER_TIMEOUT_S * 0.9
    asked = site.prober.asked
    for _ in range(1000):
        assert site.prober.ask(["127.0.0.2"]) == {}
    assert site.prober.asked <= asked + 3


def test_stranger_is_not_heard(site):
    """Symptom: work is kept from an engine by whoever reaches its port."""
    site.gauge.update(EngineLoad(0, 0), time.monotonic() + 60.0)
    site.known.clear()
    site.prober.announce("127.0.0.2", "a", 1.5)
    wait(lambda: site.port.datagrams.refused >= 1, WAIT_LONG_S)
    assert site.port.promised == 0
    assert site.prober.ask(["127.0.0.2"]) == {}


@pytest.mark.parametrize(
    "data",
    [b"nonsense", encode(LoadQuery(1)), encode(RequestNotice("a", 1.0))],
)
def test_what_is_no_answer_is_refused(site, data):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(data, site.prober.datagrams.sock.getsockname())
    wait(lambda: site.prober.datagrams.refused == 1, WAIT_LONG_S)


def test_answer_of_another_host_is_not_taken(site):
    """Symptom: a router places by the word of whoever guesses a number."""
    site.prober._pending = Everything(["127.0.0.2"])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.3", 0))
        address = site.prober.datagrams.sock.getsockname()
        sock.sendto(encode(Load(5, 0, 0.0)), address)
        sock.sendto(b"end", address)
    wait(lambda: site.prober.datagrams.refused == 1, WAIT_LONG_S)
    assert site.prober._pending.asked.loads == {}


class Everything:
    """Questions of any number, asked of some hosts."""

    def __init__(self, hosts):
        self.asked = type("Asked", (), {})()
        self.asked.hosts, self.asked.loads = hosts, {}

    def get(self, _):
        """Return the question."""
        return self.asked
