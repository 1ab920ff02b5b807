"""Support for connecting an entry's answers and a sidecar's runs in memory.

All code between the caller's `take` and the chunks of the upstream is the real
code; only sockets and tasks are replaced, so that a test controls when each
frame arrives.
"""

from types import SimpleNamespace
from typing import Any

import prometheus_client

from lacewingdock.components.answers import Answers
from lacewingdock.components.runs import Runs
from lacewingdock.helpers.tally import Tally
from lacewingdock.links.delay import DelayEstimator
from lacewingdock.links.messages import Attempt, Hello, Message
from lacewingdock.settings import SidecarSettings
from lacewingdock.world.objects import Instance
from lacewingdock.world.upstream import Upstream


class MemoryLink:
    """One end of a link; frames stay in `sent` until a test delivers them."""

    def __init__(self, peer: Hello) -> None:
        self.peer = peer
        self.sent: list[Message] = []
        self.silent = False
        self.closed = False
        self.busy = Tally()
        self.delay = DelayEstimator()
        self.lapsed = False
        self.other: MemoryLink = self
        self.owner: FakePeers

    def send(self, message: Message) -> bool:
        """Queue a frame until a test delivers it."""
        if not self.closed and not self.silent:
            self.sent.append(message)
        return not self.closed

    def lapsed_since(self, _since: float) -> bool:
        """Return the lapse state set by the test."""
        return self.lapsed

    def is_hung_up(self) -> bool:
        """Return whether the link is closed."""
        return self.closed

    def begin(self) -> None:
        """Increment the number of outstanding answers."""
        self.busy.add(1)

    def finish(self) -> None:
        """Decrement the number of outstanding answers."""
        self.busy.add(-1)

    def wait_for_room(self) -> bool:
        """Return whether the link is open."""
        return not self.closed


class FakePeers:
    """Stores the handlers that components register."""

    def __init__(self) -> None:
        self.handlers: dict[type, list[Any]] = {}
        self.on_open: list[Any] = []
        self.on_close: list[Any] = []
        self.beat: Any = None

    def handle(self, cls: type, handler: Any) -> None:
        """Register a handler."""
        self.handlers.setdefault(cls, []).append(handler)

    def deliver(self, link: MemoryLink, message: Message) -> None:
        """Pass a frame to its handlers."""
        for handler in self.handlers.get(type(message), ()):
            handler(link, message)


class FakeDaemon:
    """Runs tasks immediately, except those that would call an upstream."""

    def __init__(self, name: str, incarnation: str) -> None:
        self.me = Hello(name, incarnation, "", "hall-a", b"")
        self.leaving = SimpleNamespace(is_set=lambda: False)
        self.metrics = prometheus_client.CollectorRegistry()

    def add(self, name: str, component: Any) -> None:
        """Ignore a component."""

    def spawn(self, function: Any, *args: Any) -> None:
        """Run a task immediately, unless it calls an upstream."""
        if getattr(function, "__name__", "") != "_serve":
            function(*args)


class Pair:
    """An entry and a sidecar; `links` holds the entry ends, oldest first."""

    def __init__(self, **settings: Any) -> None:
        self.settings = SidecarSettings(
            instance="worker-0",
            failure_domain="hall-a",
            platform="http://127.0.0.1:1",
            upstream="http://127.0.0.1:1",
            **settings,
        )
        self.links: list[MemoryLink] = []
        self.starts = 0
        self.entry_peers = FakePeers()
        instance = Instance(
            name="worker-0",
            role="sidecar",
            failure_domain="hall-a",
            address="127.0.0.1:1",
        )
        self.upstream = Upstream(instance)
        self.answers = Answers(
            FakeDaemon("entry-0", "e"),
            self.entry_peers,
            SimpleNamespace(release=lambda _upstream: None),
        )
        self.start_sidecar()
        self.connect()

    def start_sidecar(self) -> None:
        """Start a sidecar without the state of an earlier one."""
        self.starts += 1
        self.daemon = FakeDaemon("worker-0", f"w{self.starts}")
        self.peers = FakePeers()
        self.runs = Runs(
            self.daemon,
            self.settings,
            self.peers,
            SimpleNamespace(),
            None,
            SimpleNamespace(report=None),
            SimpleNamespace(
                on_end=lambda _run, _end: None, check_room=lambda: None
            ),
        )

    def connect(self) -> MemoryLink:
        """Open a new link."""
        near, far = MemoryLink(self.daemon.me), MemoryLink(Hello(*"eeeh", b""))
        near.other, far.other = far, near
        near.owner, far.owner = self.entry_peers, self.peers
        self.links.append(near)
        self.upstream.set_link(near)
        return near

    def close(self, link: MemoryLink) -> None:
        """Close both ends and notify the components."""
        for end in (link, link.other):
            if not end.closed:
                end.closed = True
                for callback in end.owner.on_close:
                    callback(end)

    def move(self, end: MemoryLink, count: int = 1_000_000) -> None:
        """Deliver queued frames of one end to the other."""
        for _ in range(min(count, len(end.sent))):
            message = end.sent.pop(0)
            end.other.owner.deliver(end.other, message)

    def deliver_all(self) -> None:
        """Deliver all queued frames of open links."""
        while any(k.sent or k.other.sent for k in self.links if not k.closed):
            for link in self.links:
                if not link.closed:
                    self.move(link)
                    self.move(link.other)


def attempt_of(name: str = "a1", **fields: Any) -> Attempt:
    return Attempt(
        name, "r1", "retail", "drafter-1", "POST", "/", b"", **fields
    )
