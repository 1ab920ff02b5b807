"""Tests for requests that crash upstreams, with real processes."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.deployment import Deployment, Shape, wait_until
from bench.example import apply_example
from bench.http import call
from lacewingdock.components.quarantine.storage import (
    list_quarantines,
    release_quarantine,
)
from lacewingdock.platform.store import ObjectStore
from standins.engine import CRASH_WORD
from tests.common import chat
from tests.components.quarantine.common import crashed_engines

WORKERS = 4
SHAPE = Shape(entries=2, workers=WORKERS, booking_workers=1)


@pytest.fixture
def deployment():
    with Deployment(SHAPE) as running:
        apply_example(running)
        yield running


def crash(deployment, entry="entry-0", word="sofa"):
    return chat(deployment, f"{word} {CRASH_WORD}", entry=entry)


def test_a_crashing_request_sent_again_is_quarantined(deployment):
    """A request crashes one upstream after another.

    Symptom: the pool loses one upstream for each attempt.
    Events: a request crashes its upstream; the entry retries it elsewhere; the
    caller is refused and sends it again, also through the other entry.
    Cause: each attempt appears as just another upstream failure.
    """
    replies = [crash(deployment, f"entry-{i % 2}") for i in range(10)]
    assert len(crashed_engines(deployment)) <= 2
    assert {r.status for r in replies[1:]} == {422}, replies
    assert {r.json()["code"] for r in replies[1:]} == {"quarantined"}
    assert {r.json()["ran"] for r in replies[1:]} == {"no"}
    assert replies[0].json()["ran"] == "unknown"
    assert chat(deployment, "a wardrobe").status == 200


def test_copies_sent_at_once_through_both_entries(deployment):
    """Copies of a crashing request arrive before the first crash.

    Symptom: all upstreams crash at the same time.
    Events: many copies arrive at both entries at once and are load balanced.
    Cause: evidence exists only after a crash, when the other copies already
    run.
    """
    with ThreadPoolExecutor(20) as pool:
        replies = list(
            pool.map(lambda i: crash(deployment, f"entry-{i % 2}"), range(20))
        )
    assert len(crashed_engines(deployment)) <= 2
    assert {r.json()["code"] for r in replies} == {"quarantined"}


def test_healthy_requests_in_flight_at_a_crash_are_answered(deployment):
    """Healthy requests share the upstream with one that crashes it.

    Symptom: harmless requests fail or are quarantined.
    Events: they wait for their first token when the upstream crashes.
    Cause: from outside they look like the request that caused the crash.
    """
    for index in range(WORKERS):
        call_engine(deployment, index, {"first_s": 1.0})
    with ThreadPoolExecutor(24) as pool:
        healthy = [
            pool.submit(chat, deployment, f"easy {i}", entry=f"entry-{i % 2}")
            for i in range(16)
        ]
        wait_until(
            lambda: sum(running(deployment)) == 16, "requests do not run"
        )
        for index in range(WORKERS):
            call_engine(deployment, index, {"first_s": 0.02})
        crash(deployment)
        replies = [future.result() for future in healthy]
    assert len(crashed_engines(deployment)) == 2
    assert {r.status for r in replies} == {200}, [r.body for r in replies]


def test_quarantine_outlives_the_daemons_until_released(deployment):
    """All daemons are replaced after a request was quarantined.

    Symptom: the request crashes upstreams again after a restart.
    Cause: the evidence in the daemons' memory is lost with them.
    """
    crash(deployment)
    store = ObjectStore(deployment.processes["platform"].url())
    wait_until(lambda: bool(list_quarantines(store)), "not written")
    (fingerprint,) = list_quarantines(store)
    ends = [
        threading.Thread(target=process.kill)
        for name, process in deployment.processes.items()
        if name.startswith(("entry", "worker"))
    ]
    for end in ends:
        end.start()
    for end in ends:
        end.join()
    for name, process in tuple(deployment.processes.items()):
        if process.popen.poll() is not None:
            deployment.restart(name)
    deployment.wait_ready()
    assert crash(deployment).json()["code"] == "quarantined"
    assert not crashed_engines(deployment)
    deployment.wait_revision(release_quarantine(store, fingerprint))
    crash(deployment)
    assert len(crashed_engines(deployment)) == 2


def test_platform_down(deployment):
    """The platform is down when a request starts to crash upstreams.

    Symptom: the entries do not get each other's evidence.
    Cause: evidence sent only through the platform waits until it is back.
    """
    deployment.faults(down=True)
    for index in range(6):
        crash(deployment, f"entry-{index % 2}")
    assert len(crashed_engines(deployment)) <= 2
    deployment.faults()
    store = ObjectStore(deployment.processes["platform"].url())
    wait_until(lambda: len(list_quarantines(store)) == 1, "not written")


def call_engine(deployment, index, change):
    url = deployment.processes[f"engine-{index}"].url()
    return call("POST", f"{url}/control", change)


def running(deployment):
    """Return the number of running requests of each engine."""
    return [
        call("GET", f"{p.url()}/status").json()["running"]
        for name, p in deployment.processes.items()
        if name.startswith("engine-")
    ]
