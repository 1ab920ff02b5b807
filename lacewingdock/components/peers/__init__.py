"""Support for links to peers: accepting, dialing, heartbeats, timeouts."""

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
# Timeout in seconds of one accept call, after which the listener checks for a
# stop.
ACCEPT_POLL_S: Final = 0.5
# Listen backlog in connections.
BACKLOG: Final = 512
# Seconds that a stop waits for the peers to read all messages sent, and the
# interval in seconds of checking for that.
DRAIN_TIMEOUT_S: Final = 1.0
DRAIN_POLL_S: Final = 0.01

log = get_logger(NAME)


class Peers:
    """The links of a daemon and the handlers of the messages received.

    Attributes:
        daemon: The daemon.
        links: The open links.
        handlers: Handlers by message class; a class may have several.
        on_open: Callbacks that get each link once it is open.
        on_close: Callbacks that get each link once it is closed.
        beat: Factory of the heartbeat message to send.
        listener: The listening socket.
        port: Port of the listening socket.
        closed_traffic: Traffic totals of the links that are closed.
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
        """Bind the listening port and register the metrics.

        Raises:
            LacewingdockError: The port can't be bound.
        """
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
        """Register a handler for a message class; it must not block."""
        self.handlers.setdefault(cls, []).append(handler)

    def start(self) -> None:
        """Start accepting connections and sending heartbeats."""
        self.daemon.spawn(self._accept_links)
        self.daemon.every(BEAT_BUSY_S, self.send_beats)

    def dial_and_read(self, address: str) -> None:
        """Open a link and handle its messages until it closes.

        Blocks the calling task.

        Raises:
            LacewingdockError: BAD_LINK when the peer does not hold the key.
            OSError: The connection failed or timed out.
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
        """Accept the handshake of one peer, then handle its messages."""
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
        """Pass the messages of a link to their handlers until it closes."""
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
        """Send due heartbeats and close links that have gone silent.

        A middlebox between two peers can drop the state of a connection,
        which then stays open but carries no data, and a caller would wait
        forever. A link with running requests that is silent for several
        heartbeats is therefore closed, and its answers are requested again
        over a new link.

        Only the answering side, the sidecar, sends frequent heartbeats while
        requests run. The sidecar does not wait for the entry, and an entry
        has requests on nearly all its links: frequent heartbeats on all of
        them would exceed its whole budget for control traffic.
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
        """Return whether a heartbeat is due on a link.

        Any message shows that the sender is alive, but only a heartbeat
        carries the configuration revision and the load. If other messages
        replaced heartbeats, a sidecar under steady requests would stay on an
        old configuration indefinitely.
        """
        quiet = now - link.last_sent >= due * 0.9
        return quiet or now - link.last_beat >= BEAT_IDLE_S * 0.9

    def traffic(self) -> Traffic:
        """Return the traffic totals of all links, including closed ones."""
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
        """Close the listening port and all links.

        Waits up to `DRAIN_TIMEOUT_S` for the peers to read pending messages.
        """
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
    """Set up the links; call `start` once all handlers are registered."""
    peers = Peers(daemon)
    daemon.add(NAME, peers)
    return peers
