"""Support for calling the upstream and streaming its answer."""

import re
import socket
import time
from typing import Annotated, Any, Final

import msgspec
import pycurl

from lacewingdock.const import RAN_NO, RAN_UNKNOWN, RAN_YES
from lacewingdock.exceptions import (
    ErrorKind,
    LacewingdockError,
    UpstreamLost,
)
from lacewingdock.helpers.http_client import send
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.messages import Finish
from lacewingdock.world.run import Run

EVENT_STREAM: Final = "text/event-stream"
DONE: Final = b"[DONE]"
CONNECT_TIMEOUT_MS: Final = 1000
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
BODY_PIECE_BYTES: Final = 256 * 1024
# An event is sent in one frame, and a frame over the size limit closes the
# link and breaks every answer on it.
MAX_EVENT_BYTES: Final = 1024 * 1024
MAX_TOKENS: Final = 2**32 - 1

# Path and headers by which a stream is resumed and cancelled by its id. An
# engine that supports this announces it in the response.
STREAMS_PATH: Final = "/v1/streams/"
HEADER_STREAM_ID: Final = "X-Stream-Id"
HEADER_STREAM_RESUME: Final = "x-stream-resume"
# Backoff before each attempt to resume a stream, in seconds; the total is well
# below the silence that a caller treats as a hang.
RESUME_BACKOFF_S: Final = (0.02, 0.2, 0.8)
CANCEL_TIMEOUT_S: Final = 1.0

_OK: Final = 200
_SERVER_ERROR: Final = 500
_ABORT: Final = -1
# Errors that result from a cancellation by this sidecar.
_OWN_ABORTS: Final = (pycurl.E_WRITE_ERROR, pycurl.E_ABORTED_BY_CALLBACK)


log = get_logger("runs")
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class _Usage(msgspec.Struct):
    prompt_tokens: _Tokens = 0
    completion_tokens: _Tokens = 0


class _Event(msgspec.Struct):
    usage: _Usage | None = None


_STATUS: Final = re.compile("[1-5][0-9][0-9]")


class Receiver:
    """Parses the upstream's response into chunks of the run's answer.

    Attributes:
        run: The run that receives the chunks.
        is_stream: Whether the answer is an event stream.
        status: HTTP status of the answer; 0 before it is received.
        content_type: Media type of the answer.
        pending: Bytes of an incomplete event or body not passed on yet.
        done: Whether the stream's completion marker was received.
        received: Total bytes received.
        resumable: Whether the upstream can resume this stream.
        finish: The final message, filled in as the answer is received.
    """

    __slots__ = (
        "content_type",
        "done",
        "finish",
        "pending",
        "received",
        "resumable",
        "run",
        "status",
    )

    def __init__(self, run: Run) -> None:
        """Initialize a receiver for the answer of a run."""
        self.run = run
        self.status = 0
        self.content_type = ""
        self.pending = b""
        self.done = False
        self.received = 0
        self.resumable = False
        self.finish = Finish(run.attempt.attempt, 0)

    def header(self, line: bytes) -> None:
        """Process a header line of the response."""
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            # An exception raised here would be printed by the HTTP library,
            # not logged; curl has already checked the form of the line.
            _, _, rest = text.partition(" ")
            code = rest[:3]
            self.status = int(code) if _STATUS.fullmatch(code) else 0
        name, _, value = text.partition(":")
        match name.lower():
            case "content-type":
                self.content_type = value.strip()
            case _ if name.lower() == HEADER_STREAM_RESUME:
                self.resumable = value.strip() == "yes"
            case _:
                pass

    def restart(self) -> None:
        """Prepare for a response that resumes the broken one.

        An incomplete event is dropped: the upstream sends it again in full.
        """
        self.status = 0
        self.pending = b""

    @property
    def is_stream(self) -> bool:
        """Whether the answer is an event stream."""
        return self.content_type.startswith(EVENT_STREAM)

    def body(self, data: bytes) -> int | None:
        """Process bytes of the body; returns -1 to abort the transfer."""
        self.received += len(data)
        if self.run.cancelled.is_set() or self.received > MAX_ANSWER_BYTES:
            return _ABORT
        self.pending += data
        if self.is_stream:
            *events, self.pending = self.pending.split(b"\n\n")
            for event in events:
                if len(event) > MAX_EVENT_BYTES:
                    return _ABORT
                self._event(event)
            if len(self.pending) > MAX_EVENT_BYTES:
                return _ABORT
        elif len(self.pending) >= BODY_PIECE_BYTES:
            self.run.add(self.pending)
            self.pending = b""
        return None

    def _event(self, event: bytes) -> None:
        if not event.startswith(b"data:"):
            return
        data = event[5:].strip()
        if data == DONE:
            self.done = True
            return
        if b'"usage"' in data:
            self._record_usage(data)
        self.run.add(data)

    def _record_usage(self, data: bytes) -> None:
        try:
            usage = decode_json(data, _Event).usage
        except msgspec.DecodeError:
            return
        if usage is not None:
            self.finish.input_tokens = usage.prompt_tokens
            self.finish.output_tokens = usage.completion_tokens

    def check_complete(self) -> None:
        """Check that a stream is complete.

        Raises:
            LacewingdockError: UPSTREAM_FAILED when the stream ended early.
        """
        if self.is_stream and not self.done:
            raise UpstreamLost(
                "the stream ended before its completion marker",
                _ran_state(self.run),
            )

    def end(self) -> None:
        """Finish the run's answer as complete."""
        if self.pending and not self.is_stream:
            self.run.add(self.pending)
        self.finish.status = self.status
        self.finish.content_type = self.content_type
        self.run.end(self.finish)


def call_upstream(url: str, run: Run, deadline: float, is_engine: bool) -> None:
    """Send a run's request to the upstream and receive the answer.

    A broken stream is resumed at its offset if the upstream supports that.
    Otherwise the answer ends with an error: repeating the request would
    produce an answer that differs from the part already delivered.

    Args:
        url: URL of the upstream instance.
        run: The run, whose answer is finished here.
        deadline: Monotonic time, in seconds, by which the answer must be
            complete.
        is_engine: Whether the upstream is a model engine, which accepts
            requests to cancel its streams.

    Raises:
        LacewingdockError: The upstream failed; `ran` states whether the
            request ran, as far as known.
    """
    if deadline <= time.monotonic():
        raise LacewingdockError(
            ErrorKind.DEADLINE, "the deadline passed in the queue", RAN_NO
        )
    receiver = Receiver(run)
    try:
        _send(url, run, receiver, deadline)
    except LacewingdockError as error:
        try:
            _resume(url, run, receiver, deadline, error)
        finally:
            if run.cancelled.is_set() and is_engine:
                _cancel(url, run)
    if receiver.status >= _SERVER_ERROR and run.attempt.repeatable:
        raise LacewingdockError(
            ErrorKind.UPSTREAM_FAILED, f"status {receiver.status}"
        )
    receiver.end()


def _send(url: str, run: Run, receiver: Receiver, deadline: float) -> None:
    attempt = run.attempt
    headers = [f"Content-Type: {attempt.content_type}", "Expect:"]
    headers += [f"X-Request-Id: {attempt.request}"]
    headers += [f"{HEADER_STREAM_ID}: {attempt.attempt}"]
    if attempt.traceparent:
        headers.append(f"traceparent: {attempt.traceparent}")
    if attempt.key:
        headers.append(f"Idempotency-Key: {attempt.key}")
    curl = pycurl.Curl()
    try:
        _prepare(curl, url + attempt.path, run, receiver, deadline)
        curl.setopt(pycurl.HTTPHEADER, headers)
        if attempt.body or attempt.method != "GET":
            curl.setopt(pycurl.POSTFIELDS, attempt.body)
        curl.setopt(pycurl.CUSTOMREQUEST, attempt.method)
        run.executed = True
        curl.perform()
    except UnicodeEncodeError as error:
        raise LacewingdockError(
            ErrorKind.BAD_REQUEST, f"not ASCII: {error.object!r}", RAN_NO
        ) from error
    except pycurl.error as error:
        if error.args[0] == pycurl.E_COULDNT_CONNECT:
            # Nothing was sent, so the request can't have run.
            run.executed = False
            raise UpstreamLost(str(error.args[1]), RAN_NO) from error
        raise _build_error(error, run) from error
    finally:
        run.on_cancel = None
        curl.close()
    receiver.check_complete()


def _resume(
    url: str,
    run: Run,
    receiver: Receiver,
    deadline: float,
    error: LacewingdockError,
) -> None:
    """Resume a broken stream, or raise the error that prevents it."""
    for pause in RESUME_BACKOFF_S:
        if not receiver.resumable or error.kind is ErrorKind.DEADLINE:
            raise error
        if run.cancelled.wait(pause):
            raise error
        try:
            _send_resume(url, run, receiver, deadline)
            return
        except LacewingdockError as later:
            error = later
    raise error


def _send_resume(
    url: str, run: Run, receiver: Receiver, deadline: float
) -> None:
    path = f"{STREAMS_PATH}{run.attempt.attempt}?after={len(run.chunks)}"
    receiver.restart()
    curl = pycurl.Curl()
    try:
        _prepare(curl, url + path, run, receiver, deadline)
        curl.perform()
    except pycurl.error as error:
        if error.args[0] == pycurl.E_COULDNT_CONNECT:
            # The engine's port is closed: the engine died and lost its
            # streams. Further retries would only delay the error.
            receiver.resumable = False
        raise _build_error(error, run) from error
    finally:
        run.on_cancel = None
        curl.close()
    if receiver.status != _OK:
        receiver.resumable = False
        raise UpstreamLost(
            f"the stream can't be resumed: status {receiver.status}",
            _ran_state(run),
        )
    receiver.check_complete()


def _cancel(url: str, run: Run) -> None:
    """Cancel a stream that the engine would keep for a resume.

    Otherwise the engine continues to generate without a reader, in a slot
    that this sidecar counts as free.
    """
    stream = url + STREAMS_PATH + run.attempt.attempt
    try:
        send(stream, method="DELETE", timeout_s=CANCEL_TIMEOUT_S)
    except pycurl.error as error:
        log.info(
            "stream cancel not delivered",
            attempt_id=run.attempt.attempt,
            error=str(error),
        )


def _prepare(
    curl: pycurl.Curl, url: str, run: Run, receiver: Receiver, deadline: float
) -> None:
    left_ms = int((deadline - time.monotonic()) * 1000)
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.TIMEOUT_MS, max(left_ms, 1))
    curl.setopt(pycurl.HEADERFUNCTION, receiver.header)
    curl.setopt(pycurl.WRITEFUNCTION, receiver.body)

    def open_socket(_purpose: int, address: Any) -> socket.socket:
        # While no data arrives, the library checks for a cancellation only
        # once a second; a shutdown of its socket wakes it at once, which
        # frees the slot.
        sock = socket.socket(address.family, address.socktype, address.protocol)
        run.set_cancel_hook(lambda: sock.shutdown(socket.SHUT_RDWR))
        return sock

    curl.setopt(pycurl.OPENSOCKETFUNCTION, open_socket)
    curl.setopt(pycurl.NOPROGRESS, 0)
    curl.setopt(pycurl.XFERINFOFUNCTION, lambda *_: int(run.cancelled.is_set()))


def _ran_state(run: Run) -> str:
    return RAN_YES if run.chunks else RAN_UNKNOWN


def _build_error(error: pycurl.error, run: Run) -> LacewingdockError:
    code, text = error.args[0], str(error.args[1])
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return LacewingdockError(ErrorKind.DEADLINE, text, RAN_UNKNOWN)
    if run.cancelled.is_set() or code in _OWN_ABORTS:
        return LacewingdockError(
            ErrorKind.UPSTREAM_FAILED, text, _ran_state(run)
        )
    return UpstreamLost(text, _ran_state(run))
