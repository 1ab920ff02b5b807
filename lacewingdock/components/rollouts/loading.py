"""Support for loading or unloading a version, a few engines at a time."""

from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass, field
from typing import Final

from lacewingdock.components.orders.const import (
    ACTION_LOAD,
    ACTION_UNLOAD,
    STATE_BUSY,
    STATE_LOADED,
    STATE_LOADING,
    STATE_UNLOADED,
)
from lacewingdock.components.rollouts.const import MAX_ASKED, MAX_FAILURES
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.links.messages import Order, Ordered
from lacewingdock.world.objects import Instance

SendOrder = Callable[[str, Order], Ordered]

# For each action, what an engine says at the end and on the way.
STATES: Final = {
    ACTION_LOAD: (STATE_LOADED, STATE_LOADING),
    ACTION_UNLOAD: (STATE_UNLOADED, STATE_BUSY),
}


@dataclass(slots=True)
class Loading:
    """What this holder knows of the engines of one roll-out.

    It is no state of the roll-out: the next holder gives every order again,
    and an engine that is there already says so.

    Attributes:
        action: "load" or "unload".
        loaded: Addresses of engines that are done.
        loading: Addresses of engines that are at it.
        failures: Failed orders in a row by address.
    """

    action: str = ACTION_LOAD
    loaded: set[str] = field(default_factory=set)
    loading: set[str] = field(default_factory=set)
    failures: dict[str, int] = field(default_factory=dict)

    def left_out(self) -> set[str]:
        """Addresses of engines that are not waited for."""
        return {
            address
            for address, count in self.failures.items()
            if count >= MAX_FAILURES
        }

    def advance(
        self,
        engines: list[Instance],
        version: str,
        fencing: int,
        parallel: int,
        send: SendOrder,
        executor: Executor,
    ) -> None:
        """Give the order to the next few engines.

        Those that are fetching are asked again first; only what they leave
        of `parallel` goes to new ones, so that the weight store is never
        asked for more at once. Engines that have the version already, as
        after a change of holder, take no place of those.

        Raises:
            LacewingdockError: CONFLICT when an engine's gate knows a later
                holder.
        """
        present = {engine.address for engine in engines}
        self.loading &= present
        self.loaded &= present
        waiting = sorted(
            present - self.loaded - self.loading,
            key=lambda a: (self.failures.get(a, 0), a),
        )[:MAX_ASKED]
        batch = sorted(self.loading) or self._next(waiting, parallel)
        while batch:
            answers = list(
                executor.map(
                    lambda a: self._order(a, version, fencing, send), batch
                )
            )
            for address, answer in zip(batch, answers, strict=True):
                self._take(address, answer)
            batch = self._next(waiting, parallel)

    def _next(self, waiting: list[str], parallel: int) -> list[str]:
        """Take from the engines not asked yet what may load beside others."""
        free = max(0, parallel - len(self.loading))
        batch = waiting[:free]
        del waiting[:free]
        return batch

    def _order(
        self, address: str, version: str, fencing: int, send: SendOrder
    ) -> Ordered:
        order = Order(new_id(), self.action, version, fencing=fencing)
        try:
            return send(address, order)
        except LacewingdockError as error:
            return Ordered(order.order, "", str(error.kind), error.detail)

    def _take(self, address: str, answer: Ordered) -> None:
        if answer.code == ErrorKind.FENCED:
            raise LacewingdockError(ErrorKind.CONFLICT, answer.detail)
        self.loading.discard(address)
        done, under_way = STATES[self.action]
        if answer.state == done:
            self.loaded.add(address)
            self.failures.pop(address, None)
        elif answer.state == under_way:
            self.loading.add(address)
        else:
            self.failures[address] = self.failures.get(address, 0) + 1
