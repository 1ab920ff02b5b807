"""HTTP transfers that end by silence, not by a limit on their total time.

How long a transfer takes depends on its size and on what else uses the link. A
limit on the total time ends transfers that make progress, and repeating them
fills the link further.
"""

import math
import select
from dataclasses import dataclass
from typing import Final

import pycurl

from lacewingdock.helpers.clock import STEADY

# Events of `select.poll` for each of libcurl's, and the other way around.
_POLL_EVENTS: Final = {
    pycurl.POLL_IN: select.POLLIN,
    pycurl.POLL_OUT: select.POLLOUT,
    pycurl.POLL_INOUT: select.POLLIN | select.POLLOUT,
}
_CURL_EVENTS: Final = (
    (select.POLLIN | select.POLLHUP, pycurl.CSELECT_IN),
    (select.POLLOUT, pycurl.CSELECT_OUT),
    (select.POLLERR | select.POLLNVAL, pycurl.CSELECT_ERR),
)


class TransferError(Exception):
    """A transfer failed, or was ended."""


@dataclass(slots=True, frozen=True)
class TransferLimits:
    """How long a transfer may take, in seconds.

    Attributes:
        first_byte_s: Until the first byte of the body. The head may come long
            before, as of a call that waits for changes.
        idle_s: Between two parts of the body.
        total_s: From the first byte of the body to the last. Bounds what a
            sender of few bytes a second can hold.
    """

    first_byte_s: float
    idle_s: float
    total_s: float


class Progress:
    """The progress of one transfer.

    Attributes:
        began_at: Monotonic time at which the transfer began.
        first_at: Monotonic time of the body's first byte; None before.
        last_at: Monotonic time of its last bytes; None before.
        received: Bytes of the body that were received.
        expected: Bytes that the body has; None where the head does not say.
    """

    __slots__ = ("began_at", "expected", "first_at", "last_at", "received")

    def __init__(self) -> None:
        """Begin now."""
        self.began_at = STEADY.now()
        self.first_at: float | None = None
        self.last_at: float | None = None
        self.received = 0
        self.expected: int | None = None

    def add(self, count: int) -> None:
        """Record bytes of the body that arrived."""
        now = STEADY.now()
        if self.first_at is None:
            self.first_at = now
        self.last_at = now
        self.received += count

    def read_header(self, line: bytes) -> None:
        """Record a line of the head."""
        name, _, value = line.partition(b":")
        if (
            name.strip().lower() == b"content-length"
            and value.strip().isdigit()
        ):
            self.expected = int(value)

    @property
    def seconds(self) -> float:
        """Seconds since the first byte of the body; 0 before."""
        return 0.0 if self.first_at is None else STEADY.now() - self.first_at

    def ends_at(self, limits: TransferLimits) -> tuple[float, str]:
        """Return when the transfer is to be ended without further bytes.

        Returns:
            The monotonic time, and the reason.
        """
        if self.first_at is None or self.last_at is None:
            return self.began_at + limits.first_byte_s, "no answer"
        return min(
            (self.last_at + limits.idle_s, "no more bytes"),
            (self.first_at + limits.total_s, "too slow"),
        )

    def describe(self) -> str:
        """Return how much of the answer arrived, and in how many seconds."""
        expected = "" if self.expected is None else f" of {self.expected}"
        return f"{self.received}{expected} bytes in {self.seconds:.3f} s"


class Transfers:
    """Makes transfers one after the other; keeps their connections open.

    For one thread. `select` takes no descriptors above 1,023, so the sockets
    are polled here.
    """

    __slots__ = ("_multi", "_poller", "_running", "_timer_at")

    def __init__(self) -> None:
        """Start without connections."""
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._poller = select.poll()
        self._timer_at = math.inf
        self._running: pycurl.Curl | None = None

    def perform(
        self, curl: pycurl.Curl, limits: TransferLimits, progress: Progress
    ) -> None:
        """Make one transfer.

        Args:
            curl: The configured handle. Its callbacks record the progress.
            limits: When the transfer is to be ended.
            progress: Its progress.

        Raises:
            TransferError: It failed, or was ended by a limit.
        """
        self.finish()
        self._running = curl
        self._multi.add_handle(curl)
        self._timer_at = -math.inf
        while True:
            self._step(limits, progress)
            _, succeeded, failed = self._multi.info_read()
            if succeeded:
                return
            if failed:
                _, number, message = failed[0]
                raise TransferError(f"{message} ({number})")

    def finish(self) -> None:
        """Detach the last transfer's handle.

        It stays attached until then: a detached handle does not tell the socket
        of its connection.
        """
        if self._running is not None:
            self._multi.remove_handle(self._running)
            self._running = None

    def close(self) -> None:
        """Close all connections."""
        self.finish()
        self._multi.close()

    def _step(self, limits: TransferLimits, progress: Progress) -> None:
        """Wait for an event, and handle it.

        Raises:
            TransferError: A limit was reached.
        """
        now = STEADY.now()
        ends_at, reason = progress.ends_at(limits)
        if now >= ends_at:
            raise TransferError(f"{reason}: {progress.describe()}")
        until = min(ends_at, self._timer_at)
        wait_ms = math.ceil(max(until - now, 0.0) * 1000)
        events = self._poller.poll(wait_ms)
        for descriptor, found in events:
            mask = sum(curl for poll, curl in _CURL_EVENTS if found & poll)
            self._multi.socket_action(descriptor, mask)
        if not events and STEADY.now() >= self._timer_at:
            self._timer_at = math.inf
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def _watch_socket(
        self, event: int, descriptor: int, multi: object, data: object
    ) -> None:
        del multi, data
        if event == pycurl.POLL_REMOVE:
            self._poller.unregister(descriptor)
        else:
            self._poller.register(descriptor, _POLL_EVENTS.get(event, 0))

    def _set_timer(self, timeout_ms: int) -> None:
        now = STEADY.now()
        self._timer_at = math.inf if timeout_ms < 0 else now + timeout_ms / 1000
