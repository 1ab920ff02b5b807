"""Support for the port on which a sidecar reports its engine's load."""

import threading
from collections.abc import Callable

from lacewingdock.components.probes import (
    LoadQuery,
    RequestNotice,
    decode,
    encode,
)
from lacewingdock.components.probes.const import MAX_BYTES, NAME
from lacewingdock.components.probes.gauge import EngineGauge
from lacewingdock.helpers.datagrams import DatagramPort, bad_message


class GaugePort:
    """Answers load queries and accepts announcements of requests.

    Attributes:
        datagrams: The UDP port.
        gauge: The load of the engine.
        is_router: Returns whether a router is at an IP address, by the
            platform's entries.
        promised: Announcements accepted.
    """

    __slots__ = ("datagrams", "gauge", "is_router", "promised")

    def __init__(
        self,
        address: tuple[str, int],
        gauge: EngineGauge,
        is_router: Callable[[str], bool],
    ) -> None:
        """Bind the port.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.datagrams = DatagramPort(NAME, address, MAX_BYTES)
        self.gauge = gauge
        self.is_router = is_router
        self.promised = 0

    def listen(self, stopping: threading.Event) -> None:
        """Receive messages until the daemon stops."""
        self.datagrams.listen(self._receive, stopping)

    def close(self) -> None:
        """Close the port."""
        self.datagrams.close()

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a message, if it comes from a router.

        Without this check any host that reaches the port could keep work away
        from the engine.

        Raises:
            LacewingdockError: BAD_REQUEST, for an unknown sender or a message
                that only sidecars send.
        """
        message = decode(data)
        if not self.is_router(sender[0]):
            raise bad_message(NAME, "the sender is not a router")
        match message:
            case LoadQuery(number):
                answer = encode(self.gauge.load(number))
                self.datagrams.send(answer, sender)
            case RequestNotice():
                self.gauge.expect(message)
                self.promised += 1
            case _:
                raise bad_message(
                    NAME, "an answer where a query or a notice was expected"
                )
