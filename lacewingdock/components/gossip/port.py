"""Support for sending and receiving gossip messages."""

import random
import threading
import time
from collections.abc import Callable, Sequence
from typing import Final

from lacewingdock.components.gossip import (
    NAME,
    REPEAT_S,
    Message,
    decode,
    encode,
)
from lacewingdock.helpers.datagrams import DatagramPort, sender_mismatch
from lacewingdock.helpers.log import get_logger

# Shortest time between two messages, in seconds. A prompt of mean size is read
# in some hundred milliseconds, and a router that goes by older loads chooses
# the same instance as another one.
MIN_SEND_INTERVAL_S: Final = 0.04
# Most bytes that a router sends per second, under half of the bandwidth allowed
# for control traffic: in a large fleet it sends less often.
MAX_SEND_BYTES_PER_S: Final = 8000.0
# Most routers that receive a message, drawn anew for each one. In a larger
# fleet a router has the loads of a part of the fleet only, as stale as the time
# between two messages.
FANOUT: Final = 25
# Longest datagram that is read, in bytes; a message with all rows is shorter.
MAX_BYTES: Final = 8192
# Bytes of a datagram's IP and UDP headers, which count as traffic too.
HEADER_BYTES: Final = 28

EMPTY_CONTENT: Final = Message("", 0, 0).content

log = get_logger("gossip")


class GossipPort:
    """Sends and receives gossip messages.

    Attributes:
        datagrams: The UDP port.
        compose: Returns the current message with a given number.
        handlers: Called with each received message.
        others: Returns the addresses of the other routers.
        is_at: Returns whether the router of a name is at an IP address, by
            the platform's entries.
        changed: Set when the content of the message may have changed.
        random: Source of randomness.
        last: The message that was sent last.
        last_sent_at: Monotonic time at which it was sent.
        number: Messages sent so far.
        sent_bytes: Bytes sent so far, with the datagrams' headers.
    """

    __slots__ = (
        "changed",
        "compose",
        "datagrams",
        "handlers",
        "is_at",
        "last",
        "last_sent_at",
        "number",
        "others",
        "random",
        "sent_bytes",
    )

    def __init__(
        self,
        address: tuple[str, int],
        compose: Callable[[int], Message],
        handlers: Sequence[Callable[[Message], None]],
        others: Callable[[], list[tuple[str, int]]],
        is_at: Callable[[str, str], bool],
        changed: threading.Event,
        source: random.Random,
    ) -> None:
        """Bind the port.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.compose = compose
        self.handlers = handlers
        self.others = others
        self.is_at = is_at
        self.changed = changed
        self.random = source
        self.last: Message | None = None
        self.last_sent_at = 0.0
        self.number = 0
        self.sent_bytes = 0
        self.datagrams = DatagramPort(NAME, address, MAX_BYTES)

    def listen(self, stopping: threading.Event) -> None:
        """Receive messages until the daemon stops."""
        self.datagrams.listen(self._receive, stopping)

    def send_messages(self, stopping: threading.Event) -> None:
        """Send messages to the other routers until the daemon stops."""
        while not stopping.is_set():
            self.changed.wait(REPEAT_S)
            self.changed.clear()
            try:
                spent = self._send_if_due()
            except Exception:
                # If the task ended here, the other routers would miss this
                # router's load for good.
                log.exception("message not sent")
                spent = 0
            stopping.wait(
                max(MIN_SEND_INTERVAL_S, spent / MAX_SEND_BYTES_PER_S)
            )

    def close(self) -> None:
        """Close the port."""
        self.datagrams.close()

    def _send_if_due(self) -> int:
        message = self.compose(self.number + 1)
        return self._send(encode(message)) if self._should_send(message) else 0

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Pass a message to the handlers, if its sender is genuine.

        Without this check any host that reaches the port could keep work away
        from an instance, or end a roll-out, with one datagram in the name of
        another router.

        Raises:
            LacewingdockError: BAD_REQUEST, if the message is not from the
                router that it names.
        """
        message = decode(data)
        if not self.is_at(message.router, sender[0]):
            raise sender_mismatch(NAME, message.router)
        for handler in self.handlers:
            handler(message)

    def _should_send(self, message: Message) -> bool:
        """Whether a message has new content or is due to be repeated."""
        now = time.monotonic()
        sent = self.last.content if self.last else EMPTY_CONTENT
        is_due = now - self.last_sent_at >= REPEAT_S and any(sent)
        if message.content == sent and not is_due:
            return False
        self.last, self.last_sent_at, self.number = message, now, message.number
        return True

    def _send(self, data: bytes) -> int:
        """Send to a random sample of the other routers.

        Returns:
            The bytes sent, with the datagrams' headers.
        """
        others = self.others()
        targets = self.random.sample(others, min(FANOUT, len(others)))
        for address in targets:
            self.datagrams.send(data, address)
        spent = len(targets) * (len(data) + HEADER_BYTES)
        self.sent_bytes += spent
        return spent
