"""Support for the platform's object API.

This module is the only one that knows the API's protocol. Another object API
with versions, conditional updates and watches needs another of these.
"""

import contextlib
import io
import secrets
import threading
import urllib.parse
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

import msgspec
import pycurl

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.objects import Instance

CALL_TIMEOUT_S: Final = 2.0
WATCH_TIMEOUT_S: Final = 25.0
SETTLE_TRIES: Final = 2
ABSENT: Final = 0

# A listing beyond this would take the daemon's whole memory.
MAX_ANSWER_BYTES: Final = 32 * 1024 * 1024

_ABORT: Final = -1
_HTTP_OK: Final = 200
_HTTP_NOT_FOUND: Final = 404
_HTTP_CONFLICT: Final = 409

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
class _Written:
    """What a write or a conflict answers with."""

    revision: int


class ObjectStore:
    """A client of the object API; safe to use from any task.

    Attributes:
        url: Where the platform answers.
        calls: Calls made so far, by purpose; a waiting watch is one.
    """

    __slots__ = ("_local", "calls", "url")

    def __init__(self, url: str) -> None:
        """Take the platform's URL."""
        self.url = url
        self.calls: dict[str, int] = {}
        self._local = threading.local()

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Read an object; a missing one has revision `ABSENT`.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        status, body = self._call("GET", _path(collection, name), purpose)
        if status == _HTTP_NOT_FOUND:
            return Stored(name, ABSENT)
        return _typed(body, Stored)

    def list_all(
        self, collection: str, purpose: str, prefix: str = ""
    ) -> Listing:
        """Read all objects of a collection whose names start with a prefix.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        query = urllib.parse.urlencode({"prefix": prefix})
        _, body = self._call("GET", f"{_path(collection)}?{query}", purpose)
        return _typed(body, Listing)

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
        _, body = self._call(
            "GET",
            f"{_path(collection)}?{query}",
            purpose,
            timeout_s=WATCH_TIMEOUT_S + CALL_TIMEOUT_S,
        )
        return _typed(body, Listing)

    def put(
        self,
        collection: str,
        name: str,
        value: Any,
        expect: int,
        purpose: str,
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

        Returns:
            The object as written.

        Raises:
            LacewingdockError: CONFLICT when the revision was another;
                PLATFORM_UNAVAILABLE with ran "unknown" when it can't be
                settled.
        """
        writer = secrets.token_hex(8)
        body = {"value": value, "expect": expect, "writer": writer}
        try:
            status, answer = self._call(
                "PUT", _path(collection, name), purpose, body
            )
            revision = _typed(answer, _Written).revision
        except LacewingdockError:
            # An answer that can't be read says as little as a lost one.
            return self._settle(collection, name, value, writer, expect)
        if status == _HTTP_OK:
            return Stored(name, revision, value, writer)
        if status == _HTTP_CONFLICT:
            raise LacewingdockError(
                ErrorKind.CONFLICT,
                f"{collection}/{name}: revision is {revision}, not {expect}",
            )
        raise LacewingdockError(
            ErrorKind.PLATFORM_UNAVAILABLE,
            f"write of {collection}/{name}: status {status}",
        )

    def instances(self) -> list[Instance]:
        """Read the lagging list of instances.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        _, body = self._call("GET", "/instances", "instances")
        instances = []
        for entry in _typed(body, list[Any]):
            try:
                instances.append(msgspec.convert(entry, Instance))
            except msgspec.ValidationError as error:
                # One odd entry must not hide all the others.
                log.error("faulty instance left out", error=str(error))
        return instances

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
                )
            # Still the old object: the write may yet arrive, since an answer
            # can be late as well as lost.
            break
        raise LacewingdockError(
            ErrorKind.PLATFORM_UNAVAILABLE,
            f"write of {collection}/{name} is not settled",
            ran="unknown",
        )

    def _call(
        self,
        method: str,
        path: str,
        purpose: str,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, Any]:
        self.calls[purpose] = self.calls.get(purpose, 0) + 1
        curl = self._handle()
        received = io.BytesIO()

        def take(data: bytes) -> int | None:
            received.write(data)
            return None if received.tell() <= MAX_ANSWER_BYTES else _ABORT

        curl.setopt(pycurl.URL, self.url + path)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.HTTPHEADER, [f"Purpose: {purpose}", "Expect:"])
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
        curl.setopt(pycurl.WRITEFUNCTION, take)
        if body is None:
            curl.setopt(pycurl.HTTPGET, 1)
        else:
            curl.setopt(pycurl.POSTFIELDS, msgspec.json.encode(body))
        try:
            curl.perform()
            status = curl.getinfo(pycurl.RESPONSE_CODE)
            if status >= 500:
                raise LacewingdockError(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    f"{method} {path}: status {status}",
                )
            return status, decode_json(received.getvalue())
        except (pycurl.error, msgspec.DecodeError) as error:
            self._drop_handle()
            raise LacewingdockError(
                ErrorKind.PLATFORM_UNAVAILABLE,
                f"{method} {path}: {error}",
            ) from error

    def _handle(self) -> pycurl.Curl:
        """One handle a task keeps its connection open between calls."""
        curl = getattr(self._local, "curl", None)
        if curl is None:
            curl = self._local.curl = pycurl.Curl()
            curl.setopt(pycurl.NOSIGNAL, 1)
            curl.setopt(pycurl.NOPROXY, "*")
            curl.setopt(pycurl.CONNECTTIMEOUT_MS, 1000)
            curl.setopt(pycurl.TCP_NODELAY, 1)
        return curl

    def _drop_handle(self) -> None:
        curl = getattr(self._local, "curl", None)
        self._local.curl = None
        if curl is not None:
            with contextlib.suppress(pycurl.error):
                curl.close()


def _typed(body: Any, cls: type[T]) -> T:
    """Check what the platform answered.

    Raises:
        LacewingdockError: PLATFORM_UNAVAILABLE when it is something else.
    """
    try:
        return msgspec.convert(body, cls)
    except msgspec.ValidationError as error:
        raise LacewingdockError(
            ErrorKind.PLATFORM_UNAVAILABLE, f"odd answer: {error}"
        ) from error


def _path(collection: str, name: str = "") -> str:
    path = f"/objects/{urllib.parse.quote(collection, safe='')}"
    return f"{path}/{urllib.parse.quote(name)}" if name else path
