"""Tests of allowances: what is spent never passes what was granted."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lacewingdock.components.budgets import const, seconds_left
from lacewingdock.components.budgets.allowance import Allowance, Exhausted
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from tests.fakes import FakeStore

BUDGET = 5_000
ENTRIES = ("e0", "e1", "e2")


def allowance(store, clock=lambda: 0.0, entries=3):
    return Allowance(store, "w", "20260102", lambda: entries, clock)


class BudgetMachine(RuleBasedStateMachine):
    """Symptom: a workspace spends more than its budget.

    Events: entries take allowances at the same time, give them back, die;
    writes lose their answer, take no effect, take effect late; requests cost
    less or more than was reserved. Cause: an allowance is counted in two
    places, or given back twice.
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
        """Return an entry's allowance with nothing in it."""
        return allowance(self.store, lambda: self.now)

    @rule(
        entry=st.sampled_from(ENTRIES),
        amount=st.integers(1, 1500),
        fate=st.sampled_from(["ok", "ok", "lost", "dropped", "late"]),
    )
    def begin(self, entry, amount, fate):
        """Let a request in, or refuse it."""
        self.store.write_outcomes.append(fate)
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
            held, reserved = self.open.pop(0)
            cost = int(reserved * part)
            held.settle(reserved, cost)
            self.spent += cost
            self.excess += max(0, cost - reserved)

    @rule(
        entry=st.sampled_from(ENTRIES),
        fate=st.sampled_from(["ok", "lost", "dropped", "late"]),
    )
    def give_back(self, entry, fate):
        """Return what is left."""
        self.store.write_outcomes.append(fate)
        try:
            self.entries[entry].give_back()
        except LacewingdockError as error:
            assert error.kind is ErrorKind.PLATFORM_UNAVAILABLE
        self.store.write_outcomes.clear()

    @rule(entry=st.sampled_from(ENTRIES))
    def kill(self, entry):
        """Kill an entry; what its open requests cost still counts."""
        self.entries[entry] = self.start()

    @rule(wait=st.sampled_from([1.0, 60.0]))
    def wait(self, wait):
        """Let time pass and late writes arrive."""
        self.now += wait
        while self.store.late:
            self.store.apply_late_write()

    @invariant()
    def bounded(self):
        """Spent, set aside and left stay within what was granted."""
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
    # A few entries get requests of a budget that all share.
    users = [allowance(store, lambda: now[0], entries) for _ in range(4)]
    spent = 0
    for _ in range(20_000):
        now[0] += 0.1
        for user in users:
            try:
                user.reserve(100_000, 1_000_000_000)
            except Exhausted:
                continue
            user.settle(100_000, 100_000)
            spent += 100_000
    assert 0.99 < spent / 1_000_000_000 <= 1.0
    assert len(store.history) <= const.MAX_TAKES


# Symptom: a brand's requests wait, then fail, one by one, through an outage.
# Events: the platform goes down; the allowance runs out. Cause: each request
# asks the platform itself.
def test_an_outage_is_bounded_by_what_was_granted():
    store = FakeStore()
    user = allowance(store)
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


# Symptom: requests wait for the platform, or fail in its outage, though the
# day's budget is hardly touched. Events: an allowance runs out just when the
# platform is down. Cause: it is only renewed once it is used up.
def test_an_allowance_is_renewed_before_it_runs_out():
    store = FakeStore()
    now = [0.0]
    user = allowance(store, lambda: now[0])
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


class OvertakenStore(FakeStore):
    """A platform in which others change the account before each write.

    Attributes:
        overtaken: Writes yet to be overtaken.
    """

    def __init__(self, overtaken):
        super().__init__()
        self.overtaken = overtaken

    def put(self, collection, name, value, expect, purpose):
        """Write, or find that another was first."""
        if self.overtaken:
            self.overtaken -= 1
            raise LacewingdockError(ErrorKind.CONFLICT, name)
        return super().put(collection, name, value, expect, purpose)


@pytest.mark.parametrize(
    ("overtaken", "is_taken"),
    [
        (0, True),
        (const.CONFLICT_TRIES - 1, True),
        (const.CONFLICT_TRIES, False),
    ],
)
def test_entries_that_take_at_once(overtaken, is_taken):
    """Symptom: requests are refused although the budget is untouched.

    Events: all entries start and take their first allowance at the same
    moment; one write wins, the others try again at once and meet again.
    Cause: the tries had no pause in between and were soon used up.
    """
    pauses = []
    store = OvertakenStore(overtaken)
    entry = Allowance(
        store, "w", "20260102", lambda: 3, lambda: 0.0, pauses.append
    )
    if is_taken:
        entry.reserve(10, BUDGET)
    else:
        with pytest.raises(LacewingdockError) as refused:
            entry.reserve(10, BUDGET)
        assert refused.value.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert len(pauses) == min(overtaken, const.CONFLICT_TRIES - 1)
    assert sum(pauses) <= 1.0 + 0.01
    # Each is drawn at random within a bound that grows.
    bounds = [const.CONFLICT_FIRST_S * 2**n for n in range(len(pauses))]
    bounds = [min(b, const.CONFLICT_LIMIT_S) for b in bounds]
    assert all(0 < p <= b for p, b in zip(pauses, bounds, strict=True))
