"""Support for sending and taking the messages of watchers and followers."""

import contextlib
import socket
import threading
from collections.abc import Callable

from lacewingdock.components.relay import (
    Question,
    Voucher,
    decode,
    encode,
    not_from,
)
from lacewingdock.components.relay.const import ASK_S, MAX_BYTES
from lacewingdock.components.relay.follower import Follower
from lacewingdock.components.relay.watcher import Watcher
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.clock import STEADY
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.sockets import listen_error

# What a task waits after a failed receive, so that it does not spin.
RETRY_S = 0.1

log = get_logger("relay")


class RelayPort:
    """Asks, answers and tells by datagrams.

    Attributes:
        sock: The socket.
        follower: What this router takes from others.
        watcher: What it tells others.
        host_of: Returns the IP number of a router by the platform's entries;
            None where there is none of that name.
        refused: Datagrams that were not taken.
        sent: Messages sent.
    """

    __slots__ = (
        "follower",
        "host_of",
        "port",
        "refused",
        "sent",
        "sock",
        "watcher",
    )

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
        self.follower = follower
        self.watcher = watcher
        self.host_of = host_of
        self.port = address[1]
        self.refused = 0
        self.sent = 0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.bind(address)
        except OSError as error:
            self.sock.close()
            raise listen_error(f"{address[0]}:{address[1]}", error) from error

    def listen(self, stopping: threading.Event) -> None:
        """Take messages until the daemon stops."""
        while not stopping.is_set():
            try:
                data, sender = self.sock.recvfrom(MAX_BYTES)
            except OSError as error:
                if stopping.is_set() or self.sock.fileno() < 0:
                    return
                log.error("message not received", error=repr(error))
                stopping.wait(RETRY_S)
                continue
            try:
                self._take(decode(data), sender[0])
            except LacewingdockError as error:
                self._refuse(sender[0], str(error))
            except Exception:
                # A task that died unseen would leave this router without its
                # watchers, and those that ask it without theirs.
                log.exception("message not taken", sender=sender[0])

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
        self.sock.close()

    def _ask(self) -> None:
        found = self.follower.question()
        if found is not None:
            router, question = found
            self._send(router, encode(question))

    def _take(self, message: Question | Voucher, sender: str) -> None:
        """Take a message from the router that it names.

        Whoever reaches the port could else keep a router from news.

        Raises:
            LacewingdockError: BAD_REQUEST, if it is from somebody else.
        """
        if self.host_of(message.router) != sender:
            raise not_from(message.router)
        match message:
            case Question(router, number):
                self.follower.heard_of()
                answer = self.watcher.answer(router, number)
                self._send(router, encode(answer))
            case Voucher():
                self.follower.hear(message)

    def _send(self, router: str, data: bytes) -> None:
        host = self.host_of(router)
        if host is None:
            return
        # One that does not go out is as good as lost, which may happen.
        with contextlib.suppress(OSError):
            self.sock.sendto(data, socket.MSG_DONTWAIT, (host, self.port))
            self.sent += 1

    def _refuse(self, sender: str, error: str) -> None:
        """Count a datagram that is not taken."""
        self.refused += 1
        # Whoever sends these may send many: told at 1, 2, 4, 8 ...
        if self.refused & (self.refused - 1) == 0:
            log.error(
                "message refused",
                sender=sender,
                refused=self.refused,
                error=error,
            )
