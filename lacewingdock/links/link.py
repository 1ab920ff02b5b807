"""Support for a persistent connection between two daemons."""

import contextlib
import select
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final

from lacewingdock.const import (
    BEAT_BUSY_S,
    HANDSHAKE_TIMEOUT_S,
    MAX_FRAME_BYTES,
    SILENCE_S,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.clock import since_boot
from lacewingdock.helpers.tally import Tally
from lacewingdock.links.delay import DelayEstimator
from lacewingdock.links.messages import Attempt, Beat, Hello, Message
from lacewingdock.links.wire import LENGTH_BYTES, decode, encode

RECEIVE_BYTES: Final = 65536
# On a link with many answers a token arrives every fraction of a millisecond,
# and a wake-up per token costs more than reading it. From this number of
# outstanding answers on, a short pause in seconds between reads batches several
# tokens. It is small against the 29 ms between the tokens of a caller.
READ_PAUSE_ANSWERS: Final = 16
READ_PAUSE_S: Final = 0.002
# Seconds without send progress after which a peer counts as frozen or cut off.
SEND_TIMEOUT_S: Final = 1
# Maximum backlog for a slow peer, in bytes: two frames of the largest size.
# When it is exceeded, the link is closed, and its answers are resumed by offset
# over a new link.
MAX_BACKLOG_BYTES: Final = 2 * MAX_FRAME_BYTES
# Seconds without a frame after which the peer may close the link as silent
# before the next heartbeat arrives.
LAPSE_S: Final = SILENCE_S - BEAT_BUSY_S
_HUNG_UP: Final = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
)
# Backlog in bytes above which bulk senders wait (backpressure).
BULK_BACKLOG_BYTES: Final = 512 * 1024

Spawn = Callable[[Callable[[], None]], Any]


@dataclass(slots=True)
class Traffic:
    """Traffic counters of links.

    Attributes:
        sent_bytes: Bytes sent, without TCP overhead.
        sent_messages: Messages sent.
        heard_bytes: Bytes received.
        heard_messages: Messages received.
    """

    sent_bytes: int = 0
    sent_messages: int = 0
    heard_bytes: int = 0
    heard_messages: int = 0

    def add(self, other: "Traffic") -> None:
        """Add the counters of another link."""
        self.sent_bytes += other.sent_bytes
        self.sent_messages += other.sent_messages
        self.heard_bytes += other.heard_bytes
        self.heard_messages += other.heard_messages


class Link:
    """A connection to a peer; one task reads it, any task may send.

    Sending never blocks. Data that the socket does not accept at once is queued
    in a bounded backlog, which a separate task flushes: a task that blocked on
    a stuck peer would stall its work for healthy peers, such as reading an
    upstream that serves other answers or receiving another peer's heartbeats.

    Attributes:
        sock: The connected socket.
        peer: Identity of the peer.
        busy: Number of outstanding answers over this link.
        busy_since: Monotonic time at which the link last became busy.
        last_received: Monotonic time of the last bytes received.
        last_sent: Monotonic time of the last frame sent.
        last_beat: Monotonic time of the last heartbeat sent.
        traffic: Byte and message counters.
        delay: Delay estimator of the peer's frames.
        backlog_bytes: Bytes queued for the socket.
        closed: Whether the link is closed.
        reason: Reason of the close.
        spawn: Starts the task that flushes the backlog. Links that carry no
            answers have None and are closed instead of queueing.
    """

    __slots__ = (
        "_backlog",
        "_busy_since_boot_s",
        "_flushing",
        "_lapsed_at",
        "_last_sent_boot_s",
        "_lock",
        "_room",
        "backlog_bytes",
        "busy",
        "busy_since",
        "closed",
        "delay",
        "last_beat",
        "last_received",
        "last_sent",
        "peer",
        "reason",
        "sock",
        "spawn",
        "traffic",
    )

    def __init__(self, sock: socket.socket, peer: Hello) -> None:
        """Build a link on a socket after the handshake with a peer."""
        self.sock = sock
        self.peer = peer
        self.busy = Tally()
        self.last_received = self.last_sent = time.monotonic()
        self.last_beat = self.last_received
        self.busy_since = self.last_received
        self.closed = False
        self.reason = ""
        self.traffic = Traffic()
        self.delay = DelayEstimator()
        self._last_sent_boot_s = self._busy_since_boot_s = since_boot()
        self._lapsed_at = 0.0
        self.spawn: Spawn | None = None
        self._lock = threading.Lock()
        self._room = threading.Condition(self._lock)
        self._backlog: list[bytes] = []
        self.backlog_bytes = 0
        self._flushing = False
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_SNDTIMEO,
            struct.pack("ll", SEND_TIMEOUT_S, 0),
        )

    def begin(self) -> None:
        """Increment the number of outstanding answers."""
        if self.busy.add(1) == 1:
            self.busy_since = time.monotonic()
            self._busy_since_boot_s = since_boot()

    def finish(self) -> None:
        """Decrement the number of outstanding answers."""
        self.busy.add(-1)

    def silent_s(self, now: float) -> float:
        """Return for how many seconds the peer has been silent.

        An idle peer sends heartbeats rarely. If the time counted from the last
        of these, the first request after a pause would find the link silent
        for seconds and close a healthy link, so on a busy link the time counts
        from the start of the work at the earliest.
        """
        if self.busy.value > 0:
            return now - max(self.last_received, self.busy_since)
        return now - self.last_received

    def lapsed_since(self, since: float) -> bool:
        """Return whether the peer may have closed the link as silent.

        While answers are outstanding, this end must keep sending heartbeats.
        A process that was paused missed them (a lapse), and the peer may have
        sent its earlier requests to another upstream.

        Args:
            since: Only lapses from this time on count, in seconds since boot.
        """
        if self._lapsed_at >= since:
            return True
        return not self.closed and self._is_lapsing(since_boot())

    def _is_lapsing(self, now: float) -> bool:
        if self.busy.value == 0:
            return False
        return (
            now - max(self._last_sent_boot_s, self._busy_since_boot_s) > LAPSE_S
        )

    def _record_lapse(self) -> None:
        now = since_boot()
        if self._is_lapsing(now):
            self._lapsed_at = now

    def is_hung_up(self) -> bool:
        """Return whether the peer closed, even if frames are still unread."""
        if self.closed:
            return True
        poll = select.poll()
        try:
            poll.register(self.sock, select.POLLRDHUP)
            return any(events & _HUNG_UP for _, events in poll.poll(0))
        except (OSError, ValueError):
            # The reading task has just closed the socket.
            return True

    def send(self, message: Message) -> bool:
        """Send a message or queue it in the backlog.

        Returns:
            False if the link is closed or was closed by this call. True means
            that the message was accepted for sending, not that it arrived.
        """
        frame = encode(message)
        with self._lock:
            if self.closed:
                return False
            if self._flushing:
                return self._queue_locked(frame)
            try:
                sent = self.sock.send(frame, socket.MSG_DONTWAIT)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                self._close_locked(f"send: {error}")
                return False
            self._count_sent(len(frame))
            if sent == len(frame):
                return True
            return self._queue_locked(frame[sent:])

    def _count_sent(self, size: int) -> None:
        self._record_lapse()
        self._last_sent_boot_s = since_boot()
        self.last_sent = time.monotonic()
        self.traffic.sent_bytes += size
        self.traffic.sent_messages += 1

    def _queue_locked(self, data: bytes) -> bool:
        """Queue data in the backlog; return False if that closed the link."""
        waiting = self.backlog_bytes
        if waiting and waiting + len(data) > MAX_BACKLOG_BYTES:
            self._close_locked("backlog full")
            return False
        self._backlog.append(data)
        self.backlog_bytes += len(data)
        if not self._flushing:
            if self.spawn is None:
                self._close_locked("send buffer full")
                return False
            self._flushing = True
            self.spawn(self._flush)
        return True

    def _flush(self) -> None:
        """Send the backlog until it is empty or the link closes."""
        while True:
            with self._lock:
                if self.closed or not self._backlog:
                    self._flushing = False
                    self._room.notify_all()
                    return
                data = b"".join(self._backlog)
                self._backlog = []
            try:
                self.sock.sendall(data)
            except OSError as error:
                self.close(f"send: {error}")
                continue
            with self._lock:
                self._last_sent_boot_s = since_boot()
                self.last_sent = time.monotonic()
                self.backlog_bytes -= len(data)
                self._room.notify_all()

    def wait_for_room(self) -> bool:
        """Wait for room in the backlog; return False if the link closed."""
        with self._room:
            while not self.closed and self.backlog_bytes > BULK_BACKLOG_BYTES:
                self._room.wait(SEND_TIMEOUT_S)
            return not self.closed

    def beat(self, frame: bytes) -> None:
        """Send an encoded heartbeat unless a send is in progress or pending.

        A link with a send in progress or a backlog needs no heartbeat, and the
        heartbeat task, which serves many links in turn, must not wait for it.
        """
        if not self._lock.acquire(blocking=False):
            return
        try:
            if self.closed or self._flushing:
                return
            sent = self.sock.send(frame, socket.MSG_DONTWAIT)
            self._count_sent(sent)
            self.last_beat = self.last_sent
            if sent < len(frame):
                self._queue_locked(frame[sent:])
        except BlockingIOError:
            pass
        except OSError as error:
            self._close_locked(f"beat: {error}")
        finally:
            self._lock.release()

    def receive(self) -> Iterator[Message]:
        """Yield messages until the link closes.

        Raises:
            LacewingdockError: BAD_LINK if the peer sends an invalid frame.
        """
        pending = bytearray()
        while not self.closed:
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except OSError as error:
                self.close(f"receive: {error}")
                return
            if not data:
                self.close("peer closed")
                return
            self.last_received = time.monotonic()
            pending += data
            self.traffic.heard_bytes += len(data)
            for message in _split_frames(pending):
                self.traffic.heard_messages += 1
                if isinstance(message, Attempt | Beat):
                    self.delay.record_stamp(message.sent_ms)
                yield message
            if self.busy.value >= READ_PAUSE_ANSWERS:
                time.sleep(READ_PAUSE_S)

    def close(self, reason: str) -> None:
        """Close the link; the reading task ends soon after."""
        # The lock is not acquired here: a blocked sender may hold it, and only
        # the shutdown unblocks that sender.
        if self.closed:
            return
        self._close_locked(reason)

    def _close_locked(self, reason: str) -> None:
        self._record_lapse()
        self.closed = True
        self.reason = reason
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def end(self) -> None:
        """Flush the backlog and shut down the sending side.

        The peer reads all data and then closes. Closing a socket that holds
        unread heartbeats would reset the connection, and the reset can
        overtake the end of an answer on its way to the peer.
        """
        with self._room:
            self._room.wait_for(lambda: not self._flushing, SEND_TIMEOUT_S)
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def dispose(self) -> None:
        """Close the socket; only called by the reading task when it ends."""
        self.close("disposed")
        self.sock.close()


def _split_frames(pending: bytearray) -> Iterator[Message]:
    """Decode and remove the complete frames at the start of a buffer."""
    start = 0
    try:
        while len(pending) - start >= LENGTH_BYTES:
            length = int.from_bytes(
                pending[start : start + LENGTH_BYTES], "big"
            )
            if length > MAX_FRAME_BYTES:
                raise LacewingdockError(
                    ErrorKind.BAD_LINK,
                    f"frame of {length} bytes is too long",
                )
            end = start + LENGTH_BYTES + length
            if len(pending) < end:
                return
            payload = bytes(pending[start + LENGTH_BYTES : end])
            start = end
            yield decode(payload)
    finally:
        del pending[:start]


def read_frame(sock: socket.socket, limit: int) -> Message:
    """Read exactly one handshake frame.

    Args:
        sock: A socket with a timeout, which applies to the whole frame. If it
            restarted with each byte, a peer that sends byte by byte could
            block the task for hours, and many such peers all tasks.
        limit: Maximum size of the frame, in bytes.

    Raises:
        LacewingdockError: BAD_LINK for a frame that is too long or truncated.
        OSError: The connection failed or timed out.
    """
    timeout_s = sock.gettimeout() or HANDSHAKE_TIMEOUT_S
    end = time.monotonic() + timeout_s
    length = int.from_bytes(_read_exactly(sock, LENGTH_BYTES, end), "big")
    if length > limit:
        raise LacewingdockError(
            ErrorKind.BAD_LINK, f"handshake frame of {length} bytes"
        )
    payload = _read_exactly(sock, length, end)
    sock.settimeout(timeout_s)
    return decode(payload)


def _read_exactly(sock: socket.socket, count: int, end: float) -> bytes:
    data = b""
    while len(data) < count:
        left = end - time.monotonic()
        if left <= 0:
            raise TimeoutError("the handshake timed out")
        sock.settimeout(left)
        piece = sock.recv(count - len(data))
        if not piece:
            raise LacewingdockError(
                ErrorKind.BAD_LINK, "the peer closed during the handshake"
            )
        data += piece
    return data
