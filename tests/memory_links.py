"""Support for joining an entry's answers to a sidecar's runs in memory.

Everything between the caller's `take` and the upstream's pieces is the real
code; only sockets and tasks are replaced, so that a test decides which frame
arrives when.
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
    """One end of a link; frames wait in `sent` until a test moves them."""

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
        """Send a frame; it waits until a test moves it."""
        if not self.closed and not self.silent:
            self.sent.append(message)
        return not self.closed

    def lapsed_since(self, _since: float) -> bool:
        """Tell whether the test says that this end was silent too long."""
        return self.lapsed

    def is_hung_up(self) -> bool:
        """Tell whether the link is closed."""
        return self.closed

    def begin(self) -> None:
        """Count an outstanding answer."""
        self.busy.add(1)

    def finish(self) -> None:
        """Count it off."""
        self.busy.add(-1)

    def wait_for_room(self) -> bool:
        """Tell whether the link is open."""
        return not self.closed


class FakePeers:
    """Holds the handlers that components register."""

    def __init__(self) -> None:
        self.handlers: dict[type, list[Any]] = {}
        self.on_open: list[Any] = []
        self.on_close: list[Any] = []
        self.beat: Any = None

    def handle(self, cls: type, handler: Any) -> None:
        """Register a handler."""
        self.handlers.setdefault(cls, []).append(handler)

    def deliver(self, link: MemoryLink, message: Message) -> None:
        """Hand a frame to its handlers."""
        for handler in self.handlers.get(type(message), ()):
            handler(link, message)


class FakeDaemon:
    """Runs tasks at once, but for the ones that would call an upstream."""

    def __init__(self, name: str, incarnation: str) -> None:
        self.me = Hello(name, incarnation, "", "hall-a", b"")
        self.leaving = SimpleNamespace(is_set=lambda: False)
        self.metrics = prometheus_client.CollectorRegistry()

    def add(self, name: str, component: Any) -> None:
        """Take a component in."""

    def spawn(self, function: Any, *args: Any) -> None:
        """Run a task at once."""
        if getattr(function, "__name__", "") != "_serve":
            function(*args)


class Pair:
    """An entry and a sidecar; `links` are the entry's ends, oldest first."""

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
        """Start a sidecar, without what an earlier one knew."""
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
        """Close both ends and tell the components."""
        for end in (link, link.other):
            if not end.closed:
                end.closed = True
                for callback in end.owner.on_close:
                    callback(end)

    def move(self, end: MemoryLink, count: int = 1_000_000) -> None:
        """Let frames that an end sent arrive at the other."""
        for _ in range(min(count, len(end.sent))):
            message = end.sent.pop(0)
            end.other.owner.deliver(end.other, message)

    def deliver_all(self) -> None:
        """Let everything arrive that is on its way over open links."""
        while any(k.sent or k.other.sent for k in self.links if not k.closed):
            for link in self.links:
                if not link.closed:
                    self.move(link)
                    self.move(link.other)


def attempt_of(name: str = "a1", **fields: Any) -> Attempt:
    return Attempt(
        name, "r1", "retail", "drafter-1", "POST", "/", b"", **fields
    )
