"""Client of the platform's object API.

Only this module depends on the API's protocol. Supporting another object API
with revisions, conditional updates and watches takes another module like it.
"""

import io
import math
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
from lacewingdock.helpers.transfer import (
    Progress,
    TransferError,
    TransferLimits,
)
from lacewingdock.platform.budget import CallBudget
from lacewingdock.platform.connection import StoreConnection
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
    decode_objects,
    to_stored_object,
)

# Timeout of a call's first byte, in seconds, besides the wait of a watch.
CALL_TIMEOUT_S: Final = 2.0
# Longest silence within an answer, in seconds: a lost packet is sent again
# within it.
IDLE_TIMEOUT_S: Final = 1.0
# Default limit on the time from the first byte of an answer to the last, in
# seconds.
TRANSFER_LIMIT_S: Final = 5.0
# Seconds from which a transfer counts as long: it is logged, and its bytes show
# that the store can be reached.
LONG_TRANSFER_S: Final = 0.2
# Revision that stands for an object that does not exist.
ABSENT: Final = 0

# Maximum size of an answer's body, in bytes. A longer list could exhaust the
# daemon's memory.
MAX_ANSWER_BYTES: Final = 32 * 1024 * 1024

# Return value of a write callback that makes pycurl abort the transfer.
_ABORT: Final = -1
# Statuses with which the platform reports that it did not apply a write.
_NOT_APPLIED: Final = (
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)

log = get_logger("platform")

T = TypeVar("T")


class HistoryGoneError(Exception):
    """The store no longer has the changes since a revision; list again."""


class LongAnswerError(Exception):
    """An answer is longer than its caller accepts.

    Attributes:
        expected: Length of the body in bytes; None where the head does not say.
    """

    def __init__(self, expected: int | None) -> None:
        """Build the error."""
        super().__init__(f"answer of {expected} bytes")
        self.expected = expected


@dataclass(slots=True)
class Reply:
    """An HTTP answer of the platform.

    Attributes:
        status: HTTP status: 200, or one that the caller of `_call` accepts.
        body: Undecoded body.
        era: Era of the store's history that the answer is from.
    """

    status: int
    body: bytes
    era: int = 0


class ObjectApi:
    """A client of the object API; safe to use from any task.

    Attributes:
        url: URL of the platform.
        calls: Number of calls made, by purpose; a waiting watch is one call.
        failures: Number of calls without a usable answer, by purpose.
        budget: Rate limit of the calls.
        eras: Tracker of the era of the store's history.
        transferred_at: Monotonic time at which bytes of a long transfer last
            arrived: the store can be reached, though the link may be too busy
            for other calls.
    """

    __slots__ = (
        "_local",
        "budget",
        "calls",
        "eras",
        "failures",
        "transferred_at",
        "url",
    )

    def __init__(self, url: str) -> None:
        """Set up a client of the platform at a URL; no call is made yet."""
        self.url = url
        self.calls: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.budget = CallBudget()
        self.eras = StoreEras()
        self.transferred_at = -math.inf
        self._local = threading.local()

    def read(self, kind: str, name: str, purpose: str) -> StoredObject | None:
        """Read an object; None if it does not exist.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        reply = self._call(
            "GET",
            _object_path(kind, name),
            purpose,
            accepted=(HTTPStatus.NOT_FOUND,),
        )
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        return self._to_object(reply, name, RAN_NO)

    def list_kind(
        self,
        kind: str,
        purpose: str,
        *,
        stale: bool = False,
        timeout_s: float = CALL_TIMEOUT_S,
        transfer_s: float = TRANSFER_LIMIT_S,
    ) -> Snapshot:
        """Read all objects of a kind, page by page.

        An object may change between the reads of two pages. The snapshot
        therefore has the revision of the first page, and a watch from that
        revision returns the changes made since.

        Args:
            kind: The kind.
            purpose: Label of the call in `calls` and `failures`.
            stale: Whether the answer may be seconds old. Such a read costs
                the platform a tenth of a consistent one.
            timeout_s: Timeout of each page's first byte, in seconds.
            transfer_s: Limit on each page's transfer, in seconds.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        found: Snapshot | None = None
        query = {"serializable": "1"} if stale else {}
        while True:
            text = urllib.parse.urlencode(query)
            path = (
                f"{_object_path(kind)}?{text}" if text else _object_path(kind)
            )
            reply = self._call(
                "GET",
                path,
                purpose,
                timeout_s=timeout_s,
                transfer_s=transfer_s,
                stale=stale,
            )
            page = _decode(reply, PageAnswer, RAN_NO)
            if found is None:
                found = Snapshot(revision_of(reply.era, page.current_rev))
            elif era_of(found.revision) != reply.era:
                raise unavailable_error(
                    "store restored between two pages", RAN_NO
                )
            items = decode_objects(page.items, reply.era)
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
        transfer_s: float = TRANSFER_LIMIT_S,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> ObjectChanges:
        """Wait for changes of a kind after a revision.

        Args:
            kind: The kind.
            revision: Revision after which changes are returned.
            wait_s: Seconds to wait for a change; 0 returns at once with the
                changes made so far.
            purpose: Label of the call in `calls` and `failures`.
            grace_s: Seconds that the answer's first byte may take beyond the
                wait.
            stale: As in `list_kind`.
            transfer_s: Limit on the answer's transfer, in seconds.
            max_bytes: Longest answer that is read. An answer holds each version
                of an object since the revision, a list only the last one.

        Returns:
            The changes; none if the wait ran out.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
            LongAnswerError: The answer has more than `max_bytes`.
            HistoryGoneError: The revision is too old, or of another era. In
                a new era the store may have reached the same count with
                other changes, which the watch would miss.
        """
        if era_of(revision) != self.eras.era:
            raise HistoryGoneError
        fields = {"watch": count_of(revision), "wait_ms": int(wait_s * 1000)}
        if stale:
            fields["serializable"] = 1
        query = urllib.parse.urlencode(fields)
        reply = self._call(
            "GET",
            f"{_object_path(kind)}?{query}",
            purpose,
            accepted=(HTTPStatus.GONE,),
            timeout_s=wait_s + grace_s,
            transfer_s=transfer_s,
            max_bytes=max_bytes,
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
                for one in decode_objects([event.object], reply.era)
            ],
        )

    def write(
        self, kind: str, name: str, spec: Any, expect: int, purpose: str
    ) -> tuple[bool, StoredObject]:
        """Write an object's spec if its revision is the expected one.

        Args:
            kind: The kind.
            name: Name of the object.
            spec: A value that `msgspec` can encode as JSON.
            expect: Revision that the object must have; `ABSENT` if it must
                not exist.
            purpose: Label of the call in `calls` and `failures`.

        Returns:
            Whether the object was written, and its current state.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE, with ran "unknown" if
                the write may have taken effect or may do so later.
        """
        metadata: dict[str, Any] = {"name": name, "finalizers": []}
        body = {"metadata": metadata, "spec": spec}
        if expect == ABSENT:
            return self._write("POST", _object_path(kind), name, body, purpose)
        if era_of(expect) != self.eras.era:
            return False, self._read_current(kind, name, purpose)
        metadata["revision"] = count_of(expect)
        path = _object_path(kind, name)
        return self._write("PUT", path, name, body, purpose, expect)

    def overwrite(
        self, kind: str, name: str, spec: Any, expect: int, purpose: str
    ) -> tuple[bool, StoredObject]:
        """Write an object's spec; on a conflict, replace the current object.

        For objects with a single writer, where a conflicting revision is the
        result of the writer's own earlier call. The second write may conflict
        too and is not repeated. Arguments and return value as in `write`.

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
            return False, self._read_current(kind, name, purpose)
        metadata = {"name": name, "revision": count_of(expect)}
        body = {"metadata": metadata, "status": status}
        path = f"{_object_path(kind, name)}/status"
        return self._write("PUT", path, name, body, purpose, expect)

    def remove(self, kind: str, name: str, expect: int, purpose: str) -> bool:
        """Remove an object if its revision is the expected one.

        Returns:
            Whether the object is gone, by this call or another.

        Raises:
            LacewingdockError: As `write`.
        """
        if era_of(expect) != self.eras.era:
            return not self._read_current(kind, name, purpose).revision
        path = f"{_object_path(kind, name)}?revision={count_of(expect)}"
        accepted = (HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND)
        reply = self._call("DELETE", path, purpose, accepted=accepted)
        return reply.status != HTTPStatus.CONFLICT

    def _read_current(self, kind: str, name: str, purpose: str) -> StoredObject:
        """Return the current object instead of writing over a lost state.

        The expected revision is of an earlier era. The store may have reused
        its count for a state that the writer never saw, and the write would
        replace that state.
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
            accepted=(
                HTTPStatus.CREATED,
                HTTPStatus.CONFLICT,
                HTTPStatus.NOT_FOUND,
            ),
        )
        if reply.status == HTTPStatus.NOT_FOUND:
            return False, StoredObject(name, ABSENT)
        found = self._to_object(reply, name, RAN_UNKNOWN)
        written = reply.status != HTTPStatus.CONFLICT
        if written and expect and reply.era != era_of(expect):
            # The store was restored before the write arrived, so the write
            # may have replaced another state than the expected one.
            raise unavailable_error(
                f"{method} {path}: expected {format_revision(expect)},"
                f" written at {format_revision(found.revision)}",
                RAN_UNKNOWN,
            )
        return written, found

    def _to_object(self, reply: Reply, name: str, ran: str) -> StoredObject:
        """Return the object of an answer, which has to be the one asked for.

        Answers have no request id. A second answer to an earlier call that
        arrives during this one is read in place of its own.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        found = to_stored_object(_decode(reply, ObjectAnswer, ran), reply.era)
        if found.name != name:
            self._drop_handle()
            raise unavailable_error(
                f"answer about {found.name} in place of {name}", ran
            )
        return found

    def _call(
        self,
        method: str,
        path: str,
        purpose: str,
        body: Any = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        transfer_s: float = TRANSFER_LIMIT_S,
        max_bytes: int = MAX_ANSWER_BYTES,
        accepted: tuple[int, ...] = (),
        stale: bool = False,
    ) -> Reply:
        """Make one call.

        Statuses other than 200 and those in `accepted` raise
        PLATFORM_UNAVAILABLE, since a load balancer before the platform may
        answer with pages of its own. Accepting such a page would end the task
        that reads the configuration, and the daemon would keep the old
        configuration forever.
        """
        self.budget.take()
        began_at = STEADY.now()
        self.calls[purpose] = self.calls.get(purpose, 0) + 1
        connection = self._connection()
        curl = connection.curl
        received = io.BytesIO()
        progress = Progress()
        limits = TransferLimits(timeout_s, IDLE_TIMEOUT_S, transfer_s)
        headers = [
            f"Purpose: {purpose}",
            "Expect:",
            "Content-Type: application/json",
        ]

        def receive(data: bytes) -> int | None:
            received.write(data)
            progress.add(len(data))
            if progress.seconds >= LONG_TRANSFER_S:
                self.transferred_at = STEADY.now()
            return None if progress.received <= max_bytes else _ABORT

        eras: list[str] = []

        def read_header(line: bytes) -> int | None:
            progress.read_header(line)
            name, _, value = line.partition(b":")
            if name.strip().lower() == ERA_HEADER.encode():
                eras.append(value.decode("latin-1").strip())
            return _ABORT if (progress.expected or 0) > max_bytes else None

        curl.setopt(pycurl.URL, self.url + path)
        curl.setopt(pycurl.HTTPHEADER, headers)
        curl.setopt(pycurl.WRITEFUNCTION, receive)
        curl.setopt(pycurl.HEADERFUNCTION, read_header)
        if body is None:
            curl.setopt(pycurl.HTTPGET, 1)
        else:
            curl.setopt(pycurl.POSTFIELDS, msgspec.json.encode(body))
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        ran = RAN_NO if method == "GET" else RAN_UNKNOWN
        try:
            connection.transfers.perform(curl, limits, progress)
        except TransferError as error:
            self._drop_handle()
            if max(progress.received, progress.expected or 0) > max_bytes:
                raise LongAnswerError(progress.expected) from error
            self._count_failure(purpose)
            raise unavailable_error(f"{method} {path}: {error}", ran) from error
        if progress.seconds >= LONG_TRANSFER_S:
            log.info(
                "long transfer",
                purpose=purpose,
                bytes=progress.received,
                taken_s=round(progress.seconds, 3),
            )
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        if status == HTTPStatus.OK or status in accepted:
            try:
                era = self.eras.observe(eras, began_at, stale=stale)
            except EarlierEraError as error:
                error.ran = ran
                raise
            return Reply(status, received.getvalue(), era)
        self._count_failure(purpose)
        if status in _NOT_APPLIED:
            ran = RAN_NO
        raise unavailable_error(f"{method} {path}: status {status}", ran)

    def _count_failure(self, purpose: str) -> None:
        self.failures[purpose] = self.failures.get(purpose, 0) + 1

    def _connection(self) -> StoreConnection:
        """Return the task's connection.

        A connection on which bytes wait is closed. They belong to no call that
        is still to be made, but libcurl would read them as its answer, and each
        later call would get the answer to the one before.
        """
        found: StoreConnection | None = getattr(self._local, "connection", None)
        if found is not None and found.has_unread_bytes():
            self._drop_handle()
            found = None
        if found is None:
            found = self._local.connection = StoreConnection()
        return found

    def drop_connection(self, kind: str) -> None:
        """Close the calling task's connection, which it uses to read a kind.

        The task's next call opens another connection.
        """
        log.debug("connection dropped", kind=kind)
        self._drop_handle()

    def _drop_handle(self) -> None:
        found: StoreConnection | None = getattr(self._local, "connection", None)
        self._local.connection = None
        if found is not None:
            found.close()


def unavailable_error(detail: str, ran: str) -> LacewingdockError:
    """Build the PLATFORM_UNAVAILABLE error of a call.

    Args:
        detail: The call, and why its answer is missing or unusable.
        ran: Whether the call may have taken effect.
    """
    return LacewingdockError(ErrorKind.PLATFORM_UNAVAILABLE, detail, ran)


def _object_path(kind: str, name: str = "") -> str:
    path = f"/objects/{urllib.parse.quote(kind, safe='')}"
    return f"{path}/{urllib.parse.quote(name)}" if name else path


def _decode(reply: Reply, cls: type[T], ran: str) -> T:
    """Decode an answer's body.

    Args:
        reply: The answer.
        cls: Type of the decoded body.
        ran: Whether the call may have taken effect, for the error.

    Raises:
        LacewingdockError: PLATFORM_UNAVAILABLE if the body is not a `cls`.
    """
    try:
        return cast("T", decode_json(reply.body, cls))
    except msgspec.DecodeError as error:
        raise unavailable_error(
            f"could not decode the answer: {error}", ran
        ) from error
