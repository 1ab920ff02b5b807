"""In-memory fakes of what the system meets."""

import contextlib
import copy
import random
import threading
from collections import deque
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec

from lacewingdock.components.configuration import Configuration
from lacewingdock.const import COLLECTION_CONFIG
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.messages import Beat, Hello
from lacewingdock.platform.store import Listing, Stored


class FakeStore:
    """The platform's object API in memory.

    Attributes:
        objects: Objects by collection and name.
        revision: The last revision given.
        down: Whether every call fails.
        lose_answers: Writes whose answer is lost after they took effect.
        fates: What happens to the next writes, "ok" when empty: "lost",
            "dropped" before they took effect, or "late": given up by the
            writer, taking effect when `arrive` is called.
        late: Writes under way, each the arguments of a put.
        calls: Calls by purpose.
        on_call: Called before each call, to let others act in between.
        history: Every write as (collection, name, value).
        old: A listing to answer the next list with, instead of the present.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.objects: dict[str, dict[str, Stored]] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.write_outcomes: deque[str] = deque()
        self.late: list[tuple[str, str, Any, int, str]] = []
        self.calls: dict[str, int] = {}
        self.on_call: Callable[[], None] | None = None
        self.history: list[tuple[str, str, Any]] = []
        self.old: Listing | None = None

    def _enter(self, purpose: str) -> None:
        self.calls[purpose] = self.calls.get(purpose, 0) + 1
        if self.on_call is not None:
            self.on_call()
        if self.down:
            raise LacewingdockError(ErrorKind.PLATFORM_UNAVAILABLE, "down")

    def get(self, collection: str, name: str, purpose: str = "") -> Stored:
        """Read an object."""
        self._enter(purpose)
        found = self.objects.get(collection, {}).get(name, Stored(name, 0))
        return copy.deepcopy(found)

    def list_all(
        self,
        collection: str,
        purpose: str = "",
        prefix: str = "",
        after: int = -1,
    ) -> Listing:
        """Read all objects of a collection."""
        self._enter(purpose)
        if self.old is not None:
            listing, self.old = self.old, None
            return listing
        return self.current_listing(collection, prefix, after)

    def current_listing(
        self, collection: str, prefix: str = "", after: int = -1
    ) -> Listing:
        """Return what a list shows now."""
        found = self.objects.get(collection, {}).values()
        chosen = [
            o for o in found if o.name.startswith(prefix) and o.revision > after
        ]
        return Listing(self.revision, copy.deepcopy(chosen))

    def watch(
        self, collection: str, after: int, purpose: str, prefix: str = ""
    ) -> Listing:
        """Return what changed, without waiting."""
        return self.list_all(collection, purpose, prefix, after)

    def put(
        self,
        collection: str,
        name: str,
        value: Any,
        expect: int,
        purpose: str = "",
        writer: str = "",
    ) -> Stored:
        """Write an object if its revision is the expected one."""
        self._enter(purpose)
        # As the real client does: what can't be encoded must fail here too.
        value = msgspec.json.decode(msgspec.json.encode(value))
        outcome = self.write_outcomes.popleft() if self.write_outcomes else "ok"
        if outcome == "late":
            self.late.append((collection, name, value, expect, writer))
        if outcome in ("dropped", "late"):
            raise _answer_lost()
        stored = self._apply(collection, name, value, expect, writer)
        if self.lose_answers > 0 or outcome == "lost":
            self.lose_answers -= outcome != "lost"
            raise _answer_lost()
        return copy.deepcopy(stored)

    def apply_late_write(self) -> None:
        """Let the oldest late write reach the platform."""
        with contextlib.suppress(LacewingdockError):
            self._apply(*self.late.pop(0))

    def _apply(
        self, collection: str, name: str, value: Any, expect: int, writer: str
    ) -> Stored:
        objects = self.objects.setdefault(collection, {})
        current = objects.get(name, Stored(name, 0))
        if current.revision != expect:
            raise LacewingdockError(
                ErrorKind.CONFLICT,
                f"{collection}/{name}: revision is {current.revision}",
            )
        self.revision += 1
        stored = Stored(name, self.revision, value, writer)
        objects[name] = stored
        self.history.append((collection, name, stored.value))
        return stored


def _answer_lost() -> LacewingdockError:
    return LacewingdockError(
        ErrorKind.PLATFORM_UNAVAILABLE, "answer lost", ran="unknown"
    )


class FakeLink:
    """One side of a link; what it sends waits until it is delivered.

    Attributes:
        peer: What the other side said of itself.
        other: The other side.
        inbox: Messages on their way here.
        closed: Whether the link is closed.
    """

    def __init__(self, peer: Hello) -> None:
        """Start open and empty."""
        self.peer = peer
        self.other: FakeLink = self
        self.inbox: deque[Any] = deque()
        self.closed = False

    def send(self, message: Any) -> bool:
        """Put a message on its way."""
        if self.closed:
            return False
        self.other.inbox.append(message)
        return True

    def close(self, reason: str) -> None:
        """Close this side."""
        self.closed = True


class FakePeers:
    """The links of one daemon, without sockets."""

    def __init__(self) -> None:
        """Start without links."""
        self.links: set[FakeLink] = set()
        self.handlers: dict[type, list[Any]] = {}
        self.on_open: list[Any] = []
        self.on_close: list[Any] = []
        self.beat: Any = Beat

    def handle(self, cls: type, handler: Any) -> None:
        """Let a handler take every message of a class."""
        self.handlers.setdefault(cls, []).append(handler)

    def opened(self, link: FakeLink) -> None:
        """Take a link in."""
        self.links.add(link)
        for callback in self.on_open:
            callback(link)

    def closed(self, link: FakeLink) -> None:
        """Let a link go."""
        link.closed = True
        self.links.discard(link)
        for callback in self.on_close:
            callback(link)

    def deliver(self, link: FakeLink) -> bool:
        """Hand on the oldest message of a link, if there is one."""
        if link.closed or not link.inbox:
            return False
        message = link.inbox.popleft()
        for handler in self.handlers.get(type(message), ()):
            handler(link, message)
        return True


class FakeDaemon:
    """What a component needs of its daemon; tasks are not run."""

    def __init__(self, name: str, role: str, domain: str, store: Any) -> None:
        """Start a daemon without components."""
        self.me = Hello(name, f"{name}-run", role, domain, b"")
        self.store = store
        self.random = random.Random(name)
        self.stopping = threading.Event()
        self.settings = SimpleNamespace(start_peers=2)
        self.spawned: list[Any] = []

    def spawn(self, function: Any, *args: Any) -> None:
        """Note a task."""
        self.spawned.append((function, args))


class FakeClock:
    """A clock that the test moves; stands in for the module `time`."""

    def __init__(self) -> None:
        """Start late enough that nothing counts as recent."""
        self.now = 1000.0

    def monotonic(self) -> float:
        """Return the time."""
        return self.now


class FakeNode:
    """A daemon with its configuration and links."""

    def __init__(self, name: str, role: str, domain: str, store: Any) -> None:
        """Start it."""
        self.peers = FakePeers()
        self.daemon = FakeDaemon(name, role, domain, store)
        self.config = Configuration(self.daemon, self.peers)  # type: ignore[arg-type]
        self.peers.beat = lambda: Beat(revision=self.config.revision)

    def beat(self) -> None:
        """Beat every link."""
        for link in tuple(self.peers.links):
            link.send(self.peers.beat())

    def deliver_all(self) -> bool:
        """Hand on all that waits here; tell whether there was any."""
        done = [
            self.peers.deliver(link)
            for link in tuple(self.peers.links)
            for _ in range(len(link.inbox))
        ]
        return any(done)


def connect(one: FakeNode, two: FakeNode) -> None:
    """Open a link between two nodes."""
    here, there = FakeLink(two.daemon.me), FakeLink(one.daemon.me)
    here.other, there.other = there, here
    one.peers.opened(here)
    two.peers.opened(there)


def disconnect(one: FakeNode, two: FakeNode) -> None:
    """Close the links between two nodes."""
    for link in tuple(one.peers.links):
        if link.peer is two.daemon.me:
            two.peers.closed(link.other)
            one.peers.closed(link)


def deliver_until_idle(nodes: list[FakeNode]) -> None:
    """Deliver until nothing is on its way."""
    while any([node.deliver_all() for node in nodes]):
        pass


def write(store: FakeStore, name: str, value: Any) -> int:
    """Write a configuration item over what it is; return its revision."""
    current = store.objects.get(COLLECTION_CONFIG, {}).get(name)
    expect = current.revision if current else 0
    return store.put(COLLECTION_CONFIG, name, value, expect).revision
