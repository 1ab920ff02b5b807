"""Discovery of other routers, and exchange of mirrored copies with them.

Each router registers its address as an object in the platform's store. While
the store does not answer a router, that router asks others for their copies of
a kind of objects. While the store answers, no such requests are made.
"""

import gzip
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

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.copies import Copy
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.poison_requests.report import CrashReport, Losses
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.http_client import send
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.server_connection import (
    CallerDisconnected,
    ServerConnection,
    ServerRequest,
    serve_requests,
)
from lacewingdock.helpers.sockets import Listener
from lacewingdock.helpers.transfer import TransferError, TransferLimits
from lacewingdock.platform.history import format_revision
from lacewingdock.platform.object_api import ABSENT, ObjectApi
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.route import CallerLimits
from lacewingdock.world.router_entry import (
    KIND_ROUTERS,
    RouterEntry,
    host_of,
)

# Timeout in seconds of the first byte of a copy, and longest silence within it.
# A router that is gone does not answer at all.
PULL_TIMEOUT_S: Final = 0.5
# Longest time in seconds from the first byte of a copy to the last: a megabyte
# over a slow link that other work shares.
PULL_TRANSFER_S: Final = 5.0
# Shortest copy in bytes that is compressed, and the level: the fastest one
# shrinks a configuration of many routes to a tenth.
MIN_COMPRESSED_BYTES: Final = 4096
COMPRESSION_LEVEL: Final = 1
# Routers asked in one round: the second in case the first is gone, or is
# partitioned from the store as well.
ROUTERS_PER_PULL: Final = 2
# Longest encoded changes that are sent to followers, in bytes: all followers of
# a group fetch at once, and changes that saturate a watcher's link reach some
# of them seconds late.
MAX_CHANGES_BYTES: Final = 32 * 1024
# Longest copy that is read, in bytes: 6,500 upstream entries of 1 KB, and as
# much again.
MAX_COPY_BYTES: Final = 16 * 1024 * 1024
# Longest time in seconds between two announcements of a router: with 1,200
# routers these are about three writes a second, under a hundredth of the
# platform's rate.
ANNOUNCE_EVERY_S: Final = 600.0
# Seconds without an announcement after which a router is gone: this allows for
# several failed announcements and for clocks that are wrong by minutes.
GONE_AFTER_S: Final = 3600.0
# Seconds for which the status from an earlier start of a router stays valid: an
# older one may name instances and requests that no longer exist.
LOSSES_VALID_S: Final = 300.0
# Connections from other routers that are served at once.
MAX_CONNECTIONS: Final = 64
_PULL_LIMITS: Final = TransferLimits(
    PULL_TIMEOUT_S, PULL_TIMEOUT_S, PULL_TRANSFER_S
)
_LIMITS: Final = CallerLimits(read_s=1.0, idle_s=2.0)

log = get_logger("routers")


@dataclass(slots=True)
class RouterStatus:
    """Status that a router publishes to all others through the store.

    Attributes:
        incarnation: Incarnation of the router that wrote the status; the stored
            object outlives it.
        losses: Instances that lost a request, by the request's traits.
        told_at: Unix time of the write, in seconds; 0 if not given.
        recurrent: Traits whose losses recurred.
        cleared: Instances whose loss does not count against a trait, by trait.
    """

    incarnation: str
    losses: Losses = field(default_factory=dict)
    told_at: int = 0
    recurrent: list[str] = field(default_factory=list)
    cleared: Losses = field(default_factory=dict)

    @property
    def report(self) -> CrashReport:
        """The crashes that the router reports."""
        return CrashReport(self.losses, self.recurrent, self.cleared)

    def is_valid_for(self, incarnation: str, now: float) -> bool:
        """Return whether the status is valid for an incarnation.

        A recent status of an earlier incarnation is: when all routers stop at
        once, it holds the only evidence of poison requests, which crash the
        instances that run them.

        Args:
            incarnation: Current incarnation of the router.
            now: Unix time in seconds.
        """
        if self.incarnation == incarnation:
            return True
        return abs(now - self.told_at) <= LOSSES_VALID_S


class Routers:
    """Directory of the fleet's routers, and client of their copies.

    Attributes:
        api: Client of the platform's store.
        name: This router's name.
        entry: This router's entry.
        entries: Entries of all routers by name, including this one.
        first_peers: Returns the addresses that are asked while there are no
            entries of other routers.
        tell: Returns the reports that are sent along with a request for a
            copy, as this router cannot write them to the store then.
        revisions: Revisions of the other routers' objects, by name.
        on_status: Called with a router's name and its status; with this
            router's own name for the status of its earlier incarnation.
        recovered: Whether the status of the earlier incarnation was read.
        revision: Last observed revision of this router's object.
        due: Set when this router is to announce itself again.
        random: Source of random draws.
    """

    __slots__ = (
        "api",
        "due",
        "entries",
        "entry",
        "first_peers",
        "name",
        "on_status",
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
        """Build a directory of this router alone; `announce` registers it."""
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
        self.on_status: Callable[[str, RouterStatus], None] = lambda *_: None

    def count(self) -> int:
        """Return the number of routers, including this one."""
        return len(self.entries)

    def announce(self) -> bool:
        """Write this router's entry; return whether it was written.

        Replaces the entry of an earlier incarnation, at the same address or at
        another.
        """
        self.entry.seen_at = int(time.time())
        spec = msgspec.to_builtins(self.entry)
        try:
            written, found = self.api.overwrite(
                KIND_ROUTERS, self.name, spec, self.revision, "announce"
            )
        except LacewingdockError as error:
            log.warning("announcement failed", error=str(error))
            return False
        self.revision = found.revision
        log.info("announced", address=self.entry.address, written=written)
        return written

    def publish(self, report: CrashReport) -> bool:
        """Publish where requests were lost; return whether it was written.

        A conflict comes from an earlier write whose answer was lost, since no
        other process writes this object; the write is repeated once.
        """
        told_at = int(time.time())
        status = RouterStatus(
            self.entry.incarnation,
            report.losses,
            told_at,
            report.recurrent,
            report.cleared,
        )
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
                log.warning("status write failed", error=str(error))
                return False
            self.revision = found.revision
            if written:
                log.info(
                    "status",
                    losses=len(report.losses),
                    revision=format_revision(found.revision),
                )
                return True
        return False

    def remove_gone(self) -> None:
        """Remove the objects of routers that are gone.

        Nothing else removes them, and each would forever count as a router
        that shares the fleet's retry budget, and be asked for copies in each
        outage. A router that was merely unreachable announces itself again.
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
                log.warning("router removal failed", error=str(error))
                return
            log.info("router removed", router=name, gone=gone)

    def pull(self, kind: str, revision: int) -> Copy:
        """Return the newest copy that other routers have beyond a revision."""
        others = self.addresses()
        asked = self.random.sample(others, min(ROUTERS_PER_PULL, len(others)))
        found: list[Copy] = []
        newest = revision
        for address in asked:
            copy = self._pull_from(address, kind, newest)
            if copy is None:
                continue
            found.append(copy)
            if copy.snapshot is not None:
                # The next router sends no copy that is not newer.
                newest = max(newest, copy.snapshot.revision)
        return merge_newest(found, revision)

    def drop(self, stored: StoredObject) -> None:
        """Remove a router whose entry was removed from the store."""
        self.revisions.pop(stored.name, None)
        gone = self.entries.pop(stored.name, None)
        if gone is not None:
            self.on_status(stored.name, RouterStatus(gone.incarnation))

    def take(self, stored: StoredObject) -> None:
        """Apply a router's entry; of this router's own, only the status."""
        if stored.name == self.name:
            self._apply_earlier_status(stored)
            return
        try:
            entry = msgspec.convert(stored.spec, RouterEntry)
        except msgspec.ValidationError as error:
            log.error(
                "invalid router entry", router=stored.name, error=str(error)
            )
            return
        self.revisions[stored.name] = stored.revision
        known = self.entries.get(stored.name)
        self.entries[stored.name] = entry
        if known is None or known.incarnation != entry.incarnation:
            log.info(
                "router",
                router=stored.name,
                address=entry.address,
            )
        self._apply_status(stored, entry)

    def _apply_earlier_status(self, stored: StoredObject) -> None:
        """Apply the status of this router's earlier incarnation, once."""
        if self.recovered:
            return
        self.recovered = True
        earlier: dict[str, str] = stored.status or {}
        if earlier.get("incarnation") not in (None, self.entry.incarnation):
            self._apply_status(stored, self.entry)

    def _apply_status(self, stored: StoredObject, entry: RouterEntry) -> None:
        """Pass on a router's status; an empty one if it is outdated."""
        status = RouterStatus(entry.incarnation)
        if stored.status:
            try:
                found = msgspec.convert(stored.status, RouterStatus)
            except msgspec.ValidationError as error:
                log.error(
                    "invalid router status",
                    router=stored.name,
                    error=str(error),
                )
                return
            if found.is_valid_for(entry.incarnation, time.time()):
                status = found
        self.on_status(stored.name, status)

    def host_of(self, name: str) -> str | None:
        """Return another router's IP address, from its entry."""
        entry = self.entries.get(name)
        if entry is None or name == self.name:
            return None
        return host_of(entry.address)

    def is_at(self, name: str, host: str) -> bool:
        """Return whether another router's entry has an IP address."""
        return self.host_of(name) == host

    def addresses(self) -> list[str]:
        """Return the addresses of the other routers.

        A router that starts while the store is unavailable has only the
        configured first peers; without them it would refuse all requests until
        the store is back.
        """
        known = {
            entry.address
            for name, entry in self.entries.items()
            if name != self.name
        }
        found = known or set(self.first_peers())
        return sorted(found - {self.entry.address})

    def fetch(self, router: str, kind: str, revision: int) -> Copy | None:
        """Return a router's changes of a kind after a revision.

        Returns:
            The changes, or the complete copy if its history does not reach
            back that far; None if the router does not answer.
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
                limits=_PULL_LIMITS,
                max_bytes=MAX_COPY_BYTES,
            )
            if reply.status != HTTPStatus.OK:
                return None
            found: Copy = decode_json(reply.body, Copy)
        except (TransferError, msgspec.DecodeError) as error:
            log.info(
                "copy request failed",
                kind=kind,
                address=address,
                error=str(error),
            )
            return None
        return found


class CopyServer:
    """Serves this router's mirrored copies to other routers.

    Attributes:
        mirrors: The mirrors by kind.
        health: Availability of the store as this router observes it.
        on_report: Called with the reports that another router sends along with
            its request.
        listener: Accepts the connections.
    """

    __slots__ = ("health", "listener", "mirrors", "on_report")

    def __init__(
        self,
        address: tuple[str, int],
        mirrors: Mapping[str, Mirror],
        health: StoreHealth,
        on_report: Callable[[bytes], None],
    ) -> None:
        """Bind the port; `listener.run` serves it.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.mirrors = mirrors
        self.health = health
        self.on_report = on_report
        self.listener = Listener("copies", address, self.serve, MAX_CONNECTIONS)

    def serve(self, sock: socket.socket, _: float) -> None:
        """Serve one connection."""
        try:
            serve_requests(sock, _LIMITS, self._answer)
        except (CallerDisconnected, LacewingdockError) as error:
            log.info("router request failed", error=repr(error))

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
            self.on_report(request.body)
        copy = build_copy(
            mirror, self.health, int(after), changes="changes" in query
        )
        headers = [(b"Content-Type", b"application/json")]
        body = msgspec.json.encode(copy)
        if "changes" in query and len(body) > MAX_CHANGES_BYTES:
            body = msgspec.json.encode(Copy(copy.sure, too_long=True))
        if len(body) >= MIN_COMPRESSED_BYTES and _accepts_gzip(request):
            body = gzip.compress(body, COMPRESSION_LEVEL)
            headers.append((b"Content-Encoding", b"gzip"))
        connection.answer(HTTPStatus.OK, headers, body)


def _accepts_gzip(request: ServerRequest) -> bool:
    """Whether the client accepts a compressed body."""
    codings = b",".join(
        value for name, value in request.headers if name == b"accept-encoding"
    )
    return b"gzip" in codings


def merge_newest(copies: Iterable[Copy], revision: int) -> Copy:
    """Merge several routers' answers into one with the newest copy.

    Args:
        copies: The answers.
        revision: Revision after which the routers were asked.
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


def build_copy(
    mirror: Mirror, health: StoreHealth, after: int, *, changes: bool
) -> Copy:
    """Build the answer to another router that asks for a kind.

    Args:
        mirror: This router's mirror of the kind.
        health: Availability of the store as this router observes it.
        after: Revision up to which the other router's copy is complete.
        changes: Whether changes suffice; otherwise the complete copy is sent.
    """
    sure = not health.doubtful
    if changes:
        return mirror.updates_after(after, sure=sure)
    age = mirror.state()
    copy = Copy(sure)
    if age is not None:
        copy.age_s = max(mirror.clock.now() - age.as_of, 0.0)
    found = mirror.snapshot()
    if found is not None and found.revision > after:
        copy.snapshot = found
    return copy
