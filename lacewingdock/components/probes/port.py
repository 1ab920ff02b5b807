"""Support for a sidecar's port, where routers ask for its engine's load."""

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
    """Answers questions and takes promises.

    Attributes:
        datagrams: The port.
        gauge: What is known of the engine.
        is_router: Returns whether a router is at an IP number, by the
            platform's entries.
        promised: Promises taken.
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
        """Answer until the daemon stops."""
        self.datagrams.listen(self._receive, stopping)

    def close(self) -> None:
        """Close the port."""
        self.datagrams.close()

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Take a message of a router.

        Whoever reaches the port could else keep work from the engine.

        Raises:
            LacewingdockError: BAD_REQUEST, if it is from nobody known.
        """
        message = decode(data)
        if not self.is_router(sender[0]):
            raise bad_message(NAME, "not from a router")
        match message:
            case LoadQuery(number):
                answer = encode(self.gauge.load(number))
                self.datagrams.send(answer, sender)
            case RequestNotice():
                self.gauge.expect(message)
                self.promised += 1
            case _:
                raise bad_message(NAME, "an answer nobody asked for")
