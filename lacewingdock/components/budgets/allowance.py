"""Support for one workspace's budget of a day, spent in allowances.

The sum of all allowances never passes the budget, because each is taken by a
conditional update of one object. Every process spends only from what it took,
so without any further agreement

    spent <= budget + sum of (cost - reserved) of requests that cost more
             than was reserved for them

and nothing at all is overspent when requests name their token limit. An
allowance whose holder dies, or whose answer is lost, lapses: that budget goes
unused, it is never spent twice.
"""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from lacewingdock.components.budgets.const import (
    COLLECTION,
    CONFLICT_FIRST_S,
    CONFLICT_LIMIT_S,
    CONFLICT_TRIES,
    EXHAUSTED_S,
    HORIZON_S,
    MAX_TAKES,
    OUTAGE_S,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.backoff import Backoff
from lacewingdock.platform.store import Stored


class Exhausted(LacewingdockError):
    """The day's budget has no allowance left to give."""

    def __init__(self, workspace: str) -> None:
        """Name the workspace."""
        super().__init__(
            ErrorKind.BUDGET_EXHAUSTED, f"the day's budget of {workspace}"
        )


class AccountStore(Protocol):
    """What an allowance needs of the platform; `ObjectStore` gives it."""

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Read an object; a missing one has revision `ABSENT`."""

    def put(
        self, collection: str, name: str, value: Any, expect: int, purpose: str
    ) -> Stored:
        """Write an object if its revision is the expected one."""


@dataclass(slots=True)
class Account:
    """A workspace's day as the platform keeps it, in millionths.

    Attributes:
        granted: All allowances ever taken.
        returned: What was given back of them.
    """

    granted: int = 0
    returned: int = 0


class Allowance:
    """What this process may still spend of a workspace's day.

    Attributes:
        store: The platform.
        workspace: Name of the workspace.
        day: "YYYYMMDD" (UTC).
        entries: Returns the number of entries that share the budget.
        clock: Returns monotonic seconds.
        pause: Waits a number of seconds.
        left: Millionths that may be reserved; below zero after requests
            that cost more than was reserved.
        last: The last allowance taken, and when.
        retry_at: Not asked again before this time.
        exhausted: Whether that is for want of budget, not of an answer.
        used_at: Time of the last reservation.
    """

    __slots__ = (
        "_lock",
        "_taking",
        "clock",
        "day",
        "entries",
        "exhausted",
        "last",
        "left",
        "pause",
        "retry_at",
        "store",
        "used_at",
        "workspace",
    )

    def __init__(
        self,
        store: AccountStore,
        workspace: str,
        day: str,
        entries: Callable[[], int],
        clock: Callable[[], float],
        pause: Callable[[float], Any] = time.sleep,
    ) -> None:
        """Start with nothing to spend."""
        self.store = store
        self.workspace = workspace
        self.day = day
        self.entries = entries
        self.clock = clock
        self.pause = pause
        self.left = 0
        self.last = (0, clock())
        self.retry_at = 0.0
        self.exhausted = False
        self.used_at = clock()
        self._lock = threading.Lock()
        self._taking = threading.Lock()

    def reserve(self, amount: int, budget: int) -> None:
        """Set an amount aside for a request, taking an allowance if needed.

        Args:
            amount: Millionths the request may cost.
            budget: Millionths allowed for the whole day.

        Raises:
            LacewingdockError: `Exhausted`, or PLATFORM_UNAVAILABLE; the
                request must not run.
        """
        self.used_at = self.clock()
        if self._set_aside(amount):
            return
        with self._taking:
            # Another request may have fetched enough for both meanwhile.
            if self._set_aside(amount):
                return
            self._take(amount - self.left, budget)
            if not self._set_aside(amount):
                raise Exhausted(self.workspace)

    def refill(self, budget: int) -> None:
        """Take the next allowance once half of the last one is used.

        Raises:
            LacewingdockError: As `reserve`; no request is concerned.
        """
        with self._taking:
            if self.left * 2 <= self.last[0]:
                self._take(1, budget)

    def settle(self, reserved: int, cost: int) -> None:
        """Put back what a request did not use, or owe what it used more."""
        with self._lock:
            self.left += reserved - cost

    def give_back(self) -> None:
        """Return what is left, for others to take.

        It is gone from here before the write: if the answer is lost it must
        lapse, for giving it back again could count it twice.
        """
        with self._taking:
            with self._lock:
                amount, self.left = max(self.left, 0), min(self.left, 0)
            if amount:
                self._update(lambda a: Account(a.granted, a.returned + amount))

    def _set_aside(self, amount: int) -> bool:
        with self._lock:
            if self.left < amount:
                return False
            self.left -= amount
            return True

    def _take(self, needed: int, budget: int) -> None:
        now = self.clock()
        if now < self.retry_at:
            raise self._refusal()
        taken = 0

        def grant(account: Account) -> Account:
            nonlocal taken
            remaining = budget - account.granted + account.returned
            if remaining < needed:
                raise Exhausted(self.workspace)
            wanted = max(needed, self._size(remaining, budget, now))
            taken = min(wanted, remaining)
            return Account(account.granted + taken, account.returned)

        try:
            self._update(grant)
        except LacewingdockError as error:
            self.exhausted = isinstance(error, Exhausted)
            pause = EXHAUSTED_S if self.exhausted else OUTAGE_S
            self.retry_at = now + pause
            raise
        self.last = (taken, now)
        with self._lock:
            self.left += taken

    def _refusal(self) -> LacewingdockError:
        if self.exhausted:
            return Exhausted(self.workspace)
        return LacewingdockError(
            ErrorKind.PLATFORM_UNAVAILABLE, "no allowance can be taken"
        )

    def _size(self, remaining: int, budget: int, now: float) -> int:
        """Choose an allowance: enough for a while, a fair part at most.

        Fair is half an even share of what remains, so that little is left
        lying at other entries when the budget ends.
        """
        amount, since = self.last
        pace = amount / max(now - since, 1.0) * HORIZON_S
        fair = remaining / (2 * self.entries())
        return int(max(min(pace or fair, fair), budget / MAX_TAKES))

    def _update(self, change: Callable[[Account], Account]) -> None:
        """Change the account, again where another was first.

        Entries that ask at the same moment, as after a start of the fleet,
        would meet again at each try without a pause: one wins each time, and
        the others' requests are refused once their tries are used up.
        """
        name = f"{self.day}.{self.workspace}"
        backoff = Backoff(CONFLICT_FIRST_S, CONFLICT_LIMIT_S, random.Random())
        for tries_left in reversed(range(CONFLICT_TRIES)):
            stored = self.store.get(COLLECTION, name, "budgets")
            account = msgspec.convert(stored.value or {}, Account)
            value = msgspec.to_builtins(change(account))
            try:
                self.store.put(
                    COLLECTION, name, value, stored.revision, "budgets"
                )
            except LacewingdockError as error:
                if error.kind is ErrorKind.CONFLICT:
                    if tries_left:
                        self.pause(backoff.failed())
                    continue
                raise LacewingdockError(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "no allowance can be taken",
                ) from error
            return
        raise LacewingdockError(
            ErrorKind.PLATFORM_UNAVAILABLE, "too many take allowances at once"
        )
