"""In-memory fakes of the platform's store, links, daemons and clock."""

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
    """In-memory fake of the platform's object API.

    Attributes:
        objects: Objects by collection and name.
        revision: Revision of the latest write.
        down: Whether every call fails.
        lose_answers: Number of next writes that take effect but whose answers
            are lost.
        write_outcomes: Outcomes of the next writes; "ok" when empty. With
            "lost" the write takes effect but its answer is lost, with "dropped"
            it takes no effect, and with "late" the writer sees a failure and
            the write takes effect when `apply_late_write` is called.
        late: Writes in flight, as arguments of `_apply`.
        calls: Number of calls by purpose.
        on_call: Called before each call, so that a test can act in between.
        history: Every write as (collection, name, value).
        old: Stale listing that answers the next `list_all` instead of the
            current listing.
    """

    def __init__(self) -> None:
        """Create an empty store."""
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
        """Return an object; its revision is 0 if it does not exist."""
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
        """List the objects of a collection."""
        self._enter(purpose)
        if self.old is not None:
            listing, self.old = self.old, None
            return listing
        return self.current_listing(collection, prefix, after)

    def current_listing(
        self, collection: str, prefix: str = "", after: int = -1
    ) -> Listing:
        """Return the current listing, without counting a call."""
        found = self.objects.get(collection, {}).values()
        chosen = [
            o for o in found if o.name.startswith(prefix) and o.revision > after
        ]
        return Listing(self.revision, copy.deepcopy(chosen))

    def watch(
        self, collection: str, after: int, purpose: str, prefix: str = ""
    ) -> Listing:
        """Return the changes after a revision at once, without a long poll."""
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
        # Values that cannot be encoded must fail here as in the real client.
        value = msgspec.json.decode(msgspec.json.encode(value))
        outcome = self.write_outcomes.popleft() if self.write_outcomes else "ok"
        if outcome == "late":
            self.late.append((collection, name, value, expect, writer))
        if outcome in ("dropped", "late"):
            raise _lost_answer_error()
        stored = self._apply(collection, name, value, expect, writer)
        if self.lose_answers > 0 or outcome == "lost":
            self.lose_answers -= outcome != "lost"
            raise _lost_answer_error()
        return copy.deepcopy(stored)

    def apply_late_write(self) -> None:
        """Apply the oldest write in flight; a conflict is ignored."""
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


def _lost_answer_error() -> LacewingdockError:
    return LacewingdockError(
        ErrorKind.PLATFORM_UNAVAILABLE, "answer lost", ran="unknown"
    )


class FakeLink:
    """One side of a link; sent messages wait until they are delivered.

    Attributes:
        peer: Hello message of the other side.
        other: The other side.
        inbox: Messages that this side has yet to receive.
        closed: Whether the link is closed.
    """

    def __init__(self, peer: Hello) -> None:
        """Create an open link without messages."""
        self.peer = peer
        self.other: FakeLink = self
        self.inbox: deque[Any] = deque()
        self.closed = False

    def send(self, message: Any) -> bool:
        """Append a message to the other side's inbox; False if closed."""
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
        """Create an object without links and handlers."""
        self.links: set[FakeLink] = set()
        self.handlers: dict[type, list[Any]] = {}
        self.on_open: list[Any] = []
        self.on_close: list[Any] = []
        self.beat: Any = Beat

    def handle(self, cls: type, handler: Any) -> None:
        """Register a handler for all messages of a class."""
        self.handlers.setdefault(cls, []).append(handler)

    def opened(self, link: FakeLink) -> None:
        """Add an opened link and run the callbacks."""
        self.links.add(link)
        for callback in self.on_open:
            callback(link)

    def closed(self, link: FakeLink) -> None:
        """Close and remove a link and run the callbacks."""
        link.closed = True
        self.links.discard(link)
        for callback in self.on_close:
            callback(link)

    def deliver(self, link: FakeLink) -> bool:
        """Pass a link's oldest message to its handlers; False if none."""
        if link.closed or not link.inbox:
            return False
        message = link.inbox.popleft()
        for handler in self.handlers.get(type(message), ()):
            handler(link, message)
        return True


class FakeDaemon:
    """Stands in for a daemon; spawned tasks are recorded, not run."""

    def __init__(self, name: str, role: str, domain: str, store: Any) -> None:
        """Create a daemon without components."""
        self.me = Hello(name, f"{name}-run", role, domain, b"")
        self.store = store
        self.random = random.Random(name)
        self.stopping = threading.Event()
        self.settings = SimpleNamespace(start_peers=2)
        self.spawned: list[Any] = []

    def spawn(self, function: Any, *args: Any) -> None:
        """Record a task."""
        self.spawned.append((function, args))


class FakeClock:
    """A clock that the test moves; stands in for the module `time`."""

    def __init__(self) -> None:
        """Start late enough that times of 0 do not count as recent."""
        self.now = 1000.0

    def monotonic(self) -> float:
        """Return the fake time, in seconds."""
        return self.now


class FakeNode:
    """A daemon with its configuration and links."""

    def __init__(self, name: str, role: str, domain: str, store: Any) -> None:
        """Create a node whose heartbeats carry its revision."""
        self.peers = FakePeers()
        self.daemon = FakeDaemon(name, role, domain, store)
        self.config = Configuration(self.daemon, self.peers)  # type: ignore[arg-type]
        self.peers.beat = lambda: Beat(revision=self.config.revision)

    def beat(self) -> None:
        """Send a heartbeat on every link."""
        for link in tuple(self.peers.links):
            link.send(self.peers.beat())

    def deliver_all(self) -> bool:
        """Deliver all waiting messages; return whether there were any."""
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
    """Deliver messages until none is waiting at any node."""
    while any([node.deliver_all() for node in nodes]):
        pass


def write(store: FakeStore, name: str, value: Any) -> int:
    """Overwrite a configuration item; return its new revision."""
    current = store.objects.get(COLLECTION_CONFIG, {}).get(name)
    expect = current.revision if current else 0
    return store.put(COLLECTION_CONFIG, name, value, expect).revision
