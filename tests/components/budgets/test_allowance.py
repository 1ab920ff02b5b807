"""Tests of allowances: the amount spent never exceeds the grants."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lacewingdock.components.budgets import const, seconds_left
from lacewingdock.components.budgets.allowance import Allowance, BudgetExhausted
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from tests.fakes import FakeStore

BUDGET = 5_000
ENTRIES = ("e0", "e1", "e2")


def build_allowance(store, clock=lambda: 0.0, entries=3):
    return Allowance(store, "w", "20260102", lambda: entries, clock)


class BudgetMachine(RuleBasedStateMachine):
    """Guards against a workspace that spends more than its budget.

    That happens if an allowance is counted in two places or returned twice.
    Entries acquire and return allowances concurrently and die; writes lose
    their answer, have no effect or take effect late; requests cost less or
    more than was reserved.
    """

    def __init__(self):
        super().__init__()
        self.store = FakeStore()
        self.now = 0.0
        self.spent = 0
        self.excess = 0
        self.open: list[tuple[Allowance, int]] = []
        self.entries = {name: self.start() for name in ENTRIES}

    def start(self):
        """Return an empty allowance for an entry."""
        return build_allowance(self.store, lambda: self.now)

    @rule(
        entry=st.sampled_from(ENTRIES),
        amount=st.integers(1, 1500),
        outcome=st.sampled_from(["ok", "ok", "lost", "dropped", "late"]),
    )
    def begin(self, entry, amount, outcome):
        """Admit a request, or refuse it."""
        self.store.write_outcomes.append(outcome)
        try:
            self.entries[entry].reserve(amount, BUDGET)
            self.open.append((self.entries[entry], amount))
        except LacewingdockError:
            pass
        self.store.write_outcomes.clear()

    @rule(part=st.sampled_from([0.0, 0.5, 1.0, 1.5]))
    def end(self, part):
        """End the oldest request."""
        if self.open:
            allowance, reserved = self.open.pop(0)
            cost = int(reserved * part)
            allowance.settle(reserved, cost)
            self.spent += cost
            self.excess += max(0, cost - reserved)

    @rule(
        entry=st.sampled_from(ENTRIES),
        outcome=st.sampled_from(["ok", "lost", "dropped", "late"]),
    )
    def return_unused(self, entry, outcome):
        """Return the unused amount of an entry."""
        self.store.write_outcomes.append(outcome)
        try:
            self.entries[entry].return_unused()
        except LacewingdockError as error:
            assert error.kind is ErrorKind.PLATFORM_UNAVAILABLE
        self.store.write_outcomes.clear()

    @rule(entry=st.sampled_from(ENTRIES))
    def kill(self, entry):
        """Kill an entry; the cost of its open requests still counts."""
        self.entries[entry] = self.start()

    @rule(wait=st.sampled_from([1.0, 60.0]))
    def wait(self, wait):
        """Let time pass and late writes arrive."""
        self.now += wait
        while self.store.late:
            self.store.apply_late_write()

    @invariant()
    def bounded(self):
        """Check that spent, reserved and unused amounts stay within grants."""
        reserved = sum(amount for _, amount in self.open)
        left = sum(entry.left for entry in self.entries.values())
        stored = self.store.objects.get("budgets", {}).get("20260102.w")
        account = stored.value if stored else {"granted": 0, "returned": 0}
        granted = account["granted"] - account["returned"]
        assert granted <= BUDGET
        assert self.spent + reserved + left <= granted + self.excess


BudgetMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=40
)
TestBudget = BudgetMachine.TestCase


@pytest.mark.parametrize("entries", [1, 4, 1200])
def test_the_budget_is_spent_but_for_a_small_part(entries):
    store = FakeStore()
    now = [0.0]
    # Only a few of the entries that share the budget receive requests.
    users = [build_allowance(store, lambda: now[0], entries) for _ in range(4)]
    spent = 0
    for _ in range(20_000):
        now[0] += 0.1
        for user in users:
            try:
                user.reserve(100_000, 1_000_000_000)
            except BudgetExhausted:
                continue
            user.settle(100_000, 100_000)
            spent += 100_000
    assert 0.99 < spent / 1_000_000_000 <= 1.0
    assert len(store.history) <= const.MAX_GRANTS


# Guards against requests that each wait for the platform and then fail during
# an outage: with the allowance used up, each one called the platform itself.
def test_an_outage_is_bounded_by_what_was_granted():
    store = FakeStore()
    user = build_allowance(store)
    user.reserve(10, BUDGET)
    store.down = True
    granted = user.left
    while user.left >= 100:
        user.reserve(100, BUDGET)
    calls = dict(store.calls)
    for _ in range(5):
        with pytest.raises(LacewingdockError) as caught:
            user.reserve(100, BUDGET)
        error = caught.value
        assert (error.kind, error.ran) == (
            ErrorKind.PLATFORM_UNAVAILABLE,
            "no",
        )
    assert 0 < granted < BUDGET
    assert store.calls["budgets"] == calls["budgets"] + 1


# Guards against requests that wait for the platform, or fail in its outage,
# while most of the daily budget is left: an allowance that is renewed only once
# it is used up may run out while the platform is down.
def test_an_allowance_is_renewed_before_it_runs_out():
    store = FakeStore()
    now = [0.0]
    user = build_allowance(store, lambda: now[0])
    user.refill(BUDGET)
    first = user.left
    assert first > 0
    user.reserve(first * 2 // 3, BUDGET)
    now[0] += 60
    user.refill(BUDGET)
    assert user.left > first // 3
    assert len(store.history) == 2
    user.refill(BUDGET)
    assert len(store.history) == 2


@pytest.mark.parametrize(
    ("now", "left"), [(0.0, 86_400), (86_399.0, 1), (3 * 86_400 + 60, 86_340)]
)
def test_seconds_to_the_days_end(now, left):
    assert seconds_left(now) == left


class ConflictingStore(FakeStore):
    """A store in which other entries update the account before each write.

    Attributes:
        conflicts: Number of writes that still conflict.
    """

    def __init__(self, conflicts):
        super().__init__()
        self.conflicts = conflicts

    def put(self, collection, name, value, expect, purpose):
        """Write an object, or raise a conflict."""
        if self.conflicts:
            self.conflicts -= 1
            raise LacewingdockError(ErrorKind.CONFLICT, name)
        return super().put(collection, name, value, expect, purpose)


@pytest.mark.parametrize(
    ("conflicts", "is_granted"),
    [
        (0, True),
        (const.MAX_CONFLICT_ATTEMPTS - 1, True),
        (const.MAX_CONFLICT_ATTEMPTS, False),
    ],
)
def test_entries_that_take_at_once(conflicts, is_granted):
    """Guards against refused requests although the budget is unused.

    All entries start and acquire their first grant at the same moment; one
    write wins. Without a backoff the other entries retry at once, conflict
    again and soon use up their retries.
    """
    pauses = []
    store = ConflictingStore(conflicts)
    entry = Allowance(
        store, "w", "20260102", lambda: 3, lambda: 0.0, pauses.append
    )
    if is_granted:
        entry.reserve(10, BUDGET)
    else:
        with pytest.raises(LacewingdockError) as refused:
            entry.reserve(10, BUDGET)
        assert refused.value.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert len(pauses) == min(conflicts, const.MAX_CONFLICT_ATTEMPTS - 1)
    assert sum(pauses) <= 1.0 + 0.01
    # Each backoff is random within an exponentially growing bound.
    bounds = [const.CONFLICT_BACKOFF_S * 2**n for n in range(len(pauses))]
    bounds = [min(b, const.MAX_CONFLICT_BACKOFF_S) for b in bounds]
    assert all(0 < p <= b for p, b in zip(pauses, bounds, strict=True))
