"""Support for one attempt of a request at one upstream instance."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeVar

from lacewingdock.components.gateway.events import Event, EventCutter
from lacewingdock.components.gateway.patience import Patience, Wait
from lacewingdock.components.upstreams.connection import (
    CallerLeft,
    TimedOut,
    UpstreamConnection,
)
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.components.upstreams.pool import ConnectionPool
from lacewingdock.exceptions import UpstreamLost
from lacewingdock.helpers.server_connection import ServerConnection
from lacewingdock.platform.wire import upstream_headers
from lacewingdock.world.call import AnswerHead, Call, Sending

# Longest body of an answer that is not a stream.
MAX_BODY_BYTES: Final = 16 * 1024 * 1024

# From this status on an upstream says that it failed.
SERVER_ERROR: Final = 500

T = TypeVar("T")


@dataclass(slots=True)
class Whole:
    """The upstream answered, and the answer is here."""

    head: AnswerHead
    body: bytes


@dataclass(slots=True)
class Streamed:
    """The stream was passed on to its end."""


@dataclass(slots=True)
class NotRun:
    """The request did not run there and never will.

    Attributes:
        detail: Why.
        reached: Whether it reached an upstream, which refused it.
        replaced_by: Id of another instance, which answered at the address;
            empty where none did.
        withheld: Whether it was not sent, since the instance wanted no more
            by then, or it was found to crash what runs it.
    """

    detail: str
    reached: bool
    replaced_by: str = ""
    withheld: bool = False


@dataclass(slots=True)
class Broken:
    """There is no usable answer; whether the request ran is unknown.

    Attributes:
        detail: Why.
        timed_out: Whether the upstream was silent for too long.
        ended: Whether it closed or reset the connection.
    """

    detail: str
    timed_out: bool = False
    ended: bool = False


@dataclass(slots=True)
class Unsure:
    """The model is unsure of its answer, and none of it was passed on."""

    confidence: float


Result = Whole | Streamed | Unsure | NotRun | Broken


def is_failure(result: Result) -> bool:
    """Whether an attempt gave no answer, or the upstream's own failure."""
    match result:
        case Whole(head, _):
            return head.status >= SERVER_ERROR
        case Streamed() | Unsure():
            return False
    return True


@dataclass(slots=True)
class Progress:
    """How far a stream got towards the caller, over all attempts.

    Attributes:
        started: Whether the head went out.
        last_event: Id of the last event passed on.
        events: Events passed on.
        first_at: Monotonic time of the first one.
        last_at: Monotonic time of the last one.
        longest_pause_s: Seconds of the longest pause between two.
    """

    started: bool = False
    last_event: str = ""
    events: int = 0
    first_at: float = 0.0
    last_at: float = 0.0
    longest_pause_s: float = 0.0

    def passed_on(self, events: list[Event]) -> None:
        """Note events that go to the caller now."""
        now = time.monotonic()
        if self.started:
            pause_s = now - self.last_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        else:
            self.started = True
            self.first_at = now
        self.last_at = now
        self.last_event = events[-1].id or self.last_event
        self.events += len(events)


class Attempt:
    """One attempt.

    Attributes:
        pool: Connections to upstreams.
        instance: Where it goes.
        call: The request.
        caller: The caller's connection.
        patience: How long it waits.
        progress: How far the stream got.
        streaming: Whether a success is passed on event by event.
        is_withheld: Asked before the request is written: whether it is not to
            be sent there any more.
        accepts: Whether a stream's head shows an answer that is good enough.
        on_head: Called with each head that was read.
        on_began: Called once, when the answer begins or the attempt ends.
        on_pause: Called with the seconds between two events.
        has_begun: Whether it was called.
        head: Head of the answer; None while there is none.
        began_at: Monotonic time at which the answer began; 0 if it did not.
    """

    __slots__ = (
        "accepts",
        "began_at",
        "call",
        "caller",
        "has_begun",
        "head",
        "instance",
        "is_withheld",
        "on_began",
        "on_head",
        "on_pause",
        "patience",
        "pool",
        "progress",
        "streaming",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        instance: UpstreamInstance,
        call: Call,
        caller: ServerConnection,
        patience: Patience,
        progress: Progress,
        streaming: bool,
        is_withheld: Callable[[], bool],
        accepts: Callable[[AnswerHead], bool],
        on_head: Callable[[AnswerHead], None],
        on_began: Callable[[], None],
        on_pause: Callable[[float], None],
    ) -> None:
        """Take what it needs; `run` makes it."""
        self.pool = pool
        self.instance = instance
        self.call = call
        self.caller = caller
        self.patience = patience
        self.progress = progress
        self.streaming = streaming
        self.is_withheld = is_withheld
        self.accepts = accepts
        self.on_head = on_head
        self.on_began = on_began
        self.on_pause = on_pause
        self.has_begun = False
        self.head: AnswerHead | None = None
        self.began_at = 0.0

    def run(self, sending: Sending) -> Result:
        """Make the attempt.

        Raises:
            CallerLeft: The caller closed its connection.
            CallerGone: Nothing can be sent to the caller any more.
        """
        try:
            connection = self.pool.acquire(self.instance.entry, sending.left_s)
        except UpstreamLost as error:
            return NotRun(error.detail, reached=False)
        if self.is_withheld():
            # It came to be known while the connection was opened.
            connection.close()
            return NotRun("withheld", reached=False, withheld=True)
        head: AnswerHead | None = None
        try:
            result, head = self._exchange(connection, sending)
        except UpstreamLost as error:
            return Broken(error.detail, ended=connection.ended)
        except TimedOut:
            return Broken("silent", timed_out=True)
        finally:
            # An upstream drops what it still does for a closed connection.
            if head is None:
                connection.close()
        if head is not None:
            self.pool.release(
                self.instance.entry, connection, head.keep_s, head.closes
            )
        return result

    def began(self) -> None:
        """Tell that the answer began, or never will."""
        if not self.has_begun:
            self.has_begun = True
            self.on_began()

    def _exchange(
        self, connection: UpstreamConnection, sending: Sending
    ) -> tuple[Result, AnswerHead | None]:
        """Send the request and take the answer.

        Returns:
            The result, and the answer's head if the connection is clean.
        """
        call = self.call
        if self.caller.left():
            raise CallerLeft
        connection.send(
            call.id,
            call.method,
            call.target,
            upstream_headers(call, sending),
            call.body,
            sending.left_s,
        )
        connection.watch_caller(self.caller.sock)
        head = self._wait(connection, self.patience.head, connection.read_head)
        self.head = head
        if not head.is_by_other(self.instance.entry.id):
            # What another start says is no life of this one.
            self.instance.last_received_at = connection.last_received_at
        self.began_at = time.monotonic()
        self.began()
        self.on_head(head)
        if head.not_run:
            connection.read_full_body(self.patience.end, MAX_BODY_BYTES)
            return self._not_run(head), head
        if head.success and (not head.sealed or head.encoded):
            return Broken("answer is not the upstream's own"), None
        fresh = head.success and not self.progress.started
        if fresh and not self.accepts(head):
            return Unsure(head.confidence or 0.0), None
        if self.streaming and head.success:
            return self._relay(connection, head)
        body = connection.read_full_body(self.patience.end, MAX_BODY_BYTES)
        return Whole(head, body), head

    def _not_run(self, head: AnswerHead) -> NotRun:
        """Return the result of a request that the upstream did not run."""
        if head.instance and head.instance != self.instance.entry.id:
            return NotRun("replaced", reached=True, replaced_by=head.instance)
        return NotRun("refused", reached=True)

    def _relay(
        self, connection: UpstreamConnection, head: AnswerHead
    ) -> tuple[Result, AnswerHead | None]:
        """Pass a stream on, whole events at a time."""
        cutter = EventCutter()
        wait = self.patience.head
        last_at = 0.0
        while True:
            data = self._wait(connection, wait, connection.read_body)
            if last_at and data is not None:
                pause_s = connection.last_received_at - last_at
                self.on_pause(pause_s)
            self.instance.last_received_at = connection.last_received_at
            if data is None:
                break
            last_at = connection.last_received_at
            self._pass_on(head, cutter, data)
            wait = self.patience.gap
        # An answer without a length ends with its connection.
        ended = connection.ended
        if cutter.rest:
            detail = "stream ended in the middle of an event"
            return Broken(detail, ended=ended), None
        if not self.progress.started:
            return Broken("stream without an event", ended=ended), None
        return Streamed(), head

    def _pass_on(
        self, head: AnswerHead, cutter: EventCutter, data: bytes
    ) -> None:
        events = cutter.feed(data)
        if not events:
            return
        is_first = not self.progress.started
        self.progress.passed_on(events)
        if is_first:
            self.caller.start(head.status, head.headers)
        self.caller.send(b"".join(event.data for event in events))

    def _wait(
        self,
        connection: UpstreamConnection,
        wait: Wait,
        read: Callable[[float], T],
    ) -> T:
        """Read a piece, for as long as the instance shows life.

        An instance that answers others has this request in its queue, and
        another's queue is no shorter; one that is silent to all is down.

        Raises:
            TimedOut: Nothing came in time.
        """
        start = time.monotonic()
        last = min(start + wait.queued_s, self.patience.end)
        until = min(start + wait.silent_s, last)
        while True:
            try:
                return read(until)
            except TimedOut:
                alive = self.instance.alive_at > until - wait.silent_s
                if until >= last or not alive:
                    raise
                until = min(until + wait.silent_s, last)
