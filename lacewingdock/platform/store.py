"""Support for the platform's object API.

This module is the only one that knows the API's protocol. Another object API
with versions, conditional updates and watches needs another of these.
"""

import contextlib
import io
import secrets
import threading
import urllib.parse
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar, cast

import msgspec
import pycurl

from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.budget import CallBudget
from lacewingdock.world.objects import Instance

CALL_TIMEOUT_S: Final = 2.0
# A connection can go silent for good while new ones work. A watcher is then
# deaf until its wait runs out, so the wait stays well below the 19 seconds in
# which a change must be in force.
WATCH_TIMEOUT_S: Final = 8.0
SETTLE_TRIES: Final = 2
ABSENT: Final = 0

# A listing beyond this would take the daemon's whole memory.
MAX_ANSWER_BYTES: Final = 32 * 1024 * 1024

_ABORT: Final = -1
_HTTP_OK: Final = 200
_HTTP_NOT_MODIFIED: Final = 304
_HTTP_NOT_FOUND: Final = 404
_HTTP_CONFLICT: Final = 409
_HTTP_TOO_MANY: Final = 429

T = TypeVar("T")

log = get_logger("platform")


@dataclass(slots=True)
class Stored:
    """An object as the platform holds it.

    Attributes:
        name: Its name in the collection.
        revision: The platform's revision, growing over all objects.
        value: Decoded JSON; None for a tombstone.
        writer: Id of the write that made it, to settle lost answers.
    """

    name: str
    revision: int
    value: Any = None
    writer: str = ""


@dataclass(slots=True)
class Listing:
    """Objects of a collection, complete up to a revision."""

    revision: int
    objects: list[Stored] = field(default_factory=list)


@dataclass(slots=True)
class Written:
    """The platform's answer to a write: the object's revision now."""

    revision: int


@dataclass(slots=True)
class Reply:
    """An HTTP answer of the platform.

    Attributes:
        status: HTTP status; one that `_call` was told to expect.
        body: The body, not decoded.
        tag: The ETag header; empty when there was none.
    """

    status: int
    body: bytes
    tag: str


class ObjectStore:
    """A client of the object API; safe to use from any task.

    Attributes:
        url: Where the platform answers.
        calls: Calls made so far, by purpose; a waiting watch is one.
        budget: Bounds the calls.
    """

    __slots__ = ("_instances", "_local", "_tag", "budget", "calls", "url")

    def __init__(self, url: str) -> None:
        """Take the platform's URL."""
        self.url = url
        self.calls: dict[str, int] = {}
        self.budget = CallBudget()
        self._local = threading.local()
        self._tag = ""
        self._instances: list[Instance] = []

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Read an object; a missing one has revision `ABSENT`.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        path = _path(collection, name)
        reply = self._call("GET", path, purpose, also=_HTTP_NOT_FOUND)
        if reply.status == _HTTP_NOT_FOUND:
            return Stored(name, ABSENT)
        return _decode(reply, Stored, RAN_NO)

    def list_all(
        self, collection: str, purpose: str, prefix: str = "", after: int = -1
    ) -> Listing:
        """Read all objects of a collection whose names start with a prefix.

        Args:
            collection: The collection.
            purpose: What the call is for, in the count of calls.
            prefix: What the names start with.
            after: Only what changed after this revision, tombstones too.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        query = urllib.parse.urlencode({"prefix": prefix, "after": after})
        reply = self._call("GET", f"{_path(collection)}?{query}", purpose)
        return _decode(reply, Listing, RAN_NO)

    def watch(
        self, collection: str, after: int, purpose: str, prefix: str = ""
    ) -> Listing:
        """Wait for changes after a revision; tombstones have no value.

        Returns:
            The changes, none when the wait ran out.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "wait": WATCH_TIMEOUT_S}
        )
        reply = self._call(
            "GET",
            f"{_path(collection)}?{query}",
            purpose,
            timeout_s=WATCH_TIMEOUT_S + CALL_TIMEOUT_S,
        )
        return _decode(reply, Listing, RAN_NO)

    def put(
        self,
        collection: str,
        name: str,
        value: Any,
        expect: int,
        purpose: str,
        writer: str = "",
    ) -> Stored:
        """Write an object if its revision is the expected one.

        A lost answer is settled by reading the object back: the write took
        effect exactly if the object, or a later one's history, carries this
        write's id. Without that a repeated write would meet its own
        effect and be reported as a conflict.

        Args:
            collection: The collection.
            name: Name of the object.
            value: What `msgspec` can encode as JSON; None for a tombstone,
                which stays in the collection so that lists show it.
            expect: Revision it must have; `ABSENT` for none.
            purpose: What the call is for, in the count of calls.
            writer: Id of this very write, never used for another; a fresh
                one by default.

        Returns:
            The object as written.

        Raises:
            LacewingdockError: CONFLICT when the revision was another;
                PLATFORM_UNAVAILABLE with ran "unknown" when it can't be
                settled.
        """
        writer = writer or secrets.token_hex(8)
        body = {"value": value, "expect": expect, "writer": writer}
        try:
            reply = self._call(
                "PUT",
                _path(collection, name),
                purpose,
                body,
                also=_HTTP_CONFLICT,
            )
            found = _decode(reply, Written, RAN_UNKNOWN).revision
        except LacewingdockError as error:
            if error.ran == RAN_NO:
                raise
            return self._settle(collection, name, value, writer, expect)
        if reply.status == _HTTP_CONFLICT:
            raise LacewingdockError(
                ErrorKind.CONFLICT,
                f"{collection}/{name}: revision is {found}, not {expect}",
            )
        return Stored(name, found, value, writer)

    def instances(self) -> list[Instance]:
        """Read the lagging list of instances.

        At the target the list is about a megabyte and changes twice a
        minute; an unchanged one is not sent again.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        reply = self._call(
            "GET", "/instances", "instances", tag=self._tag or '"none"'
        )
        if reply.status == _HTTP_OK:
            entries = _decode(reply, list[Any], RAN_NO)
            self._instances = list(_instances(entries))
            self._tag = reply.tag
        return self._instances

    def _settle(
        self, collection: str, name: str, value: Any, writer: str, expect: int
    ) -> Stored:
        for attempt in range(SETTLE_TRIES):
            try:
                found = self.get(collection, name, "settle")
            except LacewingdockError:
                if attempt + 1 == SETTLE_TRIES:
                    break
                continue
            if found.writer == writer:
                return Stored(name, found.revision, value, writer)
            if found.revision != expect:
                raise LacewingdockError(
                    ErrorKind.CONFLICT,
                    f"{collection}/{name}: revision is {found.revision}, "
                    f"not {expect}",
                    # The write may have taken effect and been overwritten.
                    RAN_UNKNOWN,
                )
            # Still the old object: the write may yet arrive, since an answer
            # can be late as well as lost.
            break
        raise LacewingdockError(
            ErrorKind.PLATFORM_UNAVAILABLE,
            f"write of {collection}/{name} is not settled",
            RAN_UNKNOWN,
        )

    def _call(
        self,
        method: str,
        path: str,
        purpose: str,
        body: Any = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        also: int = _HTTP_OK,
        tag: str = "",
    ) -> Reply:
        """Make one call; any status not expected is an unavailable platform.

        What answers need not be the platform: a balancer before it sends
        pages of its own. Taken for an answer, such a page would end the task
        that reads the configuration, and this daemon would keep the old one
        for good.
        """
        self.budget.take()
        self.calls[purpose] = self.calls.get(purpose, 0) + 1
        curl = self._handle()
        received = io.BytesIO()
        headers = [f"Purpose: {purpose}", "Expect:"]
        if tag:
            headers.append(f"If-None-Match: {tag}")
        found_tag: list[str] = []

        def take(data: bytes) -> int | None:
            received.write(data)
            return None if received.tell() <= MAX_ANSWER_BYTES else _ABORT

        curl.setopt(pycurl.URL, self.url + path)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.HTTPHEADER, headers)
        curl.setopt(pycurl.HEADERFUNCTION, _tag_reader(found_tag))
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
        curl.setopt(pycurl.WRITEFUNCTION, take)
        if body is None:
            curl.setopt(pycurl.HTTPGET, 1)
        else:
            curl.setopt(pycurl.POSTFIELDS, msgspec.json.encode(body))
        ran = RAN_NO if body is None else RAN_UNKNOWN
        try:
            curl.perform()
        except pycurl.error as error:
            self._drop_handle()
            raise _unavailable(f"{method} {path}: {error}", ran) from error
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        if status == _HTTP_TOO_MANY:
            raise _unavailable(f"{method} {path}: rate limited", RAN_NO)
        if status not in (_HTTP_OK, also) and not (
            tag and status == _HTTP_NOT_MODIFIED
        ):
            raise _unavailable(f"{method} {path}: status {status}", ran)
        return Reply(status, received.getvalue(), "".join(found_tag))

    def _handle(self) -> pycurl.Curl:
        """One handle a task keeps its connection open between calls."""
        curl = getattr(self._local, "curl", None)
        if curl is None:
            curl = self._local.curl = pycurl.Curl()
            curl.setopt(pycurl.NOSIGNAL, 1)
            curl.setopt(pycurl.NOPROXY, "*")
            curl.setopt(pycurl.CONNECTTIMEOUT_MS, 1000)
            curl.setopt(pycurl.TCP_NODELAY, 1)
            # Every coding the library knows; the instance list shrinks to a
            # tenth.
            curl.setopt(pycurl.ACCEPT_ENCODING, "")
        return curl

    def _drop_handle(self) -> None:
        curl = getattr(self._local, "curl", None)
        self._local.curl = None
        if curl is not None:
            with contextlib.suppress(pycurl.error):
                curl.close()


def _path(collection: str, name: str = "") -> str:
    path = f"/objects/{urllib.parse.quote(collection, safe='')}"
    return f"{path}/{urllib.parse.quote(name)}" if name else path


def _unavailable(detail: str, ran: str) -> LacewingdockError:
    return LacewingdockError(ErrorKind.PLATFORM_UNAVAILABLE, detail, ran)


def _decode(reply: Reply, cls: type[T], ran: str) -> T:
    """Decode an answer's body; `ran` says whether the call took effect.

    Raises:
        LacewingdockError: PLATFORM_UNAVAILABLE when it is something else.
    """
    try:
        return cast("T", decode_json(reply.body, cls))
    except msgspec.DecodeError as error:
        raise _unavailable(f"undecodable answer: {error}", ran) from error


def _instances(entries: list[Any]) -> Iterator[Instance]:
    """Build the instances; one odd entry must not hide all the others."""
    for entry in entries:
        try:
            yield msgspec.convert(entry, Instance)
        except msgspec.ValidationError as error:
            log.error("faulty instance left out", error=str(error))


def _tag_reader(found: list[str]) -> Callable[[bytes], None]:
    """Return a header callback that keeps the ETag."""

    def read(line: bytes) -> None:
        name, _, value = line.decode("latin-1").partition(":")
        if name.lower() == "etag":
            found[:] = [value.strip()]

    return read
