"""UDP ports that receive and send MessagePack datagrams."""

import contextlib
import socket
import threading
from collections.abc import Callable
from typing import Final, TypeVar

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.sockets import listen_error

# Pause in seconds after a failed receive, which prevents a busy loop.
RECEIVE_RETRY_S: Final = 0.1

M = TypeVar("M")

log = get_logger("datagrams")


def decode_message(
    decoder: "msgspec.msgpack.Decoder[M]", name: str, data: bytes
) -> M:
    """Decode a datagram.

    Args:
        decoder: Decoder for the port's message type.
        name: Name of the port, for the error.
        data: The datagram.

    Raises:
        LacewingdockError: BAD_REQUEST, if the datagram is invalid.
    """
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise bad_message(name, str(error)) from error


def bad_message(name: str, detail: str) -> LacewingdockError:
    """Return a BAD_REQUEST error for an invalid message."""
    return LacewingdockError(ErrorKind.BAD_REQUEST, f"{name}: {detail}")


def sender_mismatch(name: str, sender: str) -> LacewingdockError:
    """Return the error for a message from another address than its sender's."""
    return bad_message(name, f"not from the address of {sender!r}")


class DatagramPort:
    """A UDP socket that passes received datagrams to a handler.

    Attributes:
        name: Name of the port in the log.
        sock: The socket.
        max_bytes: Longest datagram that is read, in bytes.
        sent: Number of datagrams sent.
        refused: Number of datagrams that the handler rejected.
    """

    __slots__ = ("max_bytes", "name", "refused", "sent", "sock")

    def __init__(
        self, name: str, address: tuple[str, int], max_bytes: int
    ) -> None:
        """Bind the port; port 0 binds any free port.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.name = name
        self.max_bytes = max_bytes
        self.sent = 0
        self.refused = 0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.bind(address)
        except OSError as error:
            self.sock.close()
            raise listen_error(f"{address[0]}:{address[1]}", error) from error

    def listen(
        self,
        handle: Callable[[bytes, tuple[str, int]], None],
        stopping: threading.Event,
    ) -> None:
        """Pass datagrams to a handler until the daemon stops.

        Args:
            handle: Called with each datagram and the address of its sender;
                a LacewingdockError rejects the datagram.
            stopping: Set when the daemon stops.
        """
        while not stopping.is_set():
            try:
                data, sender = self.sock.recvfrom(self.max_bytes)
            except OSError as error:
                if stopping.is_set() or self.sock.fileno() < 0:
                    return
                log.error("receive failed", port=self.name, error=repr(error))
                stopping.wait(RECEIVE_RETRY_S)
                continue
            try:
                handle(data, sender)
            except LacewingdockError as error:
                self._refuse(sender[0], str(error))
            except Exception:
                # An unhandled error would end this thread, and the daemon
                # would never receive another message from its peers.
                log.exception(
                    "datagram handler failed", port=self.name, sender=sender[0]
                )

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; a failed send counts as a lost datagram."""
        with contextlib.suppress(OSError):
            self.sock.sendto(data, socket.MSG_DONTWAIT, address)
            self.sent += 1

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()

    def _refuse(self, sender: str, error: str) -> None:
        self.refused += 1
        # Logs only the 1st, 2nd, 4th, 8th ... rejection: a faulty sender may
        # send many datagrams.
        if self.refused & (self.refused - 1) == 0:
            log.error(
                "datagram refused",
                port=self.name,
                sender=sender,
                refused=self.refused,
                error=error,
            )
