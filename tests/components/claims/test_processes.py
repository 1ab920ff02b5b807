"""Tests of the claims with real processes, kills, freezes and outages.

Every count is the booking workers' own.
"""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.deployment import Deployment, Shape, wait_until
from bench.example import PARTITIONS, apply, apply_example, read_example
from bench.http import call
from tests.common import (
    ask,
    book,
    bookings,
)

SLOW_S = 1.0


@pytest.fixture(scope="module")
def deployment():
    shape = Shape(entries=2, workers=0, booking_workers=2)
    with Deployment(shape) as running:
        apply_example(running)
        yield running


@pytest.fixture
def pool():
    with ThreadPoolExecutor(8) as executor:
        yield executor


@pytest.fixture
def slow(deployment):
    """Let bookings take a while after they landed."""
    set_delay(deployment, SLOW_S)
    yield
    set_delay(deployment, 0.01)


def set_delay(deployment, delay_s):
    for name, process in deployment.processes.items():
        if name.startswith("booking-") and "port" in process.ports:
            call("POST", f"{process.url()}/control", {"delay_s": delay_s})


def count(deployment, key):
    return sum(made["key"] == key for made in bookings(deployment))


def home_of(deployment, key):
    """Wait until a key has landed and return its home's sidecar."""
    wait_until(lambda: count(deployment, key) == 1, f"{key} did not land")
    for index in range(2):
        made = call(
            "GET", f"{deployment.processes[f'booking-{index}'].url()}/bookings"
        )
        if any(m["key"] == key for m in made.json()):
            return deployment.processes[f"booking-sidecar-{index}"]
    raise AssertionError(key)


def settled(deployment, key, entry="entry-1"):
    """Send a key until its home has an answer of its own."""
    replies = []

    def has_answer():
        reply = book(deployment, key, key, entry=entry)
        replies.append(reply)
        assert said(reply)[1] != "no", reply.body
        return said(reply)[0] != "not_home"

    wait_until(has_answer, f"{key}: {replies}", 20)
    return replies[-1]


def said(reply):
    problem = reply.json() if reply.status != 200 else {}
    return problem.get("code", ""), problem.get("ran", "")


def heal(deployment, process):
    """Bring a home back and wait until each partition has one."""
    process.signal(signal.SIGCONT)
    if process.popen.poll() is not None:
        deployment.restart(process.name)
    deployment.wait_ready()
    deployment.wait_homes(PARTITIONS)


def test_home_killed_in_mid_run(deployment, pool, slow):
    """Symptom: a doubled slot.

    Events: it lands, the home dies, the caller sends again to the next home.
    Cause: the next home takes it for new.
    """
    first = pool.submit(book, deployment, "killed", "killed")
    home = home_of(deployment, "killed")
    home.kill()
    again = settled(deployment, "killed")
    assert said(first.result())[1] == "unknown"
    assert said(again) == ("outcome_unknown", "unknown")
    assert count(deployment, "killed") == 1
    heal(deployment, home)


def test_home_frozen_past_its_takeover(deployment, pool, slow):
    """Symptom: a doubled slot, or "not run" of one that landed.

    Events: the home freezes in mid-run; another takes over; the caller sends
    again; the home thaws and is asked for new keys. Cause: it goes on as home.
    """
    first = pool.submit(book, deployment, "frozen", "frozen")
    home = home_of(deployment, "frozen")
    home.signal(signal.SIGSTOP)
    assert said(settled(deployment, "frozen")) == (
        "outcome_unknown",
        "unknown",
    )
    home.signal(signal.SIGCONT)
    keys = [f"thawed-{number}" for number in range(16)]
    entries = ["entry-0", "entry-1"] * 8
    replies = [
        pool.submit(book, deployment, key, key, entry=entry)
        for key, entry in zip(keys, entries, strict=True)
    ]
    for key, reply in zip(keys, replies, strict=True):
        got = reply.result()
        assert count(deployment, key) == (got.status == 200), got.body
    assert said(first.result())[1] in ("", "unknown")
    assert count(deployment, "frozen") == 1
    heal(deployment, home)


def test_platform_down_before_in_and_after(deployment, pool, slow):
    """Symptom: a held answer, an untrue one, or a forgotten outcome."""
    running = pool.submit(book, deployment, "in-outage", "in-outage")
    home = home_of(deployment, "in-outage")
    deployment.faults(down=True)
    started = time.monotonic()
    replies = [book(deployment, f"o{n}", f"o{n}") for n in range(8)]
    assert {said(r) for r in replies} == {("platform_unavailable", "no")}
    assert {r.headers["retry-after"] for r in replies} == {"2"}
    assert time.monotonic() - started < 8 * SLOW_S
    assert running.result().status == 200
    deployment.faults()

    def books():
        return book(deployment, "o1", "o1").status == 200

    wait_until(books, "no booking after the outage", 10)
    assert [count(deployment, f"o{n}") for n in range(3)] == [0, 1, 0]
    # The outcome of the outage's run is in the platform by now.
    home.kill()
    assert settled(deployment, "in-outage").body == running.result().body
    assert count(deployment, "in-outage") == 1
    heal(deployment, home)


def test_lost_answers_of_claim_writes(deployment):
    """Symptom: a refusal or a second run of a claim that was kept."""
    deployment.faults(lose_answers=3, lose_collection="claims")
    replies = [book(deployment, f"l{n}", f"l{n}") for n in range(4)]
    deployment.faults()
    assert [r.status for r in replies] == [200] * 4, replies
    assert [count(deployment, f"l{n}") for n in range(4)] == [1] * 4


def test_entry_killed_and_sent_again_to_the_other(deployment, pool, slow):
    """Symptom: a doubled slot.

    Events: the entry dies with the answer, the caller sends again to the
    other entry during the run and after it. Cause: no shared memory of keys.
    """
    first = pool.submit(book, deployment, "entry", "entry")
    home_of(deployment, "entry")
    deployment.processes["entry-0"].kill()
    during = book(deployment, "entry", "entry", entry="entry-1")
    after = book(deployment, "entry", "entry", entry="entry-1")
    assert first.result().status == 0
    assert (during.status, after.status) == (200, 200)
    assert during.body == after.body
    assert count(deployment, "entry") == 1
    deployment.restart("entry-0")
    deployment.wait_ready()


def test_same_key_with_another_body(deployment, pool, slow):
    """During the run and after it."""
    first = pool.submit(book, deployment, "body-1", "body")
    home_of(deployment, "body")
    during = book(deployment, "body-2", "body")
    assert first.result().status == 200
    after = book(deployment, "body-2", "body", entry="entry-1")
    assert {said(during), said(after)} == {("key_reused", "no")}
    assert count(deployment, "body") == 1


def test_planned_stop_of_the_home_cuts_nothing(deployment, pool, slow):
    """Symptom: a refused or unknown slot at a planned stop."""
    first = pool.submit(book, deployment, "stop", "stop")
    home = home_of(deployment, "stop")
    home.signal(signal.SIGTERM)
    time.sleep(0.2)
    keys = [f"stop-{number}" for number in range(8)]
    others = [pool.submit(book, deployment, key, key) for key in keys[:7]]
    assert first.result().status == 200
    assert [r.result().status for r in others] == [200] * 7
    home.popen.wait(10)
    again = book(deployment, "stop", "stop", entry="entry-1")
    assert again.body == first.result().body
    assert count(deployment, "stop") == 1
    heal(deployment, home)


def test_tickets_in_an_outage(deployment, pool):
    """Symptom: no bookings for minutes, or a doubled one after a freeze.

    Events: the platform is down; tickets are booked and sent again to the
    other entry; a ticket's process freezes with it, is sent again, and thaws;
    another's is killed. Cause: someone else runs a ticket.
    """
    path = "/services/booking/tickets"
    assert ask(deployment, path, {}).status == 404
    allow_tickets(deployment)
    tickets = [ask(deployment, path, {}).json()["ticket"] for _ in range(12)]
    deployment.faults(down=True)
    for ticket in tickets[:6]:
        replies = [
            book(deployment, ticket, ticket, entry=entry)
            for entry in ("entry-0", "entry-1")
        ]
        assert [r.status for r in replies] == [200, 200], replies
        assert replies[0].body == replies[1].body
    home = home_of(deployment, tickets[0])
    home.signal(signal.SIGSTOP)
    first = [pool.submit(book, deployment, t, t) for t in tickets]
    time.sleep(1.0)
    home.signal(signal.SIGCONT)
    assert {said(f.result())[1] for f in first} <= {"", "unknown"}
    again = [book(deployment, t, t, entry="entry-1") for t in tickets]
    assert [r.status for r in again] == [200] * 12
    assert [count(deployment, t) for t in tickets] == [1] * 12
    home.kill()
    gone = book(deployment, tickets[0], tickets[0])
    assert said(gone) == ("not_home", "unknown")
    assert count(deployment, tickets[0]) == 1


def allow_tickets(deployment):
    service = read_example()["service/booking"]
    service["operations"][0]["on_outage"] = "tickets"
    deployment.wait_revision(apply(deployment, {"service/booking": service}))
