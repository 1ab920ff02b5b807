"""Support for sending and taking the routers' messages to each other."""

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

NOTHING_TOLD: Final = Message("", 0, 0).content

log = get_logger("gossip")


class GossipPort:
    """Sends and takes messages.

    Attributes:
        datagrams: The port.
        compose: Returns what is to be told now, but for its number.
        hear: Take each message that comes.
        others: Returns the addresses of the other routers.
        is_at: Returns whether the router of a name is at an IP number, by the
            platform's entries.
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
        "datagrams",
        "hear",
        "is_at",
        "last",
        "number",
        "others",
        "random",
        "sent_bytes",
        "told_at",
    )

    def __init__(
        self,
        address: tuple[str, int],
        compose: Callable[[int], Message],
        hear: Sequence[Callable[[Message], None]],
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
        self.hear = hear
        self.others = others
        self.is_at = is_at
        self.changed = changed
        self.random = source
        self.last: Message | None = None
        self.told_at = 0.0
        self.number = 0
        self.sent_bytes = 0
        self.datagrams = DatagramPort(NAME, address, MAX_BYTES)

    def listen(self, stopping: threading.Event) -> None:
        """Take what others tell until the daemon stops."""
        self.datagrams.listen(self._take, stopping)

    def tell(self, stopping: threading.Event) -> None:
        """Tell the others until the daemon stops."""
        while not stopping.is_set():
            self.changed.wait(REPEAT_S)
            self.changed.clear()
            try:
                spent = self._tell_news()
            except Exception:
                # The others would reckon without this router for good.
                log.exception("message not told")
                spent = 0
            stopping.wait(max(TELL_EVERY_S, spent / MOST_BYTES_PER_S))

    def close(self) -> None:
        """Close the port."""
        self.datagrams.close()

    def _tell_news(self) -> int:
        message = self.compose(self.number + 1)
        return self._send(encode(message)) if self._is_news(message) else 0

    def _take(self, data: bytes, sender: tuple[str, int]) -> None:
        """Hand a message on.

        Whoever reaches the port could else keep work away from an instance,
        or end a roll-out, with one datagram in another router's name.

        Raises:
            LacewingdockError: BAD_REQUEST, if it is not from the router that
                it names.
        """
        message = decode(data)
        if not self.is_at(message.router, sender[0]):
            raise sender_mismatch(NAME, message.router)
        for hear in self.hear:
            hear(message)

    def _is_news(self, message: Message) -> bool:
        """Whether a message tells anything new, or is to be repeated."""
        now = time.monotonic()
        told = self.last.content if self.last else NOTHING_TOLD
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
            self.datagrams.send(data, address)
        spent = len(told) * (len(data) + HEADER_BYTES)
        self.sent_bytes += spent
        return spent
