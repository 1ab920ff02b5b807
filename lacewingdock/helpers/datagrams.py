"""Support for a port that takes and sends datagrams."""

import contextlib
import socket
import threading
from collections.abc import Callable
from typing import Final, TypeVar

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.sockets import listen_error

# What a task waits after a failed receive, so that it does not spin.
RECEIVE_RETRY_S: Final = 0.1

M = TypeVar("M")

log = get_logger("datagrams")


def decode_message(
    decoder: "msgspec.msgpack.Decoder[M]", name: str, data: bytes
) -> M:
    """Decode a datagram.

    Args:
        decoder: Decodes what comes on a port.
        name: What the port is for.
        data: The datagram.

    Raises:
        LacewingdockError: BAD_REQUEST.
    """
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise bad_message(name, str(error)) from error


def bad_message(name: str, detail: str) -> LacewingdockError:
    """Return the coded error of a message that is not taken."""
    return LacewingdockError(ErrorKind.BAD_REQUEST, f"{name}: {detail}")


def sender_mismatch(name: str, sender: str) -> LacewingdockError:
    """Return the coded error of a message that its sender did not send."""
    return bad_message(name, f"not from the address of {sender!r}")


class DatagramPort:
    """A UDP port.

    Attributes:
        name: What it is for, in the log.
        sock: The socket.
        most_bytes: Longest datagram that is read.
        sent: Datagrams sent.
        refused: Datagrams that were not taken.
    """

    __slots__ = ("max_bytes", "name", "refused", "sent", "sock")

    def __init__(
        self, name: str, address: tuple[str, int], max_bytes: int
    ) -> None:
        """Bind the port; 0 takes any that is free.

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
        """Hand datagrams on until the daemon stops.

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
                log.error("not received", port=self.name, error=repr(error))
                stopping.wait(RECEIVE_RETRY_S)
                continue
            try:
                handle(data, sender)
            except LacewingdockError as error:
                self._refuse(sender[0], str(error))
            except Exception:
                # A task that died unseen would leave this daemon deaf to all
                # others for good.
                log.exception("not taken", port=self.name, sender=sender[0])

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; one that does not go out is as good as lost."""
        with contextlib.suppress(OSError):
            self.sock.sendto(data, socket.MSG_DONTWAIT, address)
            self.sent += 1

    def close(self) -> None:
        """Close the port."""
        self.sock.close()

    def _refuse(self, sender: str, error: str) -> None:
        self.refused += 1
        # Whoever sends these may send many: told at 1, 2, 4, 8 ...
        if self.refused & (self.refused - 1) == 0:
            log.error(
                "datagram refused",
                port=self.name,
                sender=sender,
                refused=self.refused,
                error=error,
            )
