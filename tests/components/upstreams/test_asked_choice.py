"""Tests of choosing instances by the load that they report to probes.

The load pattern: 68 routers in front of 37 engines of 16 slots, each router
with 1/68 of the requests, at a mean use of 85 % of the slots.
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
SLOTS = 16
STREAM_S = 3.0
# On average, 85 % of the slots are in use.
REQUESTS_PER_S = 0.85 * ENGINES * SLOTS / STREAM_S
FOR_S = 20.0


class Engines:
    """Simulated engines, with the answers of their sidecars to probes.

    Attributes:
        now: The time in seconds.
        running: Requests that run on each engine, by host.
        silent: Hosts whose sidecars do not answer.
        lying: Hosts whose sidecars report an idle engine.
        lost: Hosts whose sidecars report a lost engine.
    """

    def __init__(self):
        self.now = 0.0
        self.running = {f"h-{number}": 0 for number in range(ENGINES)}
        self.silent = set()
        self.lying = set()
        self.lost = set()

    def ask(self, hosts):
        """Return the loads that the sidecars of some hosts report."""
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
        """Do nothing: requests arrive at once in this simulation."""


def queued_share(monkeypatch, engines, asks=True):
    """Return the share of the requests that met a full engine."""
    draw = random.Random(3)
    monkeypatch.setattr(time, "monotonic", lambda: engines.now)
    routers = []
    for number in range(ROUTERS):
        listed = Directory()
        for host in engines.running:
            listed.apply(UpstreamEntry(host, "svc", host, 1, "d", "v1", SLOTS))
        chooser = Chooser(listed, "d", random.Random(number))
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
        full += engines.running[chosen.entry.host] >= SLOTS
        engines.running[chosen.entry.host] += 1
        length_s = draw.uniform(0.5, 1.5) * STREAM_S
        heapq.heappush(ends, (engines.now + length_s, number, router, chosen))
    return full / count


def test_hardly_a_request_meets_a_full_engine(monkeypatch):
    """Guards against: 1 request in 6 waits while other engines are free.

    Cause: each router sees 1/68 of the requests, so its own load counts say
    little about an engine.
    """
    assert queued_share(monkeypatch, Engines(), asks=False) > 0.1
    assert queued_share(monkeypatch, Engines()) < 0.02


@pytest.mark.parametrize(
    ("silent", "lying"), [(ENGINES // 2, 0), (ENGINES, 0), (0, 1), (0, 3)]
)
def test_sidecars_that_fail_leave_it_no_worse(monkeypatch, silent, lying):
    """Silent or lying sidecars make placement no worse than without probes."""
    before = queued_share(monkeypatch, Engines(), asks=False)
    engines = Engines()
    hosts = sorted(engines.running)
    engines.silent = set(hosts[:silent])
    engines.lying = set(hosts[:lying])
    assert queued_share(monkeypatch, engines) <= before * 1.1 + 0.02


def test_own_load_is_a_lower_bound_of_the_reported_load(monkeypatch):
    engines = Engines()
    engines.lying = set(engines.running)
    listed = Directory()
    for host in ("h-0", "h-1"):
        listed.apply(UpstreamEntry(host, "svc", host, 1, "d", "v1", SLOTS))
    chooser = Chooser(listed, "d", random.Random(1))
    chooser.prober = engines
    found = [
        chooser.choose("svc", lambda _: True, 1.0).entry.host for _ in range(20)
    ]
    assert found.count("h-0") == 10


def test_lost_engine_gets_nothing_while_others_answer(monkeypatch):
    """Guards against: requests go to a lost engine until they time out.

    Cause: to a router a lost engine looks like one that reads a long prompt.
    The sidecar beside the engine sees its report fail within half a second.
    """
    engines = Engines()
    engines.lost = {"h-3", "h-4"}
    queued_share(monkeypatch, engines)
    assert engines.running["h-3"] == engines.running["h-4"] == 0
