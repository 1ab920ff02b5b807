"""Support for one link between two daemons."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lacewingdock.const import MAX_FRAME_BYTES
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.tally import Tally
from lacewingdock.links.messages import Hello, Message
from lacewingdock.links.wire import LENGTH_BYTES, decode, encode

RECEIVE_BYTES: Final = 65536
# A peer that takes nothing for this long is frozen or cut off. Blocking on it
# longer would stall the other answers of the sending task.
SEND_TIMEOUT_S: Final = 1


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

    Attributes:
        sock: The connected socket.
        peer: What the peer said of itself.
        busy: Answers outstanding over this link.
        last_heard: Monotonic time of the last bytes received.
        last_sent: Monotonic time of the last frame sent.
        traffic: Bytes and messages over this link.
        closed: Whether the link was given up.
        reason: Why it was given up.
    """

    __slots__ = (
        "_lock",
        "busy",
        "closed",
        "last_heard",
        "last_sent",
        "peer",
        "reason",
        "sock",
        "traffic",
    )

    def __init__(self, sock: socket.socket, peer: Hello) -> None:
        """Take over a socket whose handshake is done."""
        self.sock = sock
        self.peer = peer
        self.busy = Tally()
        self.last_heard = self.last_sent = time.monotonic()
        self.closed = False
        self.reason = ""
        self.traffic = Traffic()
        self._lock = threading.Lock()
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_SNDTIMEO,
            struct.pack("ll", SEND_TIMEOUT_S, 0),
        )

    def send(self, message: Message) -> bool:
        """Send a message; return False when the link is or gets closed."""
        frame = encode(message)
        with self._lock:
            if self.closed:
                return False
            try:
                self.sock.sendall(frame)
            except OSError as error:
                self._close_locked(f"send: {error}")
                return False
            self._count_sent(len(frame))
        return True

    def _count_sent(self, size: int) -> None:
        self.last_sent = time.monotonic()
        self.traffic.sent_bytes += size
        self.traffic.sent_messages += 1

    def beat(self, frame: bytes) -> None:
        """Send an encoded frame unless the link is being sent on or is full.

        The pacer beats many links in turn. If it waited for a stuck one, the
        healthy ones would fall silent and be given up by their peers.
        """
        if not self._lock.acquire(blocking=False):
            return
        try:
            if self.closed:
                return
            sent = self.sock.send(frame, socket.MSG_DONTWAIT)
            if sent < len(frame):
                self._close_locked("send buffer full")
            self._count_sent(sent)
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
            self.last_heard = time.monotonic()
            pending += data
            self.traffic.heard_bytes += len(data)
            for message in _split(pending):
                self.traffic.heard_messages += 1
                yield message

    def close(self, reason: str) -> None:
        """Give the link up; the reading task ends soon after."""
        # Not under the lock: a sender may hold it while blocked, and the
        # shutdown is what unblocks it.
        if self.closed:
            return
        self._close_locked(reason)

    def _close_locked(self, reason: str) -> None:
        self.closed = True
        self.reason = reason
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

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
        sock: A socket with a timeout.
        limit: Largest frame accepted, in bytes.

    Raises:
        LacewingdockError: BAD_LINK for a frame too long or cut off.
        OSError: The connection failed or the time ran out.
    """
    length = int.from_bytes(_read_exactly(sock, LENGTH_BYTES), "big")
    if length > limit:
        raise LacewingdockError(
            ErrorKind.BAD_LINK, f"handshake frame of {length} bytes"
        )
    return decode(_read_exactly(sock, length))


def _read_exactly(sock: socket.socket, count: int) -> bytes:
    data = b""
    while len(data) < count:
        piece = sock.recv(count - len(data))
        if not piece:
            raise LacewingdockError(
                ErrorKind.BAD_LINK, "peer closed in the handshake"
            )
        data += piece
    return data
