"""Support for routers to find each other and to share what they mirror.

Each router keeps an object with its address in the platform's store. Others
ask it for its copy of a kind of objects while the store does not answer
them. Nothing is asked while it does, so it costs nothing on a calm day.
"""

import math
import random
import socket
import threading
import time
import urllib.parse
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

import msgspec
import pycurl

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.copies import Copy
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.http_client import send
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.server_connection import (
    CallerGone,
    ServerConnection,
    ServerRequest,
    serve_requests,
)
from lacewingdock.helpers.sockets import Listener
from lacewingdock.platform.history import format_revision
from lacewingdock.platform.object_api import ABSENT, ObjectApi
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.route import CallerLimits
from lacewingdock.world.router_entry import (
    KIND_ROUTERS,
    RouterEntry,
    host_of,
)

# How long a copy is waited for: a round trip and the copy's size; a router
# that is gone does not answer at all.
PULL_S: Final = 0.5
# Routers asked in one round: the second is for the case that the first is
# gone or as cut off as the one that asks.
ASKED: Final = 2
# Longest news that are passed on to followers: all of a group fetch at once,
# and what fills a watcher's link comes into force seconds late on some.
MAX_NEWS_BYTES: Final = 32 * 1024
# Longest copy that is read: 6,500 upstream entries of 1 KB, and as much again.
MAX_COPY_BYTES: Final = 16 * 1024 * 1024
# How often a router announces itself again, at the latest: at 1,200 routers
# about three writes a second, under a hundredth of the platform's.
ANNOUNCE_EVERY_S: Final = 600.0
# A router that did not for so long is gone: several announcements that failed,
# and clocks that are wrong by minutes.
GONE_AFTER_S: Final = 3600.0
# What an earlier start of a router told counts for so long: it may name
# instances and requests of another day.
LOSSES_COUNT_S: Final = 300.0
# Connections from other routers served at once.
MAX_CONNECTIONS: Final = 64
_LIMITS: Final = CallerLimits(read_s=1.0, idle_s=2.0)

log = get_logger("routers")


@dataclass(slots=True)
class RouterStatus:
    """What a router tells all others through the store.

    Attributes:
        incarnation: The start that tells it; an object outlives it.
        losses: Instances at which requests were lost, by fingerprint.
        told_at: Unix time at which it was told, in seconds; 0 where not said.
    """

    incarnation: str
    losses: dict[str, list[str]] = field(default_factory=dict)
    told_at: int = 0

    def counts_for(self, incarnation: str, now: float) -> bool:
        """Whether it counts at a start of its router.

        What an earlier start told still does: when all routers end at once,
        it is all that is known of requests that crash what runs them.

        Args:
            incarnation: The start.
            now: Unix time in seconds.
        """
        if self.incarnation == incarnation:
            return True
        return abs(now - self.told_at) <= LOSSES_COUNT_S


class Routers:
    """The other routers.

    Attributes:
        api: The platform's store.
        name: This router's name.
        entry: This router's entry.
        entries: Every router's entry by name.
        first_peers: Returns addresses that are asked while no entries are
            known.
        tell: Returns what others are told along with a question; this
            router can't write it to the store then.
        revisions: Revisions of the other routers' objects, by name.
        heard: Takes what a router tells all, by its name; under this one's own
            what its earlier start told.
        recovered: Whether that was looked at.
        revision: Revision of this router's object, as far as it knows.
        due: Set when this router is to announce itself again.
        random: Source of draws.
    """

    __slots__ = (
        "api",
        "due",
        "entries",
        "entry",
        "first_peers",
        "heard",
        "name",
        "random",
        "recovered",
        "revision",
        "revisions",
        "tell",
    )

    def __init__(
        self,
        api: ObjectApi,
        name: str,
        entry: RouterEntry,
        first_peers: Callable[[], tuple[str, ...]],
        source: random.Random,
    ) -> None:
        """Take this router's entry; `announce` writes it."""
        self.api = api
        self.name = name
        self.entry = entry
        self.entries: dict[str, RouterEntry] = {name: entry}
        self.first_peers = first_peers
        self.random = source
        self.revision = ABSENT
        self.due = threading.Event()
        self.recovered = False
        self.revisions: dict[str, int] = {}
        self.tell: Callable[[], bytes] = lambda: b""
        self.heard: Callable[[str, RouterStatus], None] = lambda *_: None

    def count(self) -> int:
        """Return how many routers there are, this one too."""
        return len(self.entries)

    def announce(self) -> bool:
        """Write this router's entry; return whether it stands.

        An earlier start of the router may have left one, at the same address
        or another.
        """
        self.entry.seen_at = int(time.time())
        spec = msgspec.to_builtins(self.entry)
        try:
            written, found = self.api.overwrite(
                KIND_ROUTERS, self.name, spec, self.revision, "announce"
            )
        except LacewingdockError as error:
            log.warning("not announced", error=str(error))
            return False
        self.revision = found.revision
        log.info("announced", address=self.entry.address, written=written)
        return written

    def publish(self, losses: dict[str, list[str]]) -> bool:
        """Tell all routers where requests were lost; return whether it stands.

        A conflict is an earlier write whose answer was lost: nobody else
        writes this object.
        """
        told_at = int(time.time())
        status = RouterStatus(self.entry.incarnation, losses, told_at)
        for _ in range(2):
            try:
                written, found = self.api.write_status(
                    KIND_ROUTERS,
                    self.name,
                    msgspec.to_builtins(status),
                    self.revision,
                    "router-status",
                )
            except LacewingdockError as error:
                log.warning("status not written", error=str(error))
                return False
            self.revision = found.revision
            if written:
                log.info(
                    "status",
                    losses=len(losses),
                    revision=format_revision(found.revision),
                )
                return True
        return False

    def remove_gone(self) -> None:
        """Remove the objects of routers that are gone for good.

        Nothing else does: each would be counted for good where the fleet's
        retries are divided, and be asked for copies in each outage. Who was
        merely away for long announces itself again.
        """
        before = time.time() - GONE_AFTER_S
        for name, entry in list(self.entries.items()):
            if name == self.name or entry.seen_at > before:
                continue
            revision = self.revisions.get(name, ABSENT)
            try:
                gone = self.api.remove(
                    KIND_ROUTERS, name, revision, "remove-router"
                )
            except LacewingdockError as error:
                log.warning("router not removed", error=str(error))
                return
            log.info("router removed", router=name, gone=gone)

    def pull(self, kind: str, revision: int) -> Copy:
        """Return the newest copy that others have beyond a revision."""
        others = self.addresses()
        asked = self.random.sample(others, min(ASKED, len(others)))
        found = [self._pull_from(one, kind, revision) for one in asked]
        return newest_of([one for one in found if one is not None], revision)

    def drop(self, stored: StoredObject) -> None:
        """Forget a router whose entry was removed."""
        self.revisions.pop(stored.name, None)
        gone = self.entries.pop(stored.name, None)
        if gone is not None:
            self.heard(stored.name, RouterStatus(gone.incarnation))

    def take(self, stored: StoredObject) -> None:
        """Take a router's entry; of its own, what its earlier start told."""
        if stored.name == self.name:
            self._recover(stored)
            return
        try:
            entry = msgspec.convert(stored.spec, RouterEntry)
        except msgspec.ValidationError as error:
            log.error("entry refused", router=stored.name, error=str(error))
            return
        self.revisions[stored.name] = stored.revision
        known = self.entries.get(stored.name)
        self.entries[stored.name] = entry
        if known is None or known.incarnation != entry.incarnation:
            log.info("router", router=stored.name, address=entry.address)
        self._take_status(stored, entry)

    def _recover(self, stored: StoredObject) -> None:
        """Take what an earlier start of this router told, once."""
        if self.recovered:
            return
        self.recovered = True
        told: dict[str, str] = stored.status or {}
        if told.get("incarnation") not in (None, self.entry.incarnation):
            self._take_status(stored, self.entry)

    def _take_status(self, stored: StoredObject, entry: RouterEntry) -> None:
        """Take what a router tells."""
        status = RouterStatus(entry.incarnation)
        if stored.status:
            try:
                found = msgspec.convert(stored.status, RouterStatus)
            except msgspec.ValidationError as error:
                log.error(
                    "status refused", router=stored.name, error=str(error)
                )
                return
            if found.counts_for(entry.incarnation, time.time()):
                status = found
        self.heard(stored.name, status)

    def host_of(self, name: str) -> str | None:
        """Return another router's IP number, by its entry."""
        entry = self.entries.get(name)
        if entry is None or name == self.name:
            return None
        return host_of(entry.address)

    def is_at(self, name: str, host: str) -> bool:
        """Whether another router is at an IP number, by its entry."""
        return self.host_of(name) == host

    def addresses(self) -> list[str]:
        """Return the addresses of other routers, as far as they are known.

        A router that starts while the store is away knows none but the first
        ones; without them it would refuse everything until the store is back.
        """
        known = {
            entry.address
            for name, entry in self.entries.items()
            if name != self.name
        }
        found = known or set(self.first_peers())
        return sorted(found - {self.entry.address})

    def fetch(self, router: str, kind: str, revision: int) -> Copy | None:
        """Return what a router has of a kind beyond a revision.

        Returns:
            The changes, or the whole copy where some are no longer known;
            None where it does not answer.
        """
        entry = self.entries.get(router)
        if entry is None:
            return None
        return self._pull_from(entry.address, kind, revision, changes=True)

    def _pull_from(
        self, address: str, kind: str, revision: int, *, changes: bool = False
    ) -> Copy | None:
        fields = {"after": revision} | ({"changes": 1} if changes else {})
        query = urllib.parse.urlencode(fields)
        path = urllib.parse.quote(kind, safe="")
        url = f"http://{address}/copies/{path}?{query}"
        try:
            reply = send(
                url,
                None if changes else self.tell(),
                timeout_s=PULL_S,
                max_bytes=MAX_COPY_BYTES,
            )
            if reply.status != HTTPStatus.OK:
                return None
            found: Copy = decode_json(reply.body, Copy)
        except (pycurl.error, msgspec.DecodeError) as error:
            log.info("no copy", kind=kind, address=address, error=str(error))
            return None
        return found


class CopiesPort:
    """Answers other routers with copies of what this one mirrors.

    Attributes:
        mirrors: The mirrors by kind.
        health: What this router knows of the store.
        told: Takes what another router tells along with a question.
        listener: Accepts the connections.
    """

    __slots__ = ("health", "listener", "mirrors", "told")

    def __init__(
        self,
        address: tuple[str, int],
        mirrors: Mapping[str, Mirror],
        health: StoreHealth,
        told: Callable[[bytes], None],
    ) -> None:
        """Bind the port; `listener.run` serves it.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.mirrors = mirrors
        self.health = health
        self.told = told
        self.listener = Listener("copies", address, self.serve, MAX_CONNECTIONS)

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection."""
        try:
            serve_requests(sock, _LIMITS, self._answer)
        except (CallerGone, LacewingdockError) as error:
            log.info("router's request unread", error=repr(error))

    def _answer(
        self, connection: ServerConnection, request: ServerRequest
    ) -> None:
        url = urllib.parse.urlsplit(request.target.decode("latin-1"))
        kind = urllib.parse.unquote(url.path.removeprefix("/copies/"))
        query = urllib.parse.parse_qs(url.query)
        after = query.get("after", ["0"])[0]
        mirror = self.mirrors.get(kind)
        if mirror is None or not after.isdigit():
            connection.answer(HTTPStatus.NOT_FOUND, [], b"")
            return
        if request.body:
            self.told(request.body)
        copy = copy_for(
            mirror, self.health, int(after), changes="changes" in query
        )
        headers = [(b"Content-Type", b"application/json")]
        body = msgspec.json.encode(copy)
        if "changes" in query and len(body) > MAX_NEWS_BYTES:
            body = msgspec.json.encode(Copy(copy.sure, too_long=True))
        connection.answer(HTTPStatus.OK, headers, body)


def newest_of(copies: Iterable[Copy], revision: int) -> Copy:
    """Return the best of several routers' answers in one.

    Args:
        copies: The answers.
        revision: The revision beyond which they were asked.
    """
    best = Copy(sure=False)
    for one in copies:
        if one.sure:
            known_s = math.inf if best.age_s is None else best.age_s
            best.age_s = min(known_s, one.age_s or 0.0)
            best.sure = True
        newest = best.snapshot.revision if best.snapshot else revision
        if one.snapshot and one.snapshot.revision > newest:
            best.snapshot = one.snapshot
    return best


def copy_for(
    mirror: Mirror, health: StoreHealth, after: int, *, changes: bool
) -> Copy:
    """Return what another router lacks of a kind.

    Args:
        mirror: This router's copy.
        health: What this router knows of the store.
        after: Revision up to which the other has it.
        changes: Whether the changes do; else the whole copy.
    """
    sure = not health.doubtful
    if changes:
        return mirror.news(after, sure=sure)
    age = mirror.state()
    copy = Copy(sure)
    if age is not None:
        copy.age_s = max(mirror.clock.now() - age.as_of, 0.0)
    found = mirror.snapshot()
    if found is not None and found.revision > after:
        copy.snapshot = found
    return copy
