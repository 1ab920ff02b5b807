"""Tests of the order of what an instance's entries report."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from lacewingdock.components.upstreams.directory import EXPIRY_S, Directory
from lacewingdock.components.upstreams.entry_order import WRITE_DELAY_S
from lacewingdock.platform.history import revision_of
from tests.components.upstreams.entries import entry

READY, DRAINING = False, True
# Seconds: heartbeats, and the silence after which an entry is removed.
HEARTBEAT_S = 1.2
SILENCE_S = 3 * HEARTBEAT_S


class Clock:
    """A clock that a test sets."""

    time = 100.0

    def now(self):
        return self.time


def written(sequence, *, leaving=READY, born=0, created=1, **changes):
    """Return an entry of the instance `a`."""
    return entry(
        "a",
        sequence=sequence,
        leaving=leaving,
        born=born,
        created=created,
        **changes,
    )


LATE_S = st.floats(1.0, WRITE_DELAY_S)
REMOVED = None
# Entries in the order in which they arrive, and which of two ports gets
# requests at once, once the instance says that it serves, and after the time
# in which an entry without renewals expires; 0 for none.
ORDERS = {
    "a renewal": ([written(1), written(4)], 80, 80, 80),
    "a change": ([written(1), written(2, port=81)], 81, 81, 81),
    "an earlier report": ([written(4), written(3, port=81)], 80, 80, 81),
    "ready after draining": (
        [written(3), written(5, leaving=DRAINING), written(4)],
        0,
        0,
        0,
    ),
    "ready with a higher number after draining": (
        [written(3), written(5, leaving=DRAINING), written(9)],
        0,
        0,
        0,
    ),
    "draining with a lower number": (
        [written(5), written(4, leaving=DRAINING)],
        0,
        0,
        0,
    ),
    "draining, removed, and ready": (
        [written(1), written(5, leaving=DRAINING), REMOVED, written(4)],
        0,
        0,
        0,
    ),
    "removed and ready": ([written(1), REMOVED, written(4)], 0, 80, 80),
    "removed and created anew, unseen": (
        [written(1), written(4, created=9)],
        0,
        80,
        80,
    ),
    "the same entry after the store was restored": (
        [
            written(1, created=revision_of(1, 9)),
            written(1, created=revision_of(2, 9)),
        ],
        80,
        80,
        80,
    ),
    "a later start whose numbers begin anew": (
        [written(7, born=1), written(1, born=2, port=81)],
        81,
        81,
        81,
    ),
    "a later start after draining": (
        [written(7, born=1, leaving=DRAINING), written(1, born=2)],
        80,
        80,
        80,
    ),
    "an earlier start": (
        [written(7, born=2), written(9, born=1, port=81)],
        80,
        80,
        80,
    ),
    "numbers that begin anew without a time of start": (
        [written(7), written(1, port=81)],
        80,
        80,
        81,
    ),
    "an entry without a time of start after one with it": (
        [written(7, born=1), written(8)],
        0,
        0,
        0,
    ),
    "two writers by turns": (
        [written(7), written(2, port=81), written(8), written(3, port=81)],
        80,
        80,
        81,
    ),
}


def used_port(directory):
    """Return the port of the instance if it gets requests, else 0."""
    found = directory.instances.get("a")
    return found.entry.port if found is not None and found.open else 0


@pytest.mark.parametrize(
    ("entries", "at_once", "confirmed", "expired"), ORDERS.values(), ids=ORDERS
)
@pytest.mark.parametrize("relisted", [False, True], ids=["watched", "listed"])
def test_which_report_is_in_effect(
    entries, at_once, confirmed, expired, relisted
):
    """Guards against: a late write that replaces a newer report."""
    clock = Clock()
    directory = Directory(clock)
    for one in entries:
        if one is REMOVED:
            directory.remove("a", doubtful=False)
        elif relisted:
            directory.replace_all({"a": one}, doubtful=False)
        else:
            directory.apply(one)
    assert used_port(directory) == at_once
    for one in directory.returned():
        directory.confirm(one.entry.incarnation)
    assert used_port(directory) == confirmed
    clock.time += WRITE_DELAY_S + EXPIRY_S
    directory.apply_held()
    assert used_port(directory) == expired


def test_entry_that_expired_in_an_outage_is_used_when_it_is_back():
    directory = Directory(Clock())
    directory.apply(written(1))
    directory.remove("a", doubtful=True)
    directory.apply(written(2, created=9), doubtful=True)
    assert used_port(directory) == 80


def test_entry_that_is_back_long_after_an_outage_is_used():
    """Guards against: a service without instances, as all are to be asked."""
    directory = Directory(Clock())
    directory.apply(written(1))
    directory.remove("a", doubtful=True)
    directory.drop_lapsed()
    assert used_port(directory) == 0
    directory.apply(written(2, created=9))
    assert used_port(directory) == 80
    assert directory.left_starts() == []


def test_confirmation_of_an_entry_that_was_removed_meanwhile_has_no_effect():
    directory = Directory(Clock())
    directory.apply(written(1))
    directory.remove("a", doubtful=False)
    directory.apply(written(2, created=9))
    (found,) = directory.returned()
    directory.remove("a", doubtful=False)
    directory.confirm(found.entry.incarnation)
    assert used_port(directory) == 0


def test_series_of_late_writes_does_not_look_like_renewals():
    """Guards against: an instance that left, kept listed by late writes."""
    machine = LateWrites()
    machine.answers_checks = False
    machine.leave_by_removal([1.0, 4.5, WRITE_DELAY_S])
    for _ in range(150):
        machine.pass_time(0.1)
        machine.start_that_left_gets_no_requests()


@pytest.mark.parametrize("leaving", [READY, DRAINING])
@pytest.mark.parametrize("serves", [False, True])
def test_router_that_starts_meanwhile_learns_what_left(leaving, serves):
    """Guards against: a restarted router that uses an instance that left."""
    clock = Clock()
    first, second = Directory(clock), Directory(clock)
    first.apply(written(1, leaving=leaving))
    first.remove("a", doubtful=False)
    late = written(0, created=9)
    for one in (first, second):
        one.apply(late)
    assert used_port(second) == 80
    marks = first.left_starts()
    second.apply_peer_departures(marks, "r-1")
    assert used_port(second) == 0
    if not serves:
        return
    for one in second.returned():
        second.confirm(one.entry.incarnation)
    # It has asked the instance itself.
    second.apply_peer_departures(marks, "r-1")
    assert used_port(second) == 80


def test_what_is_listed_and_serves_is_not_announced():
    directory = Directory(Clock())
    directory.apply(written(1))
    assert directory.left_starts() == []
    directory.remove("a", doubtful=False)
    assert directory.left_starts() == []
    directory.apply(written(2, created=9))
    directory.confirm("a")
    assert directory.left_starts() == []


class LateWrites(RuleBasedStateMachine):
    """An instance, its entry in a store that does writes late, and a router.

    Promises: a start that left gets no requests again; one that runs gets them
    once its entry is listed and it says that it serves.
    """

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.directory = Directory(self.clock)
        self.born = 1
        self.sequence = 0
        self.revision = 1
        self.created = 0
        self.stored = None
        self.written_at = 0.0
        self.pending = []
        self.is_leaving = False
        self.is_known_to_leave = False
        self.is_doubtful = False
        self.answers_checks = True
        self.heartbeat()

    def report(self, leaving=READY):
        self.sequence += 1
        return written(self.sequence, leaving=leaving, born=self.born)

    def write(self, spec):
        self.revision += 1
        if self.stored is None:
            self.created = self.revision
        self.stored = written(
            spec.sequence,
            leaving=spec.leaving,
            born=spec.born,
            created=self.created,
        )
        self.written_at = self.clock.time
        self.directory.apply(self.stored, doubtful=self.is_doubtful)

    def remove(self):
        if self.stored is not None:
            self.stored = None
            self.directory.remove("a", doubtful=self.is_doubtful)

    @precondition(lambda self: not self.is_leaving)
    @rule()
    def heartbeat(self):
        self.write(self.report())

    @precondition(lambda self: not self.is_leaving)
    @rule(late_s=LATE_S)
    def heartbeat_that_is_written_late(self, late_s):
        self.write_late([late_s])

    def write_late(self, late_s):
        for one in late_s:
            self.pending.append((self.clock.time + one, self.report()))

    @precondition(lambda self: not self.is_leaving)
    @rule(late_s=st.lists(LATE_S, max_size=2))
    def leave_by_report(self, late_s):
        self.write_late(late_s)
        self.is_leaving = self.is_known_to_leave = True
        self.write(self.report(DRAINING))

    @precondition(lambda self: not self.is_leaving and self.stored)
    @rule(late_s=st.lists(LATE_S, max_size=2))
    def leave_by_removal(self, late_s):
        self.write_late(late_s)
        self.is_leaving = True
        self.is_known_to_leave = not self.is_doubtful
        self.remove()

    @precondition(lambda self: not self.is_leaving)
    @rule()
    def lapse(self):
        self.remove()

    @precondition(lambda self: self.is_leaving)
    @rule()
    def start_again(self):
        self.born += 1
        self.sequence = 0
        self.is_leaving = self.is_known_to_leave = False
        self.heartbeat()

    @rule(answers=st.booleans())
    def health_check(self, answers):
        self.answers_checks = answers

    @rule(doubtful=st.booleans())
    def doubt(self, doubtful):
        self.is_doubtful = doubtful
        if not doubtful:
            self.directory.drop_lapsed()

    @rule()
    def list_again(self):
        listed = {"a": self.stored} if self.stored else {}
        self.directory.replace_all(listed, doubtful=self.is_doubtful)

    @rule(seconds=st.floats(0.1, 4.0))
    def pass_time(self, seconds):
        until = self.clock.time + seconds
        while self.clock.time < until:
            self.clock.time += 0.1
            for due in [p for p in self.pending if p[0] <= self.clock.time]:
                self.pending.remove(due)
                self.write(due[1])
            if not self.is_leaving and self.stored:
                is_due = self.written_at + HEARTBEAT_S <= self.clock.time
                if is_due and self.stored.born == self.born:
                    self.write(self.report())
            if self.written_at + SILENCE_S <= self.clock.time:
                self.remove()
            self.directory.apply_held()

    @invariant()
    def start_that_left_gets_no_requests(self):
        if self.is_known_to_leave:
            assert used_port(self.directory) == 0

    @invariant()
    def start_that_runs_gets_requests(self):
        if self.answers_checks and not self.is_leaving:
            for one in self.directory.returned():
                self.directory.confirm(one.entry.incarnation)
            if self.stored and self.stored.born == self.born:
                assert used_port(self.directory) == 80


LateWrites.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=20
)
TestLateWrites = LateWrites.TestCase
