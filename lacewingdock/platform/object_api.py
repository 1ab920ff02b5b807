"""Support for the platform's object API: its calls and their answers.

This module is the only one that knows the API's protocol. Another object API
with versions, conditional updates and watches needs another of these.
"""

import contextlib
import io
import threading
import urllib.parse
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final, TypeVar, cast

import msgspec
import pycurl

from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.budget import CallBudget
from lacewingdock.platform.eras import ERA_HEADER, StoreEras

CALL_TIMEOUT_S: Final = 2.0
CONNECT_TIMEOUT_MS: Final = 1000
ABSENT: Final = 0

# A listing beyond this would take the daemon's whole memory.
MAX_ANSWER_BYTES: Final = 32 * 1024 * 1024

_ABORT: Final = -1
# Answers that say that nothing was done.
_NOT_DONE: Final = (
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)

log = get_logger("platform")

T = TypeVar("T")


class HistoryGoneError(Exception):
    """The revision to watch from is no longer kept: list again."""


@dataclass(slots=True)
class StoredObject:
    """An object as the platform holds it.

    Attributes:
        name: Its name among its kind.
        revision: Revision of its last change, growing over all objects.
        spec: What was asked for, as decoded JSON.
        status: What its keeper reports of it, as decoded JSON.
        created: When it was first written, in the store's own count; 0 where
            not said.
    """

    name: str
    revision: int
    spec: Any = None
    status: Any = None
    created: int = 0


@dataclass(slots=True)
class Snapshot:
    """All objects of a kind, complete up to a revision."""

    revision: int
    objects: dict[str, StoredObject] = field(default_factory=dict)


@dataclass(slots=True)
class Change:
    """A change of one object; a removed one shows its last state."""

    object: StoredObject
    removed: bool


@dataclass(slots=True)
class Changes:
    """Changes of a kind, complete up to a revision."""

    revision: int
    changes: list[Change] = field(default_factory=list)


@dataclass(slots=True)
class Reply:
    """An HTTP answer of the platform.

    Attributes:
        status: HTTP status; one that `_call` was told to expect.
        body: The body, not decoded.
    """

    status: int
    body: bytes


class _Metadata(msgspec.Struct):
    name: str
    revision: int
    created: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None
    status: Any = None


class _Named(msgspec.Struct):
    metadata: _Metadata


class _Page(msgspec.Struct):
    items: list[msgspec.Raw]
    current_rev: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    removed: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    current_rev: int


class ObjectApi:
    """A client of the object API; safe to use from any task.

    Attributes:
        url: Where the platform answers.
        calls: Calls made so far, by purpose; a waiting watch is one.
        failures: Those of them without a usable answer, by purpose.
        budget: Bounds the calls.
        eras: The eras of the store's history.
    """

    __slots__ = ("_local", "budget", "calls", "eras", "failures", "url")

    def __init__(self, url: str) -> None:
        """Take the platform's URL."""
        self.url = url
        self.calls: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.budget = CallBudget()
        self.eras = StoreEras()
        self._local = threading.local()

    def read(self, kind: str, name: str, purpose: str) -> StoredObject | None:
        """Read an object; None where there is none.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        reply = self._call(
            "GET", _path(kind, name), purpose, also=(HTTPStatus.NOT_FOUND,)
        )
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        return _object(_decode(reply, _Object, RAN_NO))

    def list_kind(
        self,
        kind: str,
        purpose: str,
        *,
        stale: bool = False,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Snapshot:
        """Read all objects of a kind, page by page.

        Pages are read one after the other, so an object may change between
        two of them: the snapshot counts as complete up to the revision of the
        first, and a watch from there shows what changed since.

        Args:
            kind: The kind.
            purpose: What the call is for, in the count of calls.
            stale: Whether an answer that is seconds old will do; it costs a
                tenth.
            timeout_s: Seconds that each page may take.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        found: Snapshot | None = None
        query = {"serializable": "1"} if stale else {}
        while True:
            text = urllib.parse.urlencode(query)
            path = f"{_path(kind)}?{text}" if text else _path(kind)
            reply = self._call("GET", path, purpose, timeout_s=timeout_s)
            page = _decode(reply, _Page, RAN_NO)
            if found is None:
                found = Snapshot(page.current_rev)
            items = _readable(page.items)
            found.objects |= {item.name: item for item in items}
            if not page.has_more or not items:
                return found
            query["since_rev"] = items[-1].name

    def watch_kind(
        self,
        kind: str,
        revision: int,
        wait_s: float,
        purpose: str,
        grace_s: float = CALL_TIMEOUT_S,
        *,
        stale: bool = False,
    ) -> Changes:
        """Wait for changes of a kind after a revision.

        Args:
            kind: The kind.
            revision: What is known already.
            wait_s: Seconds to wait for a change; 0 asks for those that are.
            purpose: What the call is for, in the count of calls.
            grace_s: Seconds more that its answer may take.
            stale: As of `list_kind`.

        Returns:
            The changes, none when the wait ran out.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
            HistoryGoneError: The revision is too old.
        """
        fields = {"watch": revision, "wait_ms": int(wait_s * 1000)}
        if stale:
            fields["serializable"] = 1
        query = urllib.parse.urlencode(fields)
        reply = self._call(
            "GET",
            f"{_path(kind)}?{query}",
            purpose,
            also=(HTTPStatus.GONE,),
            timeout_s=wait_s + grace_s,
        )
        if reply.status == HTTPStatus.GONE:
            raise HistoryGoneError
        found = _decode(reply, _Events, RAN_NO)
        return Changes(
            found.current_rev,
            [
                Change(one, event.removed)
                for event in found.events
                for one in _readable([event.object])
            ],
        )

    def write(
        self, kind: str, name: str, spec: Any, expect: int, purpose: str
    ) -> tuple[bool, StoredObject]:
        """Write an object's spec if its revision is the expected one.

        Args:
            kind: The kind.
            name: Name of the object.
            spec: What `msgspec` can encode as JSON.
            expect: Revision it must have; `ABSENT` for none.
            purpose: What the call is for, in the count of calls.

        Returns:
            Whether it was written, and the object as it is.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE, with ran "unknown" where
                the write may have taken effect or may do so later.
        """
        metadata: dict[str, Any] = {"name": name, "finalizers": []}
        if expect == ABSENT:
            method, path = "POST", _path(kind)
        else:
            method, path = "PUT", _path(kind, name)
            metadata["revision"] = expect
        body = {"metadata": metadata, "spec": spec}
        return self._write(method, path, name, body, purpose)

    def write_over(
        self, kind: str, name: str, spec: Any, expect: int, purpose: str
    ) -> tuple[bool, StoredObject]:
        """Write an object's spec, once more over what is there in its way.

        For objects that one process alone writes, where another revision is
        its own earlier write. Arguments and returns as `write`.

        Raises:
            LacewingdockError: As `write`.
        """
        written, found = self.write(kind, name, spec, expect, purpose)
        if written or not found.revision:
            return written, found
        return self.write(kind, name, spec, found.revision, purpose)

    def write_status(
        self, kind: str, name: str, status: Any, expect: int, purpose: str
    ) -> tuple[bool, StoredObject]:
        """Write an object's status if its revision is the expected one.

        Raises:
            LacewingdockError: As `write`.
        """
        body = {"metadata": {"name": name, "revision": expect}}
        path = f"{_path(kind, name)}/status"
        return self._write(
            "PUT", path, name, {**body, "status": status}, purpose
        )

    def remove(self, kind: str, name: str, expect: int, purpose: str) -> bool:
        """Remove an object if its revision is the expected one.

        Returns:
            Whether it is gone, by this call or another.

        Raises:
            LacewingdockError: As `write`.
        """
        path = f"{_path(kind, name)}?revision={expect}"
        also = (HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND)
        reply = self._call("DELETE", path, purpose, also=also)
        return reply.status != HTTPStatus.CONFLICT

    def _write(
        self, method: str, path: str, name: str, body: Any, purpose: str
    ) -> tuple[bool, StoredObject]:
        reply = self._call(
            method,
            path,
            purpose,
            body,
            also=(
                HTTPStatus.CREATED,
                HTTPStatus.CONFLICT,
                HTTPStatus.NOT_FOUND,
            ),
        )
        if reply.status == HTTPStatus.NOT_FOUND:
            return False, StoredObject(name, ABSENT)
        found = _object(_decode(reply, _Object, RAN_UNKNOWN))
        return reply.status != HTTPStatus.CONFLICT, found

    def _call(
        self,
        method: str,
        path: str,
        purpose: str,
        body: Any = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        also: tuple[int, ...] = (),
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
        headers = [
            f"Purpose: {purpose}",
            "Expect:",
            "Content-Type: application/json",
        ]

        def take(data: bytes) -> int | None:
            received.write(data)
            return None if received.tell() <= MAX_ANSWER_BYTES else _ABORT

        eras: list[str] = []

        def note(line: bytes) -> None:
            name, _, value = line.partition(b":")
            if name.strip().lower() == ERA_HEADER.encode():
                eras.append(value.decode("latin-1").strip())

        curl.setopt(pycurl.URL, self.url + path)
        curl.setopt(pycurl.HTTPHEADER, headers)
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
        curl.setopt(pycurl.WRITEFUNCTION, take)
        curl.setopt(pycurl.HEADERFUNCTION, note)
        if body is None:
            curl.setopt(pycurl.HTTPGET, 1)
        else:
            curl.setopt(pycurl.POSTFIELDS, msgspec.json.encode(body))
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        ran = RAN_NO if method == "GET" else RAN_UNKNOWN
        try:
            curl.perform()
        except pycurl.error as error:
            self._drop_handle()
            self._count_failure(purpose)
            raise unavailable(f"{method} {path}: {error}", ran) from error
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        self.eras.take(eras)
        if status == HTTPStatus.OK or status in also:
            return Reply(status, received.getvalue())
        self._count_failure(purpose)
        if status in _NOT_DONE:
            ran = RAN_NO
        raise unavailable(f"{method} {path}: status {status}", ran)

    def _count_failure(self, purpose: str) -> None:
        self.failures[purpose] = self.failures.get(purpose, 0) + 1

    def _handle(self) -> pycurl.Curl:
        """One handle a task keeps its connection open between calls."""
        curl = getattr(self._local, "curl", None)
        if curl is None:
            curl = self._local.curl = pycurl.Curl()
            curl.setopt(pycurl.NOSIGNAL, 1)
            curl.setopt(pycurl.NOPROXY, "*")
            curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
            curl.setopt(pycurl.TCP_NODELAY, 1)
            # Every coding the library knows; the instance list shrinks to a
            # tenth.
            curl.setopt(pycurl.ACCEPT_ENCODING, "")
        return curl

    def drop_connection(self, kind: str) -> None:
        """Close the connection of the task that calls, which asks for a kind.

        Its next call opens another.
        """
        log.debug("connection dropped", kind=kind)
        self._drop_handle()

    def _drop_handle(self) -> None:
        curl = getattr(self._local, "curl", None)
        self._local.curl = None
        if curl is not None:
            with contextlib.suppress(pycurl.error):
                curl.close()


def unavailable(detail: str, ran: str) -> LacewingdockError:
    """Return the coded error of a call without a usable answer."""
    return LacewingdockError(ErrorKind.PLATFORM_UNAVAILABLE, detail, ran)


def _path(kind: str, name: str = "") -> str:
    path = f"/objects/{urllib.parse.quote(kind, safe='')}"
    return f"{path}/{urllib.parse.quote(name)}" if name else path


def _object(found: _Object) -> StoredObject:
    metadata = found.metadata
    return StoredObject(
        metadata.name,
        metadata.revision,
        found.spec,
        found.status,
        metadata.created,
    )


def _readable(items: list[msgspec.Raw]) -> list[StoredObject]:
    """Decode objects, each by itself: an odd one must not hide the others.

    One whose content can't be decoded stands there without content, so that
    what it replaces is not taken to be there still.
    """
    found = []
    for item in items:
        try:
            found.append(_object(decode_json(bytes(item), _Object)))
        except msgspec.DecodeError as error:
            if named := _without_content(item):
                found.append(named)
            log.error(
                "undecodable object",
                object=named.name if named else "",
                error=str(error),
            )
    return found


def _without_content(item: msgspec.Raw) -> StoredObject | None:
    try:
        metadata = decode_json(bytes(item), _Named).metadata
    except msgspec.DecodeError:
        return None
    return StoredObject(metadata.name, metadata.revision)


def _decode(reply: Reply, cls: type[T], ran: str) -> T:
    """Decode an answer's body; `ran` says whether the call took effect.

    Raises:
        LacewingdockError: PLATFORM_UNAVAILABLE when it is something else.
    """
    try:
        return cast("T", decode_json(reply.body, cls))
    except msgspec.DecodeError as error:
        raise unavailable(f"undecodable answer: {error}", ran) from error
