"""Support for one link between two daemons."""

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
# Over a link with many answers a token comes every fraction of a millisecond,
# and to be woken for each costs more than to read it. A short pause lets
# several come in one read; it is small against the 29 ms between a caller's
# tokens, and a link with few answers does without.
GATHER_ANSWERS: Final = 16
GATHER_S: Final = 0.002
# A peer that takes nothing for this long is frozen or cut off.
SEND_TIMEOUT_S: Final = 1
# What waits for a slow peer at most; two frames of the largest size. Beyond it
# the link is given up, and its answers are fetched by offset over a new one.
MAX_BACKLOG_BYTES: Final = 2 * MAX_FRAME_BYTES
# A peer that heard nothing for so long may give the link up before the next
# beat reaches it.
LAPSE_S: Final = SILENCE_S - BEAT_BUSY_S
_HUNG_UP: Final = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
)
# Whoever sends in bulk waits while more than this is in the backlog.
BULK_BACKLOG_BYTES: Final = 512 * 1024

Spawn = Callable[[Callable[[], None]], Any]


@dataclass(slots=True)
class Traffic:
    """What went over links.

    Attributes:
        sent_bytes: Bytes sent, without TCP's own.
        sent_messages: Messages sent.
        heard_bytes: Bytes received.
        heard_messages: Messages received.
    """

    sent_bytes: int = 0
    sent_messages: int = 0
    heard_bytes: int = 0
    heard_messages: int = 0

    def add(self, other: "Traffic") -> None:
        """Add another's figures to these."""
        self.sent_bytes += other.sent_bytes
        self.sent_messages += other.sent_messages
        self.heard_bytes += other.heard_bytes
        self.heard_messages += other.heard_messages


class Link:
    """A connection to a peer; one task reads it, any task may send.

    Sending never blocks. What the socket does not take at once waits in a
    bounded backlog, which a task of its own empties: a task that blocked on a
    stuck peer would stall what it does for healthy ones, such as reading an
    upstream that also answers others, or hearing another peer's beats.

    Attributes:
        sock: The connected socket.
        peer: What the peer said of itself.
        busy: Answers outstanding over this link.
        busy_since: Monotonic time at which the first of them began.
        last_heard: Monotonic time of the last bytes received.
        last_sent: Monotonic time of the last frame sent.
        last_beat: Monotonic time of the last beat sent.
        traffic: Bytes and messages over this link.
        delay: How long the peer's frames take.
        backlog_bytes: Bytes that wait for the socket to take them.
        closed: Whether the link was given up.
        reason: Why it was given up.
        spawn: Starts the task that empties the backlog; None closes the link
            instead, for links that carry no answers.
    """

    __slots__ = (
        "_backlog",
        "_emptying",
        "_lapsed_at",
        "_lock",
        "_owes_since",
        "_room",
        "_spoke_at",
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
        """Take over a socket whose handshake is done."""
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
        self._spoke_at = self._owes_since = since_boot()
        self._lapsed_at = 0.0
        self.spawn: Spawn | None = None
        self._lock = threading.Lock()
        self._room = threading.Condition(self._lock)
        self._backlog: list[bytes] = []
        self.backlog_bytes = 0
        self._emptying = False
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_SNDTIMEO,
            struct.pack("ll", SEND_TIMEOUT_S, 0),
        )

    def begin(self) -> None:
        """Count an answer that is outstanding from now on."""
        if self.busy.add(1) == 1:
            self.busy_since = time.monotonic()
            self._owes_since = since_boot()

    def finish(self) -> None:
        """Count an answer that is no longer outstanding."""
        self.busy.add(-1)

    def silent_s(self, now: float) -> float:
        """Return how long the peer owes a sign of life, in seconds.

        An idle peer beats rarely. Counted from its last beat, the first
        request after a pause would find the link silent for seconds already
        and give a healthy one up; so the count starts with the work.
        """
        if self.busy.value > 0:
            return now - max(self.last_received, self.busy_since)
        return now - self.last_received

    def lapsed_since(self, since: float) -> bool:
        """Tell whether the peer may have given this end up as silent.

        While answers are outstanding this end owes the peer a sign of life
        all the while. One that was paused did not give it; what the peer
        asked for before that may have gone to another upstream since.

        Args:
            since: Seconds since boot.
        """
        if self._lapsed_at >= since:
            return True
        return not self.closed and self._is_lapsing(since_boot())

    def _is_lapsing(self, now: float) -> bool:
        if self.busy.value == 0:
            return False
        return now - max(self._spoke_at, self._owes_since) > LAPSE_S

    def _note_lapse(self) -> None:
        now = since_boot()
        if self._is_lapsing(now):
            self._lapsed_at = now

    def is_hung_up(self) -> bool:
        """Tell whether the peer closed, also while its last frames wait."""
        if self.closed:
            return True
        poll = select.poll()
        try:
            poll.register(self.sock, select.POLLRDHUP)
            return any(events & _HUNG_UP for _, events in poll.poll(0))
        except (OSError, ValueError):
            # Its reading task has just freed the socket.
            return True

    def send(self, message: Message) -> bool:
        """Send a message; return False when the link is or gets closed.

        True says that the message is on its way, not that it arrived.
        """
        frame = encode(message)
        with self._lock:
            if self.closed:
                return False
            if self._emptying:
                return self._keep_locked(frame)
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
            return self._keep_locked(frame[sent:])

    def _count_sent(self, size: int) -> None:
        self._note_lapse()
        self._spoke_at = since_boot()
        self.last_sent = time.monotonic()
        self.traffic.sent_bytes += size
        self.traffic.sent_messages += 1

    def _keep_locked(self, data: bytes) -> bool:
        """Keep what the socket does not take now."""
        waiting = self.backlog_bytes
        if waiting and waiting + len(data) > MAX_BACKLOG_BYTES:
            self._close_locked("backlog full")
            return False
        self._backlog.append(data)
        self.backlog_bytes += len(data)
        if not self._emptying:
            if self.spawn is None:
                self._close_locked("send buffer full")
                return False
            self._emptying = True
            self.spawn(self._empty)
        return True

    def _empty(self) -> None:
        """Send the backlog until it is empty or the peer takes nothing."""
        while True:
            with self._lock:
                if self.closed or not self._backlog:
                    self._emptying = False
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
                self._spoke_at = since_boot()
                self.last_sent = time.monotonic()
                self.backlog_bytes -= len(data)
                self._room.notify_all()

    def wait_for_room(self) -> bool:
        """Wait until bulk may be sent; return False when the link closed."""
        with self._room:
            while not self.closed and self.backlog_bytes > BULK_BACKLOG_BYTES:
                self._room.wait(SEND_TIMEOUT_S)
            return not self.closed

    def beat(self, frame: bytes) -> None:
        """Send an encoded frame unless the link is being sent on or is full.

        A link that is being sent on or is full needs no beat, and the pacer,
        which beats many links in turn, need not wait for it.
        """
        if not self._lock.acquire(blocking=False):
            return
        try:
            if self.closed or self._emptying:
                return
            sent = self.sock.send(frame, socket.MSG_DONTWAIT)
            self._count_sent(sent)
            self.last_beat = self.last_sent
            if sent < len(frame):
                self._keep_locked(frame[sent:])
        except BlockingIOError:
            pass
        except OSError as error:
            self._close_locked(f"beat: {error}")
        finally:
            self._lock.release()

    def receive(self) -> Iterator[Message]:
        """Yield messages until the link closes.

        Raises:
            LacewingdockError: BAD_LINK when the peer sends no valid frame.
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
            for message in _split(pending):
                self.traffic.heard_messages += 1
                if isinstance(message, Attempt | Beat):
                    self.delay.record_stamp(message.sent_ms)
                yield message
            if self.busy.value >= GATHER_ANSWERS:
                time.sleep(GATHER_S)

    def close(self, reason: str) -> None:
        """Give the link up; the reading task ends soon after."""
        # Not under the lock: a sender may hold it while blocked, and the
        # shutdown is what unblocks it.
        if self.closed:
            return
        self._close_locked(reason)

    def _close_locked(self, reason: str) -> None:
        self._note_lapse()
        self.closed = True
        self.reason = reason
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def end(self) -> None:
        """Say that nothing more is sent; the peer reads all and closes.

        A socket closed with unread beats in it resets the connection, and
        the reset can overtake the end of an answer on its way to the peer.
        """
        with self._room:
            self._room.wait_for(lambda: not self._emptying, SEND_TIMEOUT_S)
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def dispose(self) -> None:
        """Free the socket; only the reading task calls this, at its end."""
        self.close("disposed")
        self.sock.close()


def _split(pending: bytearray) -> Iterator[Message]:
    """Yield the whole frames in a buffer and remove them from it."""
    start = 0
    try:
        while len(pending) - start >= LENGTH_BYTES:
            length = int.from_bytes(
                pending[start : start + LENGTH_BYTES], "big"
            )
            if length > MAX_FRAME_BYTES:
                raise LacewingdockError(
                    ErrorKind.BAD_LINK, f"frame of {length} bytes"
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
    """Read exactly one frame, for handshakes.

    Args:
        sock: A socket with a timeout, which bounds the whole frame. Were it
            to begin anew with each byte, a peer that drips could hold the
            task for hours, and enough of them all tasks.
        limit: Largest frame accepted, in bytes.

    Raises:
        LacewingdockError: BAD_LINK for a frame too long or cut off.
        OSError: The connection failed or the time ran out.
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
            raise TimeoutError("the handshake takes too long")
        sock.settimeout(left)
        piece = sock.recv(count - len(data))
        if not piece:
            raise LacewingdockError(
                ErrorKind.BAD_LINK, "peer closed in the handshake"
            )
        data += piece
    return data
