"""Support for calling the upstream and taking its answer as it streams."""

import re
import time
from typing import Annotated, Final

import msgspec
import pycurl

from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.json import decode_json
from lacewingdock.links.messages import Finish
from lacewingdock.world.run import Run

EVENT_STREAM: Final = "text/event-stream"
DONE: Final = b"[DONE]"
CONNECT_TIMEOUT_MS: Final = 1000
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
BODY_PIECE_BYTES: Final = 256 * 1024
# An event goes in one frame, and a frame beyond the limit ends the link with
# every answer on it.
MAX_EVENT_BYTES: Final = 1024 * 1024
MAX_TOKENS: Final = 2**32 - 1

_SERVER_ERROR: Final = 500
_ABORT: Final = -1


_Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class _Usage(msgspec.Struct):
    prompt_tokens: _Tokens = 0
    completion_tokens: _Tokens = 0


class _Event(msgspec.Struct):
    usage: _Usage | None = None


_STATUS: Final = re.compile("[1-5][0-9][0-9]")


class Receiver:
    """Splits what the upstream sends into pieces of the run's answer.

    Attributes:
        run: Where the pieces go.
        is_stream: Whether the answer is an event stream.
        status: HTTP status of the answer.
        content_type: Its media type.
        pending: Bytes of a line or body not handed on yet.
        done: Whether the stream said that it is complete.
        received: Bytes received in all.
        finish: The end as far as known.
    """

    __slots__ = (
        "content_type",
        "done",
        "finish",
        "pending",
        "received",
        "run",
        "status",
    )

    def __init__(self, run: Run) -> None:
        """Start before the first byte."""
        self.run = run
        self.status = 0
        self.content_type = ""
        self.pending = b""
        self.done = False
        self.received = 0
        self.finish = Finish(run.attempt.attempt, 0)

    def header(self, line: bytes) -> None:
        """Take a header line."""
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            # What raised here would be printed by the HTTP library, not
            # logged; curl has checked the line's form already.
            _, _, rest = text.partition(" ")
            code = rest[:3]
            self.status = int(code) if _STATUS.fullmatch(code) else 0
        name, _, value = text.partition(":")
        if name.lower() == "content-type":
            self.content_type = value.strip()

    @property
    def is_stream(self) -> bool:
        """Whether the answer is an event stream."""
        return self.content_type.startswith(EVENT_STREAM)

    def body(self, data: bytes) -> int | None:
        """Take bytes of the body; returns -1 to abort."""
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
            self._count(data)
        self.run.add(data)

    def _count(self, data: bytes) -> None:
        try:
            usage = decode_json(data, _Event).usage
        except msgspec.DecodeError:
            return
        if usage is not None:
            self.finish.input_tokens = usage.prompt_tokens
            self.finish.output_tokens = usage.completion_tokens

    def end(self) -> None:
        """End the run's answer.

        Raises:
            LacewingdockError: UPSTREAM_FAILED when the answer isn't whole.
        """
        if self.is_stream and not self.done:
            raise LacewingdockError(
                ErrorKind.UPSTREAM_FAILED, "the stream ended too soon"
            )
        if self.pending and not self.is_stream:
            self.run.add(self.pending)
        self.finish.status = self.status
        self.finish.content_type = self.content_type
        self.run.end(self.finish)


def call_upstream(url: str, run: Run, deadline: float) -> None:
    """Send a run's request to the upstream and take the answer.

    Args:
        url: URL of the upstream instance.
        run: The run; its answer is ended here.
        deadline: Monotonic time by which the answer must be whole.

    Raises:
        LacewingdockError: The upstream failed; `ran` says what is known.
    """
    attempt = run.attempt
    receiver = Receiver(run)
    left_ms = int((deadline - time.monotonic()) * 1000)
    if left_ms <= 0:
        raise LacewingdockError(
            ErrorKind.DEADLINE, "the deadline passed in the queue", RAN_NO
        )
    headers = [f"Content-Type: {attempt.content_type}", "Expect:"]
    headers += [f"X-Request-Id: {attempt.request}"]
    if attempt.traceparent:
        headers.append(f"traceparent: {attempt.traceparent}")
    if attempt.key:
        headers.append(f"Idempotency-Key: {attempt.key}")
    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, url + attempt.path)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, left_ms)
        curl.setopt(pycurl.HTTPHEADER, headers)
        curl.setopt(pycurl.HEADERFUNCTION, receiver.header)
        curl.setopt(pycurl.WRITEFUNCTION, receiver.body)
        # Without data the write callback is silent; this one is asked about
        # every second all the same, so a cancel is seen.
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(
            pycurl.XFERINFOFUNCTION, lambda *_: int(run.cancelled.is_set())
        )
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
        raise _failure(error, run) from error
    finally:
        curl.close()
    if receiver.status >= _SERVER_ERROR and run.attempt.repeatable:
        raise LacewingdockError(
            ErrorKind.UPSTREAM_FAILED, f"status {receiver.status}"
        )
    receiver.end()


def _failure(error: pycurl.error, run: Run) -> LacewingdockError:
    code, text = error.args[0], str(error.args[1])
    if code == pycurl.E_COULDNT_CONNECT:
        # Nothing was sent, so the request can't have run.
        run.executed = False
        return LacewingdockError(ErrorKind.UPSTREAM_FAILED, text, RAN_NO)
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return LacewingdockError(ErrorKind.DEADLINE, text, RAN_UNKNOWN)
    return LacewingdockError(ErrorKind.UPSTREAM_FAILED, text, RAN_UNKNOWN)
