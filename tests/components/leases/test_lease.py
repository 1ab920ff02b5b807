"""Tests for leases with frozen holders and lost responses."""

import contextlib

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lacewingdock.components.leases.candidates import rank_candidates
from lacewingdock.components.leases.lease import Lease, LeaseRecord
from lacewingdock.const import COLLECTION_LEASES
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.platform.history import revision_of
from lacewingdock.platform.store import Stored
from lacewingdock.world.objects import Instance
from tests.fakes import FakeStore

PROCESSES = 3


class LeaseMachine(RuleBasedStateMachine):
    """Processes that acquire, renew, freeze and write in any order.

    Guards against a roll-out that returns to an earlier share: the holder
    reads the controlled object and freezes, another process acquires the
    lease and continues, then the first resumes and writes its planned value.
    This happens if a step depends on `held` instead of on a conditional
    update.
    """

    def __init__(self):
        """Start without a holder of the lease."""
        super().__init__()
        self.store = FakeStore()
        self.leases = [
            Lease(
                "rollouts",
                self.store,
                LeaseRecord(holder=f"e{i}", incarnation=f"i{i}"),
            )
            for i in range(PROCESSES)
        ]
        # The planned write of each process: value and expected revision.
        self.plans = [None] * PROCESSES

    process = st.integers(0, PROCESSES - 1)

    @rule(process=process, verb=st.sampled_from(["read", "renew", "leave"]))
    def change(self, process, verb):
        lease = self.leases[process]
        if verb == "read" or lease.held:
            with contextlib.suppress(LacewingdockError):
                getattr(lease, verb)()

    @rule(process=process)
    def take(self, process):
        lease = self.leases[process]
        if not lease.held:
            with contextlib.suppress(LacewingdockError):
                lease.read()
                lease.take()

    @rule(process=process)
    def take_on_an_old_read(self, process):
        if not self.leases[process].held:
            with contextlib.suppress(LacewingdockError):
                self.leases[process].take()

    @rule(lost=st.integers(0, 1))
    def lose_answers(self, lost):
        self.store.lose_answers = lost

    @rule(down=st.integers(0, 3))
    def outage(self, down):
        self.store.down = down == 3

    @rule(process=process)
    def plan_step(self, process):
        if not self.leases[process].held:
            return
        with contextlib.suppress(LacewingdockError):
            found = self.store.get("work", "object")
            fencing = self.leases[process].fencing
            if (found.value or 0) <= fencing:
                self.plans[process] = (fencing, found.revision)

    @rule(process=process)
    def carry_out_step(self, process):
        """Write the planned step, any time after it was planned."""
        plan, self.plans[process] = self.plans[process], None
        if plan:
            with contextlib.suppress(LacewingdockError):
                self.store.put("work", "object", plan[0], plan[1])

    @invariant()
    def numbers_never_fall(self):
        for collection in (COLLECTION_LEASES, "work"):
            numbers = [
                value["fencing"] if collection != "work" else value
                for c, _, value in self.store.history
                if c == collection
            ]
            assert numbers == sorted(numbers)

    @invariant()
    def one_holder_for_each_number(self):
        holders = {}
        for collection, _, value in self.store.history:
            if collection == COLLECTION_LEASES and value["incarnation"]:
                first = holders.setdefault(
                    value["fencing"], value["incarnation"]
                )
                assert first == value["incarnation"]


def test_lease_machine():
    run_state_machine_as_test(
        LeaseMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=150,
            stateful_step_count=40,
        ),
    )


def test_lost_renewal_is_settled_by_reading_back():
    """A holder keeps its lease when the response to a renewal is lost.

    The renewal takes effect, but the holder's revision stays one behind its
    own write. Without reading back, a healthy holder would lose its lease or
    fail every later renewal.
    """
    store = FakeStore()
    lease = Lease("l", store, LeaseRecord(holder="a", incarnation="a1"))
    lease.take()
    store.lose_answers = 1
    with pytest.raises(LacewingdockError):
        lease.renew()
    assert lease.unsettled
    lease.read()
    lease.renew()
    assert (lease.held, lease.fencing, lease.record.renewals) == (True, 1, 2)


def entries(count, domains=3):
    return [
        Instance(
            name=f"entry-{i}",
            role="entry",
            failure_domain=f"d{i % domains}",
            address="127.0.0.1:1",
        )
        for i in range(count)
    ]


@pytest.mark.parametrize(
    ("count", "domains", "spanned"), [(60, 7, 3), (60, 2, 2), (2, 1, 1)]
)
def test_candidates_span_failure_domains(count, domains, spanned):
    found = rank_candidates("l", entries(count, domains), "entry-0")
    assert "entry-0" not in found
    assert len({int(n.split("-")[1]) % domains for n in found}) == spanned


def test_leases_are_spread_over_entries():
    firsts = [rank_candidates(f"l{i}", entries(60), "")[0] for i in range(60)]
    assert max(firsts.count(name) for name in set(firsts)) <= 6


def test_number_of_a_holder_that_the_store_lost_is_not_given_again():
    """A restored store must not cause two holders with one fencing number.

    A holder acquires the lease, the store is restored from an earlier copy,
    and another process, which observed that holder, acquires the lease. The
    fault was that the next number was derived from that of the copy.
    """
    store = FakeStore()
    first, second = (
        Lease("rollouts", store, LeaseRecord(holder=name, incarnation=name))
        for name in ("e0", "e1")
    )
    first.read()
    first.take()
    second.read()
    lost = second.fencing
    copy = Stored("rollouts", revision_of(1, 1), {"fencing": lost - 1})
    store.get = lambda *_: copy
    second.read()
    assert second.fencing == lost
