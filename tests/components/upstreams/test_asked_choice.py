"""Tests of placing by what instances say of their load.

The pattern: 68 routers before 37 engines of 16 places, each router with one in
68 of the requests, at 85 in 100 of the places in use.
"""

import heapq
import random
import time

import pytest

from lacewingdock.components.probes import Load
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.world.backend import UpstreamEntry

ROUTERS = 68
ENGINES = 37
PLACES = 16
STREAM_S = 3.0
# 85 in 100 of the places are in use in the mean.
REQUESTS_PER_S = 0.85 * ENGINES * PLACES / STREAM_S
FOR_S = 20.0


class Engines:
    """The engines, and their sidecars as routers find them.

    Attributes:
        now: The time.
        running: Requests at each, by host.
        silent: Hosts whose sidecars do not answer.
        lying: Hosts whose sidecars say that they are idle.
        lost: Hosts whose sidecars say that their engine is lost.
    """

    def __init__(self):
        self.now = 0.0
        self.running = {f"h-{number}": 0 for number in range(ENGINES)}
        self.silent = set()
        self.lying = set()
        self.lost = set()

    def ask(self, hosts):
        """Answer as sidecars do."""
        return {
            host: Load(
                1,
                0 if host in self.lying else self.running[host],
                0.0,
                host in self.lost,
            )
            for host in hosts
            if host not in self.silent
        }

    def announce(self, host, request, unread):
        """Count nothing: a request comes at once here."""


def queued(monkeypatch, engines, asks=True):
    """Return the part of the requests that met a full engine."""
    draw = random.Random(3)
    monkeypatch.setattr(time, "monotonic", lambda: engines.now)
    routers = []
    for number in range(ROUTERS):
        known = Directory()
        for host in engines.running:
            known.take(UpstreamEntry(host, "svc", host, 1, "d", "v1", PLACES))
        chooser = Chooser(known, "d", random.Random(number))
        chooser.prober = engines if asks else None
        routers.append(chooser)
    ends, full, count = [], 0, int(FOR_S * REQUESTS_PER_S)
    for number in range(count):
        engines.now = number / REQUESTS_PER_S
        while ends and ends[0][0] <= engines.now:
            _, _, router, chosen = heapq.heappop(ends)
            engines.running[chosen.entry.host] -= 1
            router.done(chosen)
        router = draw.choice(routers)
        chosen = router.choose("svc", lambda _: True, 1.0, (), f"c-{number}")
        router.began(chosen, 1.0)
        full += engines.running[chosen.entry.host] >= PLACES
        engines.running[chosen.entry.host] += 1
        length_s = draw.uniform(0.5, 1.5) * STREAM_S
        heapq.heappush(ends, (engines.now + length_s, number, router, chosen))
    return full / count


def test_hardly_a_request_meets_a_full_engine(monkeypatch):
    """Symptom: one request in six waits while others have free places.

    Cause: a router knows one request in 68.
    """
    assert queued(monkeypatch, Engines(), asks=False) > 0.1
    assert queued(monkeypatch, Engines()) < 0.02


@pytest.mark.parametrize(
    ("silent", "lying"), [(ENGINES // 2, 0), (ENGINES, 0), (0, 1), (0, 3)]
)
def test_sidecars_that_fail_leave_it_no_worse(monkeypatch, silent, lying):
    """No cliff: half or all of them away, and some that talk nonsense."""
    before = queued(monkeypatch, Engines(), asks=False)
    engines = Engines()
    hosts = sorted(engines.running)
    engines.silent = set(hosts[:silent])
    engines.lying = set(hosts[:lying])
    assert queued(monkeypatch, engines) <= before * 1.1 + 0.02


def test_an_instance_has_no_less_than_this_router_has_there(monkeypatch):
    engines = Engines()
    engines.lying = set(engines.running)
    known = Directory()
    for host in ("h-0", "h-1"):
        known.take(UpstreamEntry(host, "svc", host, 1, "d", "v1", PLACES))
    chooser = Chooser(known, "d", random.Random(1))
    chooser.prober = engines
    found = [
        chooser.choose("svc", lambda _: True, 1.0).entry.host for _ in range(20)
    ]
    assert found.count("h-0") == 10


def test_lost_engine_gets_nothing_while_others_answer(monkeypatch):
    """Symptom: requests go to an engine that is dark, until they time out.

    Cause: from afar it looks like one that reads a long prompt. The process
    beside it sees its report fail within half a second.
    """
    engines = Engines()
    engines.lost = {"h-3", "h-4"}
    queued(monkeypatch, engines)
    assert engines.running["h-3"] == engines.running["h-4"] == 0
