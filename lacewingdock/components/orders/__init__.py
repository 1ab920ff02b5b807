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
    """Handler of the orders that this daemon receives over links.

    Attributes:
        daemon: The daemon.
        gate: Checks and executes orders to the engine; None where there is no
            engine.
    """

    __slots__ = ("daemon", "gate")

    def __init__(
        self, daemon: Daemon, peers: Peers, gate: OrderGate | None
    ) -> None:
        """Build the handler and register it for orders."""
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
                order, ErrorKind.BAD_REQUEST, "this daemon has no engine"
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
        """Start a graceful stop if the order names this incarnation."""
        if order.incarnation != self.daemon.me.incarnation:
            return _refusal(
                order,
                ErrorKind.CONFLICT,
                "the order names another incarnation of this process",
            )
        self.daemon.leaving.set()
        return Ordered(order.order, STATE_STOPPING)

    def unload(self) -> None:
        """Do nothing: the daemon ends the tasks of this component."""


def _refusal(order: Order, kind: ErrorKind, detail: str) -> Ordered:
    return Ordered(order.order, "", str(kind), detail)


def send_order(daemon: Daemon, address: str, order: Order) -> Ordered:
    """Send an order over a dedicated link and wait for the answer.

    The sender keeps links to a subset of the fleet only, and orders are rare.
    Repeating an order is harmless, since each order names a target state.

    Args:
        daemon: The sending daemon.
        address: "IP:PORT" of the link port.
        order: The order.

    Raises:
        LacewingdockError: NO_UPSTREAM when no answer was received.
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
        ErrorKind.NO_UPSTREAM, f"{address}: no answer to the order was received"
    )


def setup(daemon: Daemon, peers: Peers, engine: Engine | None) -> Orders:
    """Set up the handler of orders.

    Args:
        daemon: The daemon.
        peers: The links of the daemon.
        engine: Monitor of the model engine beside the daemon, if any.
    """
    gate = OrderGate(daemon.store, HttpEngineClient(engine)) if engine else None
    orders = Orders(daemon, peers, gate)
    daemon.add(NAME, orders)
    return orders
