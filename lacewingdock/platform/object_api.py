"""Support for the platform's object API: its calls and their answers.

This module is the only one that knows the API's protocol. Another object API
with versions, conditional updates and watches needs another of these.
"""

import contextlib
import io
import threading
import urllib.parse
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final, TypeVar, cast

import msgspec
import pycurl

from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.clock import STEADY
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.budget import CallBudget
from lacewingdock.platform.eras import ERA_HEADER, EarlierEraError, StoreEras
from lacewingdock.platform.history import (
    count_of,
    era_of,
    format_revision,
    revision_of,
)
from lacewingdock.platform.objects import (
    EventsAnswer,
    ObjectAnswer,
    ObjectChange,
    ObjectChanges,
    PageAnswer,
    Snapshot,
    StoredObject,
    object_of,
    readable,
)

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
    """The store does not have the history after a revision: list again."""


@dataclass(slots=True)
class Reply:
    """An HTTP answer of the platform.

    Attributes:
        status: HTTP status; one that `_call` was told to expect.
        body: The body, not decoded.
        era: The era of the store's history that it is from.
    """

    status: int
    body: bytes
    era: int = 0


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
        return object_of(_decode(reply, ObjectAnswer, RAN_NO), reply.era)

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
            reply = self._call(
                "GET", path, purpose, timeout_s=timeout_s, stale=stale
            )
            page = _decode(reply, PageAnswer, RAN_NO)
            if found is None:
                found = Snapshot(revision_of(reply.era, page.current_rev))
            elif era_of(found.revision) != reply.era:
                raise unavailable("back from a copy between two pages", RAN_NO)
            items = readable(page.items, reply.era)
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
    ) -> ObjectChanges:
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
            HistoryGoneError: The revision is too old, or of another era: the
                store may have given its count out again, and what came
                before it would go unseen.
        """
        if era_of(revision) != self.eras.era:
            raise HistoryGoneError
        fields = {"watch": count_of(revision), "wait_ms": int(wait_s * 1000)}
        if stale:
            fields["serializable"] = 1
        query = urllib.parse.urlencode(fields)
        reply = self._call(
            "GET",
            f"{_path(kind)}?{query}",
            purpose,
            also=(HTTPStatus.GONE,),
            timeout_s=wait_s + grace_s,
            stale=stale,
        )
        if reply.status == HTTPStatus.GONE or reply.era != era_of(revision):
            raise HistoryGoneError
        found = _decode(reply, EventsAnswer, RAN_NO)
        return ObjectChanges(
            revision_of(reply.era, found.current_rev),
            [
                ObjectChange(one, event.removed)
                for event in found.events
                for one in readable([event.object], reply.era)
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
        body = {"metadata": metadata, "spec": spec}
        if expect == ABSENT:
            return self._write("POST", _path(kind), name, body, purpose)
        if era_of(expect) != self.eras.era:
            return False, self._present(kind, name, purpose)
        metadata["revision"] = count_of(expect)
        path = _path(kind, name)
        return self._write("PUT", path, name, body, purpose, expect)

    def overwrite(
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
        if era_of(expect) != self.eras.era:
            return False, self._present(kind, name, purpose)
        metadata = {"name": name, "revision": count_of(expect)}
        body = {"metadata": metadata, "status": status}
        path = f"{_path(kind, name)}/status"
        return self._write("PUT", path, name, body, purpose, expect)

    def remove(self, kind: str, name: str, expect: int, purpose: str) -> bool:
        """Remove an object if its revision is the expected one.

        Returns:
            Whether it is gone, by this call or another.

        Raises:
            LacewingdockError: As `write`.
        """
        if era_of(expect) != self.eras.era:
            return not self._present(kind, name, purpose).revision
        path = f"{_path(kind, name)}?revision={count_of(expect)}"
        also = (HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND)
        reply = self._call("DELETE", path, purpose, also=also)
        return reply.status != HTTPStatus.CONFLICT

    def _present(self, kind: str, name: str, purpose: str) -> StoredObject:
        """Return an object in place of a write that expects a lost state.

        Its count may have been given out again, to a state that the writer
        never saw: the write would go over that.
        """
        found = self.read(kind, name, purpose)
        return found or StoredObject(name, ABSENT)

    def _write(
        self,
        method: str,
        path: str,
        name: str,
        body: Any,
        purpose: str,
        expect: int = ABSENT,
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
        found = object_of(_decode(reply, ObjectAnswer, RAN_UNKNOWN), reply.era)
        written = reply.status != HTTPStatus.CONFLICT
        if written and expect and reply.era != era_of(expect):
            # The store came back on the way: what was written over may be
            # another state than the one that was expected.
            raise unavailable(
                f"{method} {path}: expected {format_revision(expect)},"
                f" written at {format_revision(found.revision)}",
                RAN_UNKNOWN,
            )
        return written, found

    def _call(
        self,
        method: str,
        path: str,
        purpose: str,
        body: Any = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        also: tuple[int, ...] = (),
        stale: bool = False,
    ) -> Reply:
        """Make one call; any status not expected is an unavailable platform.

        What answers need not be the platform: a balancer before it sends
        pages of its own. Taken for an answer, such a page would end the task
        that reads the configuration, and this daemon would keep the old one
        for good.
        """
        self.budget.take()
        began = STEADY.now()
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
        if status == HTTPStatus.OK or status in also:
            try:
                era = self.eras.observe(eras, began, stale=stale)
            except EarlierEraError as error:
                error.ran = ran
                raise
            return Reply(status, received.getvalue(), era)
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


def _decode(reply: Reply, cls: type[T], ran: str) -> T:
    """Decode an answer's body; `ran` says whether the call took effect.

    Raises:
        LacewingdockError: PLATFORM_UNAVAILABLE when it is something else.
    """
    try:
        return cast("T", decode_json(reply.body, cls))
    except msgspec.DecodeError as error:
        raise unavailable(f"undecodable answer: {error}", ran) from error
