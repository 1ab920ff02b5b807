"""Support for checking orders before they reach an engine."""

import threading
import time
from collections.abc import Callable
from typing import Protocol

from lacewingdock.components.leases.const import LEASE_ROLLOUTS
from lacewingdock.components.leases.lease import LeaseStore, decode_lease
from lacewingdock.components.orders.const import (
    ACTION_LOAD,
    ACTION_UNLOAD,
    CHECK_AGE_S,
    ENGINE_ACTIONS,
    STATE_BUSY,
)
from lacewingdock.const import COLLECTION_LEASES
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.messages import Order, Ordered


class EngineClient(Protocol):
    """What the gate needs of the engine behind it."""

    def submit(self, order: Order) -> str:
        """Hand an order to the engine and return what came of it."""

    def drain(self, version: str) -> int:
        """Give a version no new work; return its requests running."""

    def undrain(self, version: str) -> None:
        """Let a version take work again."""


class OrderGate:
    """Refuses the orders of earlier lease holders.

    What goes wrong without it: a holder is frozen, another takes over and
    rolls back; the first thaws and its load order brings the bad version
    back. One would notice a version on an engine that no roll-out names.
    Some engines don't compare fencing numbers, so the gate does.

    The gate keeps no memory of its own that matters: the lease in the
    platform is the highest number ever given out, and it is read for each
    order. A replaced sidecar therefore refuses what its predecessor refused,
    at no write at all.

    Attributes:
        store: The platform.
        door: The engine.
        highest: Highest fencing number seen, to refuse without a read.
    """

    __slots__ = ("_clock", "_lock", "engine", "highest", "store")

    def __init__(
        self,
        store: LeaseStore,
        engine: EngineClient,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Guard an engine."""
        self.store = store
        self.engine = engine
        self.highest = 0
        self._clock = clock
        # One order at a time: an order checked earlier must not reach the
        # engine after one of a later holder.
        self._lock = threading.Lock()

    def execute(self, order: Order) -> Ordered:
        """Check an order, hand it on and say what came of it."""
        with self._lock:
            try:
                return Ordered(order.order, self._execute(order))
            except LacewingdockError as error:
                return Ordered(order.order, "", str(error.kind), error.detail)

    def _execute(self, order: Order) -> str:
        if order.action not in ENGINE_ACTIONS:
            raise LacewingdockError(
                ErrorKind.BAD_REQUEST, f"no such action: {order.action!r}"
            )
        checked_at = self._check(order)
        if order.action == ACTION_UNLOAD and self.engine.drain(order.version):
            # Unloading now would cut streams; the holder orders it again.
            return STATE_BUSY
        while self._clock() - checked_at > CHECK_AGE_S:
            checked_at = self._check(order)
        if order.action == ACTION_LOAD:
            self.engine.undrain(order.version)
        return self.engine.submit(order)

    def _check(self, order: Order) -> float:
        """Refuse an order that is not the present holder's.

        Returns:
            The time before the lease was read.
        """
        started_at = self._clock()
        if order.fencing >= self.highest:
            stored = self.store.get(
                COLLECTION_LEASES, LEASE_ROLLOUTS, "order-fencing"
            )
            self.highest = max(self.highest, decode_lease(stored).fencing)
        if order.fencing != self.highest or order.fencing == 0:
            raise LacewingdockError(
                ErrorKind.FENCED,
                f"fencing number {order.fencing}, the lease is at "
                f"{self.highest}",
            )
        return started_at
