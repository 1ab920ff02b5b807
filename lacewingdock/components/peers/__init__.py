"""Support for keeping links: listening, dialing, beating and giving up."""

import contextlib
import socket
import time
from collections.abc import Callable
from typing import Any, Final

from lacewingdock.const import (
    BEAT_BUSY_S,
    BEAT_IDLE_S,
    SILENCE_IDLE_S,
    SILENCE_S,
)
from lacewingdock.core import Daemon
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.http_server import listen_error
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.handshake import accept, dial
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Beat, Message

NAME: Final = "peers"
ACCEPT_POLL_S: Final = 0.5
BACKLOG: Final = 512

log = get_logger(NAME)


class Peers:
    """All links of a daemon, and who handles what comes over them.

    Attributes:
        daemon: The daemon.
        links: The open links.
        handlers: Handlers by message class; several may take one class.
        on_open: Called with each link once it stands.
        on_close: Called with each link once it is gone.
        beat: Makes the beat to send.
        listener: The listening socket.
        port: The port listened on.
    """

    __slots__ = (
        "beat",
        "daemon",
        "handlers",
        "links",
        "listener",
        "on_close",
        "on_open",
        "port",
    )

    def __init__(self, daemon: Daemon) -> None:
        """Bind the listening port."""
        self.daemon = daemon
        self.links: set[Link] = set()
        self.handlers: dict[type, list[Callable[[Link, Any], None]]] = {}
        self.on_open: list[Callable[[Link], Any]] = []
        self.on_close: list[Callable[[Link], None]] = []
        self.beat: Callable[[], Beat] = Beat
        address = (daemon.settings.host, daemon.settings.link_port)
        try:
            self.listener = socket.create_server(address, backlog=BACKLOG)
        except OSError as error:
            raise listen_error(f"{address[0]}:{address[1]}", error) from error
        self.listener.settimeout(ACCEPT_POLL_S)
        self.port: int = self.listener.getsockname()[1]

    def handle(self, cls: type, handler: Callable[[Link, Any], None]) -> None:
        """Let a handler take every message of a class; it must not block."""
        self.handlers.setdefault(cls, []).append(handler)

    def start(self) -> None:
        """Start accepting and beating."""
        self.daemon.spawn(self._accept_all)
        self.daemon.every(BEAT_BUSY_S, self._pace)

    def hold(self, address: str) -> None:
        """Open a link and read it in the calling task until it closes.

        Raises:
            LacewingdockError: BAD_LINK when the peer does not hold the key.
            OSError: The connection failed or the time ran out.
        """
        link = dial(address, self.daemon.me, self.daemon.keys)
        self._open(link)
        self._read(link)

    def _accept_all(self) -> None:
        while not self.daemon.stopping.is_set():
            try:
                sock, _ = self.listener.accept()
            except TimeoutError:
                continue
            except OSError:
                if self.daemon.stopping.is_set():
                    return
                raise
            self.daemon.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        """Shake hands with one peer, then read its link."""
        try:
            link = accept(sock, self.daemon.me, self.daemon.keys)
        except (OSError, LacewingdockError) as error:
            log.warning("link refused", error=str(error))
            sock.close()
            return
        self._open(link)
        self._read(link)

    def _open(self, link: Link) -> None:
        self.links.add(link)
        for callback in self.on_open:
            callback(link)

    def _read(self, link: Link) -> None:
        """Hand on what a link brings until it closes."""
        try:
            for message in link.receive():
                for handler in self.handlers.get(type(message), ()):
                    handler(link, message)
        except LacewingdockError as error:
            log.warning("bad frame", peer=link.peer.instance, error=str(error))
            link.close("bad frame")
        finally:
            self.links.discard(link)
            link.dispose()
            for callback in self.on_close:
                callback(link)
            log.info("link closed", peer=link.peer.instance, reason=link.reason)

    def _pace(self) -> None:
        """Beat links that are due and give up silent ones.

        Something between two peers can lose track of a connection: it stays
        open and carries nothing. The caller would wait for good. A link with
        work that stays silent for several beats is closed, and its answers
        are asked for again over a new one.
        """
        now = time.monotonic()
        beat = self.beat()
        for link in tuple(self.links):
            if link.busy.value > 0:
                due, limit = BEAT_BUSY_S, SILENCE_S
            else:
                due, limit = BEAT_IDLE_S, SILENCE_IDLE_S
            if now - link.last_heard > limit:
                link.close("silent")
            elif now - link.last_sent >= due * 0.9:
                link.beat(beat)

    def broadcast(self, message: Message) -> None:
        """Send a message over every link."""
        for link in tuple(self.links):
            link.send(message)

    def unload(self) -> None:
        """Close the port and every link."""
        with contextlib.suppress(OSError):
            self.listener.close()
        for link in tuple(self.links):
            link.close("stopped")


def setup(daemon: Daemon) -> Peers:
    """Set the links up; `start` is called once all handlers are in place."""
    peers = Peers(daemon)
    daemon.add(NAME, peers)
    return peers
