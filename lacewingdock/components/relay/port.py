"""Support for sending and taking the messages of watchers and followers."""

import threading
from collections.abc import Callable

from lacewingdock.components.relay import (
    Question,
    Voucher,
    decode,
    encode,
)
from lacewingdock.components.relay.const import ASK_S, MAX_BYTES, NAME
from lacewingdock.components.relay.follower import Follower
from lacewingdock.components.relay.watcher import Watcher
from lacewingdock.helpers.clock import STEADY
from lacewingdock.helpers.datagrams import DatagramPort, sender_mismatch
from lacewingdock.helpers.log import get_logger

log = get_logger("relay")


class RelayPort:
    """Asks, answers and tells by datagrams.

    Attributes:
        datagrams: The port.
        peer_port: The others' port, the same on all instances.
        follower: What this router takes from others.
        watcher: What it tells others.
        host_of: Returns the IP number of a router by the platform's entries;
            None where there is none of that name.
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
        """Take messages until the daemon stops."""
        self.datagrams.listen(self._take, stopping)

    def ask(self, stopping: threading.Event) -> None:
        """Ask and fetch until the daemon stops."""
        clock = STEADY
        due = clock.now()
        while not stopping.is_set():
            clock.wait(self.follower.news, max(due - clock.now(), 0.0))
            try:
                self.follower.fetch_news()
                if clock.now() >= due:
                    due = clock.now() + ASK_S
                    self._ask()
            except Exception:
                # A task that died unseen would leave this router to the store.
                log.exception("not asked")
                due = clock.now() + ASK_S

    def tell(self) -> None:
        """Tell those that asked lately that there is news."""
        listeners = self.watcher.listeners()
        if not listeners:
            return
        data = encode(self.watcher.news())
        for router in listeners:
            self._send(router, data)

    def close(self) -> None:
        """Close the port."""
        self.datagrams.close()

    def _ask(self) -> None:
        found = self.follower.question()
        if found is not None:
            router, question = found
            self._send(router, encode(question))

    def _take(self, data: bytes, sender: tuple[str, int]) -> None:
        """Take a message from the router that it names.

        Whoever reaches the port could else keep a router from news.

        Raises:
            LacewingdockError: BAD_REQUEST, if it is from somebody else.
        """
        message = decode(data)
        if self.host_of(message.router) != sender[0]:
            raise sender_mismatch(NAME, message.router)
        match message:
            case Question(router, number):
                self.follower.heard_of()
                answer = self.watcher.answer(router, number)
                self._send(router, encode(answer))
            case Voucher():
                self.follower.hear(message)

    def _send(self, router: str, data: bytes) -> None:
        host = self.host_of(router)
        if host is not None:
            self.datagrams.send(data, (host, self.peer_port))
