"""Support for sending and taking the routers' messages to each other."""

import contextlib
import random
import socket
import threading
import time
from collections.abc import Callable, Sequence
from typing import Final

from lacewingdock.components.gossip import (
    REPEAT_S,
    Message,
    decode,
    encode,
)
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.sockets import listen_error

# The shortest time between two messages. A prompt of the mean size is read in
# some hundred ms, and a choice that rests on older news repeats another's.
TELL_EVERY_S: Final = 0.04
# What a router sends at most, under half of what control may take: in a large
# fleet it tells less often.
MOST_BYTES_PER_S: Final = 8000.0
# Routers told at most each time, drawn anew: beyond that the picture is of a
# part of the fleet, as stale as the time between two messages.
MOST_TOLD: Final = 25
# Longest datagram read; a message with all rows is shorter.
MAX_BYTES: Final = 8192
# A datagram's headers, which links carry too.
HEADER_BYTES: Final = 28

log = get_logger("gossip")


class GossipPort:
    """Sends and takes messages.

    Attributes:
        sock: The socket.
        compose: Returns what is to be told now, but for its number.
        hear: Take each message that comes.
        others: Returns the addresses of the other routers.
        changed: Set when there may be news to tell.
        random: Source of draws.
        last: What was told last.
        told_at: Monotonic time of that.
        number: Messages sent so far.
        sent_bytes: Bytes that links carried of them.
    """

    __slots__ = (
        "changed",
        "compose",
        "hear",
        "last",
        "number",
        "others",
        "random",
        "sent_bytes",
        "sock",
        "told_at",
    )

    def __init__(
        self,
        address: tuple[str, int],
        compose: Callable[[int], Message],
        hear: Sequence[Callable[[Message], None]],
        others: Callable[[], list[tuple[str, int]]],
        changed: threading.Event,
        source: random.Random,
    ) -> None:
        """Bind the port.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.compose = compose
        self.hear = hear
        self.others = others
        self.changed = changed
        self.random = source
        self.last: Message | None = None
        self.told_at = 0.0
        self.number = 0
        self.sent_bytes = 0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.bind(address)
        except OSError as error:
            self.sock.close()
            raise listen_error(f"{address[0]}:{address[1]}", error) from error

    def listen(self, stopping: threading.Event) -> None:
        """Take what others tell until the daemon stops."""
        refused = 0
        while not stopping.is_set():
            try:
                data, sender = self.sock.recvfrom(MAX_BYTES)
            except OSError as error:
                if stopping.is_set() or self.sock.fileno() < 0:
                    return
                log.error("message not received", error=repr(error))
                stopping.wait(TELL_EVERY_S)
                continue
            try:
                self._take(decode(data))
            except LacewingdockError as error:
                refused += 1
                # Whoever sends these may send many: told at 1, 2, 4, 8 ...
                if refused & (refused - 1) == 0:
                    log.error(
                        "message refused",
                        sender=sender[0],
                        refused=refused,
                        error=str(error),
                    )

    def tell(self, stopping: threading.Event) -> None:
        """Tell the others until the daemon stops."""
        while not stopping.is_set():
            self.changed.wait(REPEAT_S)
            self.changed.clear()
            message = self.compose(self.number + 1)
            spent = self._send(encode(message)) if self._is_news(message) else 0
            stopping.wait(max(TELL_EVERY_S, spent / MOST_BYTES_PER_S))

    def close(self) -> None:
        """Close the port."""
        self.sock.close()

    def _take(self, message: Message) -> None:
        for hear in self.hear:
            hear(message)

    def _is_news(self, message: Message) -> bool:
        """Whether a message tells anything new, or is to be repeated."""
        now = time.monotonic()
        told = self.last.content if self.last else ([], [], [])
        is_due = now - self.told_at >= REPEAT_S and any(told)
        if message.content == told and not is_due:
            return False
        self.last, self.told_at, self.number = message, now, message.number
        return True

    def _send(self, data: bytes) -> int:
        """Send to some of the others; return the bytes that links carry."""
        others = self.others()
        told = self.random.sample(others, min(MOST_TOLD, len(others)))
        for address in told:
            # One that does not go out is as good as lost, which may happen.
            with contextlib.suppress(OSError):
                self.sock.sendto(data, socket.MSG_DONTWAIT, address)
        spent = len(told) * (len(data) + HEADER_BYTES)
        self.sent_bytes += spent
        return spent
