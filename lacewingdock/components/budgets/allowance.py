"""One workspace's budget of a day, granted to processes in allowances.

The sum of all allowances never exceeds the budget, because each is granted by
a conditional update of one object. Every process spends only from its own
allowances, so without any further coordination

    spent <= budget + sum of (cost - reserved) of requests that cost more
             than was reserved for them

and the budget is never exceeded when requests name their token limit. An
allowance lapses if its holder dies or the answer to its write is lost: that
part of the budget stays unused and is never spent twice.
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
    CONFLICT_BACKOFF_S,
    EXHAUSTED_RETRY_S,
    GRANT_DURATION_S,
    MAX_CONFLICT_ATTEMPTS,
    MAX_CONFLICT_BACKOFF_S,
    MAX_GRANTS,
    OUTAGE_RETRY_S,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.backoff import Backoff
from lacewingdock.platform.store import Stored


class BudgetExhausted(LacewingdockError):
    """The rest of the day's budget is too small for the request."""

    def __init__(self, workspace: str) -> None:
        """Build the error from the name of the workspace."""
        super().__init__(
            ErrorKind.BUDGET_EXHAUSTED,
            f"the daily budget of workspace {workspace} is exhausted",
        )


class AccountStore(Protocol):
    """The store operations of an allowance; `ObjectStore` has them."""

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Read an object; a missing one has revision `ABSENT`."""

    def put(
        self, collection: str, name: str, value: Any, expect: int, purpose: str
    ) -> Stored:
        """Write an object if its revision is the expected one."""


@dataclass(slots=True)
class Account:
    """The stored grants of one workspace and day, in millionths.

    Attributes:
        granted: Sum of all allowances granted.
        returned: Sum of the unused amounts that were returned.
    """

    granted: int = 0
    returned: int = 0


class Allowance:
    """The part of a workspace's daily budget granted to this process.

    Attributes:
        store: Store that holds the account.
        workspace: Name of the workspace.
        day: "YYYYMMDD" (UTC).
        entries: Returns the number of entries that share the budget.
        clock: Returns monotonic seconds.
        pause: Sleeps for a number of seconds.
        left: Millionths that may be reserved; below zero after requests
            that cost more than was reserved.
        last_grant: Millionths of the last grant, and its monotonic time.
        retry_at: Monotonic time before which no grant is requested.
        exhausted: Whether the last grant failed because the budget is
            exhausted, not because the platform is unavailable.
        used_at: Monotonic time of the last reservation.
    """

    __slots__ = (
        "_grant_lock",
        "_lock",
        "clock",
        "day",
        "entries",
        "exhausted",
        "last_grant",
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
        """Create an empty allowance of a workspace and day."""
        self.store = store
        self.workspace = workspace
        self.day = day
        self.entries = entries
        self.clock = clock
        self.pause = pause
        self.left = 0
        self.last_grant = (0, clock())
        self.retry_at = 0.0
        self.exhausted = False
        self.used_at = clock()
        self._lock = threading.Lock()
        self._grant_lock = threading.Lock()

    def reserve(self, amount: int, budget: int) -> None:
        """Reserve an amount for a request, with a new grant if needed.

        Args:
            amount: Millionths the request may cost.
            budget: Millionths allowed for the whole day.

        Raises:
            LacewingdockError: `BudgetExhausted`, or PLATFORM_UNAVAILABLE;
                the request must not run.
        """
        self.used_at = self.clock()
        if self._try_reserve(amount):
            return
        with self._grant_lock:
            # Another request may have acquired enough for both meanwhile.
            if self._try_reserve(amount):
                return
            self._acquire_grant(amount - self.left, budget)
            if not self._try_reserve(amount):
                raise BudgetExhausted(self.workspace)

    def refill(self, budget: int) -> None:
        """Acquire the next grant once half of the last one is used.

        Raises:
            LacewingdockError: As `reserve`; no request is affected.
        """
        with self._grant_lock:
            if self.left * 2 <= self.last_grant[0]:
                self._acquire_grant(1, budget)

    def settle(self, reserved: int, cost: int) -> None:
        """Release a request's unused amount, or deduct its excess cost."""
        with self._lock:
            self.left += reserved - cost

    def return_unused(self) -> None:
        """Return the unused amount to the account, for other entries.

        The amount is deducted here before the write: if the answer to the
        write is lost, the amount must lapse, because returning it again
        could count it twice.
        """
        with self._grant_lock:
            with self._lock:
                amount, self.left = max(self.left, 0), min(self.left, 0)
            if amount:
                self._update(lambda a: Account(a.granted, a.returned + amount))

    def _try_reserve(self, amount: int) -> bool:
        with self._lock:
            if self.left < amount:
                return False
            self.left -= amount
            return True

    def _acquire_grant(self, needed: int, budget: int) -> None:
        now = self.clock()
        if now < self.retry_at:
            raise self._refusal()
        granted = 0

        def grant(account: Account) -> Account:
            nonlocal granted
            remaining = budget - account.granted + account.returned
            if remaining < needed:
                raise BudgetExhausted(self.workspace)
            wanted = max(needed, self._grant_size(remaining, budget, now))
            granted = min(wanted, remaining)
            return Account(account.granted + granted, account.returned)

        try:
            self._update(grant)
        except LacewingdockError as error:
            self.exhausted = isinstance(error, BudgetExhausted)
            pause = EXHAUSTED_RETRY_S if self.exhausted else OUTAGE_RETRY_S
            self.retry_at = now + pause
            raise
        self.last_grant = (granted, now)
        with self._lock:
            self.left += granted

    def _refusal(self) -> LacewingdockError:
        if self.exhausted:
            return BudgetExhausted(self.workspace)
        return LacewingdockError(
            ErrorKind.PLATFORM_UNAVAILABLE,
            "the platform cannot grant a budget allowance",
        )

    def _grant_size(self, remaining: int, budget: int, now: float) -> int:
        """Return the size of the next grant in millionths.

        The grant covers the expected use of `GRANT_DURATION_S`, but at most
        half an even share of the remaining budget, so that other entries
        hold little unused budget when it runs out.
        """
        amount, since = self.last_grant
        expected_use = amount / max(now - since, 1.0) * GRANT_DURATION_S
        fair_share = remaining / (2 * self.entries())
        return int(
            max(
                min(expected_use or fair_share, fair_share), budget / MAX_GRANTS
            )
        )

    def _update(self, change: Callable[[Account], Account]) -> None:
        """Update the account; retry with backoff on a write conflict.

        Entries that write at the same moment, as after a start of the fleet,
        would conflict again on each retry without a backoff: one write wins
        each time, and the other entries refuse requests once their retries
        are used up.
        """
        name = f"{self.day}.{self.workspace}"
        backoff = Backoff(
            CONFLICT_BACKOFF_S, MAX_CONFLICT_BACKOFF_S, random.Random()
        )
        for tries_left in reversed(range(MAX_CONFLICT_ATTEMPTS)):
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
                    "the platform cannot grant a budget allowance",
                ) from error
            return
        raise LacewingdockError(
            ErrorKind.PLATFORM_UNAVAILABLE,
            "too many concurrent updates of the budget account",
        )
