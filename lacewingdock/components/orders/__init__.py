"""Support for orders to engines and daemons, sent over links."""

import time

from lacewingdock.components.engine import Engine
from lacewingdock.components.orders.const import (
    ACTION_STOP,
    NAME,
    ORDER_TIMEOUT_S,
    STATE_STOPPING,
)
from lacewingdock.components.orders.engine_client import HttpEngineClient
from lacewingdock.components.orders.gate import OrderGate
from lacewingdock.components.peers import Peers
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.handshake import dial
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Order, Ordered

log = get_logger(NAME)

__all__ = ["OrderGate", "Orders", "send_order", "setup"]


class Orders:
    """What this daemon does when it is ordered to.

    Attributes:
        daemon: The daemon.
        gate: Checks orders to the engine; None where there is no engine.
    """

    __slots__ = ("daemon", "gate")

    def __init__(
        self, daemon: Daemon, peers: Peers, gate: OrderGate | None
    ) -> None:
        """Join the links."""
        self.daemon = daemon
        self.gate = gate
        peers.handle(Order, self._on_order)

    def _on_order(self, link: Link, order: Order) -> None:
        self.daemon.spawn(self._handle_order, link, order)

    def _handle_order(self, link: Link, order: Order) -> None:
        if order.action == ACTION_STOP:
            answer = self._stop(order)
        elif self.gate is not None:
            answer = self.gate.execute(order)
        else:
            answer = _refusal(
                order, ErrorKind.BAD_REQUEST, "there is no engine here"
            )
        log.info(
            "order",
            by=link.peer.instance,
            action=order.action,
            version=order.version,
            fencing=order.fencing,
            state=answer.state,
            code=answer.code,
        )
        link.send(answer)

    def _stop(self, order: Order) -> Ordered:
        """Stop gracefully, unless the order means an earlier process."""
        if order.incarnation != self.daemon.me.incarnation:
            return _refusal(
                order, ErrorKind.CONFLICT, "the process was replaced since"
            )
        self.daemon.leaving.set()
        return Ordered(order.order, STATE_STOPPING)

    def unload(self) -> None:
        """Nothing is held beyond the daemon's tasks."""


def _refusal(order: Order, kind: ErrorKind, detail: str) -> Ordered:
    return Ordered(order.order, "", str(kind), detail)


def send_order(daemon: Daemon, address: str, order: Order) -> Ordered:
    """Send an order over a link of its own and wait for its answer.

    The sender keeps links to a part of the fleet only, and orders are rare;
    sending one again is harmless, since each names a state to be in.

    Args:
        daemon: The sending daemon.
        address: "IP:PORT" of the link port.
        order: The order.

    Raises:
        LacewingdockError: NO_UPSTREAM when no answer came.
    """
    end = time.monotonic() + ORDER_TIMEOUT_S
    try:
        link = dial(address, daemon.me, daemon.keys)
    except OSError as error:
        raise LacewingdockError(
            ErrorKind.NO_UPSTREAM, f"{address}: {error}"
        ) from error
    try:
        link.sock.settimeout(ORDER_TIMEOUT_S)
        link.send(order)
        for message in link.receive():
            if isinstance(message, Ordered) and message.order == order.order:
                return message
            if time.monotonic() > end:
                break
    finally:
        link.dispose()
    raise LacewingdockError(
        ErrorKind.NO_UPSTREAM, f"{address}: no answer to the order"
    )


def setup(daemon: Daemon, peers: Peers, engine: Engine | None) -> Orders:
    """Set the orders up.

    Args:
        daemon: The daemon.
        peers: Its links.
        engine: The model engine beside it, if there is one.
    """
    gate = OrderGate(daemon.store, HttpEngineClient(engine)) if engine else None
    orders = Orders(daemon, peers, gate)
    daemon.add(NAME, orders)
    return orders
