"""Support for the datagrams between watchers and followers."""

import threading
from collections.abc import Callable

from lacewingdock.components.relay import (
    FreshnessQuery,
    FreshnessReport,
    decode,
    encode,
)
from lacewingdock.components.relay.const import (
    MAX_BYTES,
    NAME,
    QUERY_INTERVAL_S,
)
from lacewingdock.components.relay.follower import Follower
from lacewingdock.components.relay.watcher import Watcher
from lacewingdock.helpers.clock import STEADY
from lacewingdock.helpers.datagrams import DatagramPort, sender_mismatch
from lacewingdock.helpers.log import get_logger

log = get_logger("relay")


class RelayPort:
    """Sends queries, answers them and announces changes by datagrams.

    Attributes:
        datagrams: The UDP port.
        peer_port: Port of the other routers, the same on all instances.
        follower: Handles the reports of other routers.
        watcher: Builds the reports to other routers.
        host_of: Returns the IP address of a router by the platform's entries;
            None for an unknown name.
    """

    __slots__ = ("datagrams", "follower", "host_of", "peer_port", "watcher")

    def __init__(
        self,
        address: tuple[str, int],
        follower: Follower,
        watcher: Watcher,
        host_of: Callable[[str], str | None],
    ) -> None:
        """Bind the port.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.datagrams = DatagramPort(NAME, address, MAX_BYTES)
        self.peer_port = address[1]
        self.follower = follower
        self.watcher = watcher
        self.host_of = host_of

    def listen(self, stopping: threading.Event) -> None:
        """Receive messages until the daemon stops."""
        self.datagrams.listen(self._receive, stopping)

    def send_queries(self, stopping: threading.Event) -> None:
        """Send queries and fetch changes until the daemon stops."""
        clock = STEADY
        due = clock.now()
        while not stopping.is_set():
            clock.wait(self.follower.updates, max(due - clock.now(), 0.0))
            try:
                self.follower.fetch_changes()
                if clock.now() >= due:
                    due = clock.now() + QUERY_INTERVAL_S
                    self._send_query()
            except Exception:
                # If the task ended here, this router would depend on its own
                # calls to the store for good.
                log.exception("query or fetch failed")
                due = clock.now() + QUERY_INTERVAL_S

    def announce(self) -> None:
        """Announce changes to the routers that queried this one recently."""
        listeners = self.watcher.listeners()
        if not listeners:
            return
        data = encode(self.watcher.updates())
        for router in listeners:
            self._send(router, data)

    def close(self) -> None:
        """Close the port."""
        self.datagrams.close()

    def _send_query(self) -> None:
        found = self.follower.query()
        if found is not None:
            router, query = found
            self._send(router, encode(query))

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a message, if it comes from the router that it names.

        Without this check any host that reaches the port could cut a router
        off from changes.

        Raises:
            LacewingdockError: BAD_REQUEST, if the sender is another one.
        """
        message = decode(data)
        if self.host_of(message.router) != sender[0]:
            raise sender_mismatch(NAME, message.router)
        match message:
            case FreshnessQuery(router, number):
                self.follower.record_query()
                answer = self.watcher.answer(router, number)
                self._send(router, encode(answer))
            case FreshnessReport():
                self.follower.receive_report(message)

    def _send(self, router: str, data: bytes) -> None:
        host = self.host_of(router)
        if host is not None:
            self.datagrams.send(data, (host, self.peer_port))
