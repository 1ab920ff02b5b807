"""Support for keeping links: listening, dialing, beating and giving up."""

import contextlib
import dataclasses
import socket
import time
from collections.abc import Callable
from functools import partial
from typing import Any, Final

import prometheus_client

from lacewingdock.const import (
    BEAT_BUSY_S,
    BEAT_IDLE_S,
    ROLE_SIDECAR,
    SILENCE_IDLE_S,
    SILENCE_S,
)
from lacewingdock.core import Daemon
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.clock import stamp_ms
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.sockets import listen_error
from lacewingdock.links.handshake import accept, dial
from lacewingdock.links.link import Link, Traffic
from lacewingdock.links.messages import Beat, Message
from lacewingdock.links.wire import encode

NAME: Final = "peers"
ACCEPT_POLL_S: Final = 0.5
BACKLOG: Final = 512
# How long a stop waits for its peers to have read all that was sent.
DRAIN_TIMEOUT_S: Final = 1.0
DRAIN_POLL_S: Final = 0.01

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
        closed_traffic: What went over links that are closed.
    """

    __slots__ = (
        "beat",
        "closed_traffic",
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
        self.closed_traffic = Traffic()
        address = (daemon.settings.host, daemon.settings.link_port)
        try:
            self.listener = socket.create_server(address, backlog=BACKLOG)
        except OSError as error:
            raise listen_error(f"{address[0]}:{address[1]}", error) from error
        self.listener.settimeout(ACCEPT_POLL_S)
        self.port: int = self.listener.getsockname()[1]
        self._register_metrics()

    def _register_metrics(self) -> None:
        registry = self.daemon.metrics
        links = prometheus_client.Gauge(
            "lacewingdock_links", "Open links", registry=registry
        )
        links.set_function(lambda: float(len(self.links)))
        names = [field.name for field in dataclasses.fields(Traffic)]
        traffic = prometheus_client.Gauge(
            "lacewingdock_link_traffic",
            "Bytes and messages over all links since the start",
            ["kind"],
            registry=registry,
        )
        for name in names:
            traffic.labels(name).set_function(
                partial(self._traffic_total, name)
            )

    def _traffic_total(self, name: str) -> float:
        return float(getattr(self.traffic(), name))

    def handle(self, cls: type, handler: Callable[[Link, Any], None]) -> None:
        """Let a handler take every message of a class; it must not block."""
        self.handlers.setdefault(cls, []).append(handler)

    def start(self) -> None:
        """Start accepting and beating."""
        self.daemon.spawn(self._accept_links)
        self.daemon.every(BEAT_BUSY_S, self.send_beats)

    def dial_and_read(self, address: str) -> None:
        """Open a link and read it in the calling task until it closes.

        Raises:
            LacewingdockError: BAD_LINK when the peer does not hold the key.
            OSError: The connection failed or the time ran out.
        """
        link = dial(address, self.daemon.me, self.daemon.keys)
        self._register_link(link)
        self._dispatch_messages(link)

    def _accept_links(self) -> None:
        while not self.daemon.stopping.is_set():
            try:
                sock, _ = self.listener.accept()
            except TimeoutError:
                continue
            except OSError:
                if self.daemon.stopping.is_set():
                    return
                raise
            self.daemon.spawn(self._serve_connection, sock)

    def _serve_connection(self, sock: socket.socket) -> None:
        """Shake hands with one peer, then read its link."""
        try:
            link = accept(sock, self.daemon.me, self.daemon.keys)
        except (OSError, LacewingdockError) as error:
            log.warning("link refused", error=str(error))
            sock.close()
            return
        if link is None:
            log.debug("probed")
            sock.close()
            return
        self._register_link(link)
        self._dispatch_messages(link)

    def _register_link(self, link: Link) -> None:
        link.spawn = self.daemon.spawn
        self.links.add(link)
        for callback in self.on_open:
            callback(link)

    def _dispatch_messages(self, link: Link) -> None:
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
            self.closed_traffic.add(link.traffic)
            link.dispose()
            for callback in self.on_close:
                callback(link)
            log.info("link closed", peer=link.peer.instance, reason=link.reason)

    def send_beats(self) -> None:
        """Beat links that are due and give up silent ones.

        Something between two peers can lose track of a connection: it stays
        open and carries nothing. The caller would wait for good. A link with
        work that stays silent for several beats is closed, and its answers
        are asked for again over a new one.

        Only the side that answers beats often while there is work. The other
        side waits for nothing, and an entry has work on nearly all its links:
        beating them all often would take more than its whole control budget.
        """
        now = time.monotonic()
        answers = self.daemon.me.role == ROLE_SIDECAR
        frame = b""
        for link in tuple(self.links):
            busy = link.busy.value > 0
            due = BEAT_BUSY_S if busy and answers else BEAT_IDLE_S
            limit = SILENCE_S if busy and not answers else SILENCE_IDLE_S
            if link.silent_s(now) > limit:
                link.close("silent")
            elif self._is_beat_due(link, now, due):
                frame = frame or self._encode_beat()
                link.beat(frame)

    def _encode_beat(self) -> bytes:
        beat = self.beat()
        beat.sent_ms = stamp_ms()
        return encode(beat)

    def _is_beat_due(self, link: Link, now: float, due: float) -> bool:
        """Tell whether a link needs a beat.

        Anything sent shows life, but only a beat shows the revision and the
        load: under steady requests a sidecar would stay on an old
        configuration for good.
        """
        quiet = now - link.last_sent >= due * 0.9
        return quiet or now - link.last_beat >= BEAT_IDLE_S * 0.9

    def traffic(self) -> Traffic:
        """Return what went over all links so far, the closed ones too."""
        total = Traffic()
        total.add(self.closed_traffic)
        for link in tuple(self.links):
            total.add(link.traffic)
        return total

    def broadcast(self, message: Message) -> None:
        """Send a message over every link."""
        for link in tuple(self.links):
            link.send(message)

    def unload(self) -> None:
        """Close the port and every link."""
        with contextlib.suppress(OSError):
            self.listener.close()
        for link in tuple(self.links):
            link.end()
        end = time.monotonic() + DRAIN_TIMEOUT_S
        while self.links and time.monotonic() < end:
            time.sleep(DRAIN_POLL_S)
        for link in tuple(self.links):
            link.close("stopped")


def setup(daemon: Daemon) -> Peers:
    """Set the links up; `start` is called once all handlers are in place."""
    peers = Peers(daemon)
    daemon.add(NAME, peers)
    return peers
