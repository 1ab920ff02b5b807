"""Support for checking the fencing numbers of orders to an engine."""

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
    """The operations of an engine that the gate uses."""

    def submit(self, order: Order) -> str:
        """Send an order to the engine and return the resulting state."""

    def drain(self, version: str) -> int:
        """Stop new requests to a version; return its running requests."""

    def undrain(self, version: str) -> None:
        """Allow new requests to a version again."""


class OrderGate:
    """Refuses orders of earlier lease holders by their fencing numbers.

    Without this check, a holder that was frozen while another took over and
    rolled back would, once it resumes, load the bad version again: the engine
    would have a version that no roll-out names. Some engines don't compare
    fencing numbers, so the gate does.

    The gate needs no persistent state: the lease in the platform holds the
    highest fencing number ever issued and is read for each order. A replaced
    sidecar therefore refuses the same orders as its predecessor, without any
    write.

    Attributes:
        store: The platform's object store.
        engine: The engine that accepted orders are sent to.
        highest: Highest fencing number observed; orders with a lower one are
            refused without a read.
    """

    __slots__ = ("_clock", "_lock", "engine", "highest", "store")

    def __init__(
        self,
        store: LeaseStore,
        engine: EngineClient,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Build a gate in front of an engine."""
        self.store = store
        self.engine = engine
        self.highest = 0
        self._clock = clock
        # Orders are serialized: an order that was checked earlier must not
        # reach the engine after an order of a later holder.
        self._lock = threading.Lock()

    def execute(self, order: Order) -> Ordered:
        """Check an order, send it to the engine and return the answer."""
        with self._lock:
            try:
                return Ordered(order.order, self._execute(order))
            except LacewingdockError as error:
                return Ordered(order.order, "", str(error.kind), error.detail)

    def _execute(self, order: Order) -> str:
        if order.action not in ENGINE_ACTIONS:
            raise LacewingdockError(
                ErrorKind.BAD_REQUEST,
                f"unknown engine action: {order.action!r}",
            )
        checked_at = self._check(order)
        if order.action == ACTION_UNLOAD and self.engine.drain(order.version):
            # Unloading now would break running streams; the holder repeats
            # the order later.
            return STATE_BUSY
        while self._clock() - checked_at > CHECK_AGE_S:
            checked_at = self._check(order)
        if order.action == ACTION_LOAD:
            self.engine.undrain(order.version)
        return self.engine.submit(order)

    def _check(self, order: Order) -> float:
        """Refuse an order that is not from the current lease holder.

        Returns:
            The clock's time in seconds from before the lease was read.

        Raises:
            LacewingdockError: FENCED when the fencing number is not that of
                the lease; PLATFORM_UNAVAILABLE when the lease can't be read.
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
                f"order has fencing number {order.fencing}, the lease has "
                f"{self.highest}",
            )
        return started_at
