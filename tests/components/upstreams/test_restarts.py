"""Tests of instances that restart under the same id."""

import random
import socket

import pytest

from lacewingdock.components.poison_requests import PoisonRequests
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.connection import UpstreamConnection
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.pool import ConnectionPool
from lacewingdock.exceptions import UpstreamLost
from lacewingdock.world.backend import UpstreamEntry
from lacewingdock.world.call import Call

FIRST, SECOND = 1000, 2000


def entry(born, **changes):
    """Return the entry of an instance's start."""
    fields = {
        "id": "i-1",
        "service": "svc",
        "host": "127.0.0.1",
        "port": 1,
        "failure_domain": "a",
        "version": "v1",
        "slots": 4,
        "born": born,
        **changes,
    }
    return UpstreamEntry(**fields)


def directory(*entries):
    """Return a directory after some entries, applied in order."""
    found = Directory()
    for one in entries:
        found.apply(one)
    return found


def test_nothing_of_the_earlier_start_counts_against_the_later():
    """Guards against: a restarted instance that gets no requests for seconds.

    An instance fails some requests, crashes, and restarts under its id. The
    failures of the earlier start were counted against the later one.
    """
    found = directory(entry(FIRST))
    before = found.instances["i-1"]
    for _ in range(3):
        before.failed(1.0)
    before.running, before.unread, before.last_received_at = 7, 3.0, 9.0
    found.apply(entry(SECOND))
    after = found.instances["i-1"]
    assert after is not before and before.gone and after.open
    assert (after.running, after.unread, after.failures) == (0, 0.0, 0.0)
    assert after.last_received_at == 0.0
    assert found.of_service("svc") == [after]
    # Requests of the earlier start end without changing the counts of the
    # later one.
    Chooser(found, "a", random.Random(1)).done(before)
    assert after.running == 0


@pytest.mark.parametrize(
    ("entries", "born", "leaving"),
    [
        ([entry(FIRST), entry(SECOND)], SECOND, False),
        # The last entry of the earlier start, written late.
        ([entry(SECOND), entry(FIRST)], SECOND, False),
        ([entry(SECOND), entry(FIRST, leaving=True)], SECOND, False),
        ([entry(SECOND), entry(FIRST, port=9)], SECOND, False),
        ([entry(SECOND), entry(SECOND, leaving=True)], SECOND, True),
        # A platform whose entries do not name the time of the start.
        ([entry(0), entry(0, leaving=True)], 0, True),
        ([entry(0), entry(FIRST)], FIRST, False),
    ],
)
def test_newest_start_holds(entries, born, leaving):
    found = directory(*entries).instances["i-1"].entry
    assert (found.born, found.leaving, found.port) == (born, leaving, 1)


def test_late_entry_of_an_earlier_start_brings_nothing_back():
    found = directory(entry(SECOND))
    found.remove("i-1", doubtful=False)
    found.apply(entry(FIRST))
    assert not found.instances
    found.apply(entry(SECOND))
    assert not found.instances
    found.confirm(entry(SECOND).incarnation)
    assert found.instances["i-1"].open


def test_entry_that_lost_its_birth_is_not_the_instances_own():
    assert not directory(entry(FIRST), entry(0)).instances


def test_births_that_are_remembered_are_bounded():
    found = Directory()
    for number in range(5000):
        found.apply(entry(FIRST, id=f"i-{number}"))
        found.remove(f"i-{number}", doubtful=False)
    assert len(found.newest_starts) < 300


def test_connection_of_the_earlier_start_is_not_used_again():
    """Guards against: the first request to a restarted instance is lost.

    An instance crashes without closing an idle connection, and restarts. The
    pool looked up idle connections by the id alone.
    """
    near, far = socket.socketpair()
    pool = ConnectionPool()
    pool.idle[entry(FIRST).incarnation] = [UpstreamConnection(near, 9.0)]
    with pytest.raises(UpstreamLost):
        pool.acquire(entry(SECOND), "c-1", 0.2)
    assert pool.acquire(entry(FIRST), "c-1", 0.2).sock is near
    near.close()
    far.close()


def test_instance_that_was_tried_counts_as_another_after_its_restart():
    found = directory(entry(SECOND), entry(FIRST, id="i-2"))
    chooser = Chooser(found, "a", random.Random(1))
    tried = [entry(FIRST).incarnation, found.instances["i-2"].entry.incarnation]
    chosen = chooser.choose("svc", lambda _: True, 0.0, tried)
    assert chosen.entry == entry(SECOND)


def test_restart_shows_that_the_earlier_start_crashed():
    """Guards against: a poison request that crashes four instances and more.

    Each instance is back under its id, and accepts connections, before the
    request is sent again. A live instance counted as proof that there was no
    crash.
    """
    found = directory(*(entry(FIRST, id=f"i-{n}") for n in range(3)))
    suspects = PoisonRequests(
        found, lambda _: True, None, lambda _: True, random.Random(1)
    )
    call = Call("c", b"POST", b"/x", "h", "/x")
    held = []
    for number in range(3):
        name = found.instances[f"i-{number}"].entry.incarnation
        found.apply(entry(SECOND, id=f"i-{number}"))
        held.append(suspects.lost(call, "w", name))
    assert held == [False, False, True]
