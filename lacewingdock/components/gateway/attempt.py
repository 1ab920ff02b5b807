"""Support for one attempt of a request at one upstream instance."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeVar

from lacewingdock.components.gateway.events import Event, EventSplitter
from lacewingdock.components.gateway.timeouts import ReadTimeout, ReadTimeouts
from lacewingdock.components.upstreams.connection import (
    CallerLeft,
    ConnectionUse,
    TimedOut,
    UpstreamConnection,
)
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.components.upstreams.pool import ConnectionPool
from lacewingdock.exceptions import UpstreamLost
from lacewingdock.helpers.server_connection import ServerConnection
from lacewingdock.platform.wire import upstream_headers
from lacewingdock.world.call import AttemptOptions, Call, ResponseHead

# Longest body of an answer that is not a stream, in bytes.
MAX_BODY_BYTES: Final = 16 * 1024 * 1024
# Largest event of a stream, in bytes. Events hold some tokens.
MAX_EVENT_BYTES: Final = 64 * 1024
# Most parts of the body that complete no event. Each costs processor time,
# however short it is, and a flood of them would take that of all requests.
MAX_PARTS_PER_EVENT: Final = 1024

# Lowest status with which an upstream reports its own failure.
SERVER_ERROR: Final = 500

T = TypeVar("T")


@dataclass(slots=True)
class Whole:
    """The upstream's complete answer was received.

    Attributes:
        head: The answer's head.
        body: The answer's body.
        by_close: Whether only the end of the connection marked its end.
    """

    head: ResponseHead
    body: bytes
    by_close: bool = False


@dataclass(slots=True)
class Streamed:
    """The stream was passed on to the caller completely.

    Attributes:
        by_close: Whether only the end of the connection marked its end.
    """

    by_close: bool = False


@dataclass(slots=True)
class NotRun:
    """The request did not run at the instance, and will not run there.

    Attributes:
        detail: The reason.
        reached: Whether the request reached an upstream, which refused it.
        replaced_by: Id of another instance that answered at the address;
            empty where none did.
        withheld: Whether the request was not sent, since the instance stopped
            accepting requests or the request was found to be a poison request
            while the connection was opened.
    """

    detail: str
    reached: bool
    replaced_by: str = ""
    withheld: bool = False


@dataclass(slots=True)
class Broken:
    """There is no usable answer, and the request may have run.

    Attributes:
        detail: The reason.
        timed_out: Whether a read timeout expired.
        ended: Whether the upstream closed or reset the connection.
    """

    detail: str
    timed_out: bool = False
    ended: bool = False


@dataclass(slots=True)
class Unsure:
    """The answer's confidence is too low; nothing of it was passed on."""

    confidence: float


Result = Whole | Streamed | Unsure | NotRun | Broken


def is_failure(result: Result) -> bool:
    """Return whether an attempt has no answer, or an upstream's error."""
    match result:
        case Whole(head, _):
            return head.status >= SERVER_ERROR
        case Streamed() | Unsure():
            return False
    return True


@dataclass(slots=True)
class Progress:
    """How much of a stream was sent to the caller, over all attempts.

    Attributes:
        started: Whether the head was sent to the caller.
        last_event: Id of the last event sent.
        events: Number of events sent.
        first_at: Monotonic time at which the first events were sent.
        last_at: Monotonic time at which the last events were sent.
        longest_pause_s: Longest pause between two sends, in seconds.
    """

    started: bool = False
    last_event: str = ""
    events: int = 0
    first_at: float = 0.0
    last_at: float = 0.0
    longest_pause_s: float = 0.0

    def record_events(self, events: list[Event]) -> None:
        """Record events that are about to be sent to the caller."""
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
    """One attempt of a request at one upstream instance.

    Attributes:
        pool: Connections to upstream instances.
        instance: The instance that the request is sent to.
        call: The request.
        caller: The caller's connection.
        timeouts: Read timeouts, and the deadline of the request.
        progress: How much of the stream was sent to the caller.
        streaming: Whether a successful answer is passed on event by event.
        is_withheld: Called before the request is sent; returns whether the
            request must not be sent to the instance any more.
        accepts: Called with the head of a successful answer; returns whether
            the answer's confidence is high enough.
        on_head: Called with the head of the answer.
        on_began: Called once, when the answer begins or the attempt ends.
        on_pause: Called with the seconds between two reads of a stream.
        has_begun: Whether `on_began` was called.
        head: Head of the answer; None until it is read.
        began_at: Monotonic time at which the answer began; 0 if it did not.
        use: What the attempt used of its connection; None if nothing was sent.
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
        "pool",
        "progress",
        "streaming",
        "timeouts",
        "use",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        instance: UpstreamInstance,
        call: Call,
        caller: ServerConnection,
        timeouts: ReadTimeouts,
        progress: Progress,
        streaming: bool,
        is_withheld: Callable[[], bool],
        accepts: Callable[[ResponseHead], bool],
        on_head: Callable[[ResponseHead], None],
        on_began: Callable[[], None],
        on_pause: Callable[[float], None],
    ) -> None:
        """Create the attempt; `run` makes it."""
        self.pool = pool
        self.instance = instance
        self.call = call
        self.caller = caller
        self.timeouts = timeouts
        self.progress = progress
        self.streaming = streaming
        self.is_withheld = is_withheld
        self.accepts = accepts
        self.on_head = on_head
        self.on_began = on_began
        self.on_pause = on_pause
        self.has_begun = False
        self.head: ResponseHead | None = None
        self.began_at = 0.0
        self.use: ConnectionUse | None = None

    def run(self, sending: AttemptOptions) -> Result:
        """Make the attempt.

        Raises:
            CallerLeft: The caller closed its connection while the answer was
                awaited.
            CallerDisconnected: Sending to the caller failed.
        """
        try:
            connection = self.pool.acquire(
                self.instance.entry, self.call.id, sending.left_s
            )
        except UpstreamLost as error:
            return NotRun(error.detail, reached=False)
        if self.is_withheld():
            # The reason arose while the connection was opened.
            self.pool.close(connection)
            return NotRun("withheld", reached=False, withheld=True)
        head: ResponseHead | None = None
        try:
            result, head = self._exchange(connection, sending)
        except UpstreamLost as error:
            return Broken(error.detail, ended=connection.ended)
        except TimedOut:
            return Broken("silent", timed_out=True)
        finally:
            self.use = connection.use()
            # Closing the connection makes the upstream cancel the request.
            if head is None:
                self.pool.close(connection)
        if head is not None:
            self.pool.release(
                self.instance.entry, connection, head.keep_alive_s, head.closes
            )
        return result

    def notify_began(self) -> None:
        """Call `on_began` unless it was called before."""
        if not self.has_begun:
            self.has_begun = True
            self.on_began()

    def _exchange(
        self, connection: UpstreamConnection, sending: AttemptOptions
    ) -> tuple[Result, ResponseHead | None]:
        """Send the request and read the answer.

        Returns:
            The result, and the answer's head if the connection can be reused.
        """
        call = self.call
        if self.caller.caller_closed():
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
        head = self._read_while_alive(
            connection, self.timeouts.head, connection.read_head
        )
        self.head = head
        if not head.is_from_other_instance(self.instance.entry.id):
            # Bytes of another instance do not show that this one is alive.
            self.instance.last_received_at = connection.last_received_at
        self.began_at = time.monotonic()
        self.notify_began()
        self.on_head(head)
        if head.not_run:
            self._read_body(connection)
            return self._not_run(head), head
        if head.success and (not head.sealed or head.encoded):
            return Broken(
                "answer lacks the response seal or has a content encoding"
            ), None
        fresh = head.success and not self.progress.started
        if fresh and not self.accepts(head):
            return Unsure(head.confidence or 0.0), None
        if self.streaming and head.success:
            return self._relay(connection, head)
        body = self._read_body(connection)
        return Whole(head, body, by_close=connection.ended), head

    def _read_body(self, connection: UpstreamConnection) -> bytes:
        return connection.read_full_body(
            self.timeouts.body_end, MAX_BODY_BYTES, self.pool.body_bytes
        )

    def _not_run(self, head: ResponseHead) -> NotRun:
        """Return the result of a request that the upstream refused to run."""
        if head.instance and head.instance != self.instance.entry.id:
            return NotRun("replaced", reached=True, replaced_by=head.instance)
        return NotRun("refused", reached=True)

    def _relay(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> tuple[Result, ResponseHead | None]:
        """Pass a stream on to the caller in complete events."""
        splitter = EventSplitter()
        timeout = self.timeouts.head
        last_at = 0.0
        event_at = time.monotonic()
        parts = 0
        while True:
            data = self._read_while_alive(
                connection, timeout, connection.read_body
            )
            if last_at and data is not None:
                pause_s = connection.last_received_at - last_at
                self.on_pause(pause_s)
            self.instance.last_received_at = connection.last_received_at
            if data is None:
                break
            last_at = connection.last_received_at
            parts += 1
            if self._pass_on(head, splitter, data):
                event_at = time.monotonic()
                timeout = self.timeouts.gap
                parts = 0
            elif time.monotonic() - event_at > timeout.queued_s:
                # Bytes that complete no event are no sign of progress.
                return Broken("bytes without an event", timed_out=True), None
            is_too_long = len(splitter.buffer) > MAX_EVENT_BYTES
            if is_too_long or parts > MAX_PARTS_PER_EVENT:
                return Broken("event without end"), None
        # An answer without a length ends when its connection is closed.
        ended = connection.ended
        if splitter.has_partial_event:
            detail = "stream ended in the middle of an event"
            return Broken(detail, ended=ended), None
        if not self.progress.started:
            return Broken("stream without an event", ended=ended), None
        if splitter.buffer:
            # Comments after the last event.
            self.caller.send(bytes(splitter.buffer))
        return Streamed(by_close=ended), head

    def _pass_on(
        self, head: ResponseHead, splitter: EventSplitter, data: bytes
    ) -> bool:
        """Pass on the events that are complete; return whether any are."""
        events = splitter.append(data)
        if not events:
            return False
        is_first = not self.progress.started
        self.progress.record_events(events)
        if is_first:
            self.caller.start(head.status, head.headers)
        self.caller.send(b"".join(event.data for event in events))
        return True

    def _read_while_alive(
        self,
        connection: UpstreamConnection,
        timeout: ReadTimeout,
        read: Callable[[float], T],
    ) -> T:
        """Read a part of the answer; wait longer while the instance is alive.

        An instance that answers other requests has this request in its queue,
        and queues elsewhere are no shorter; an instance that sends nothing to
        any request counts as down.

        Raises:
            TimedOut: Nothing was received in time.
        """
        start = time.monotonic()
        last = min(start + timeout.queued_s, self.timeouts.end)
        until = min(start + timeout.silent_s, last)
        while True:
            try:
                return read(until)
            except TimedOut:
                alive = self.instance.alive_at > until - timeout.silent_s
                if until >= last or not alive:
                    raise
                until = min(until + timeout.silent_s, last)
