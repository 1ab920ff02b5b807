"""Support for ports that no other launcher on the machine gives out."""

import contextlib
import fcntl
import itertools
import socket
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import IO, Final

HOST: Final = "127.0.0.1"
# Below the range that the system draws a connection's own port from. From
# within that range a connection could take a port before its process listens.
FIRST: Final = 15_000
LAST: Final = 32_000
RANGES: Final = 32
SIZE: Final = (LAST - FIRST) // RANGES


class PortRange:
    """A part of the ports, held by a lock until the process ends.

    A port that is free when it is looked up can be taken by another
    launcher's process before its own one listens; the two deployments would
    then talk to each other's processes.

    Attributes:
        first: The first port.
    """

    __slots__ = ("_lock", "_ports", "first")

    def __init__(self, folder: Path) -> None:
        """Take the first range that no process holds.

        Args:
            folder: Where the locks are, the same for all launchers.

        Raises:
            RuntimeError: All ranges are taken.
        """
        number, self._lock = _lock_one(folder)
        self.first = FIRST + number * SIZE
        self._ports: Iterator[int] = itertools.cycle(
            range(self.first, self.first + SIZE)
        )

    def take(self, count: int) -> list[int]:
        """Return ports that nobody listens on, others at each call."""
        ports: list[int] = []
        while len(ports) < count:
            port = next(self._ports)
            with contextlib.suppress(OSError), socket.socket() as sock:
                sock.bind((HOST, port))
                ports.append(port)
        return ports

    def close(self) -> None:
        """Let another process have the range."""
        self._lock.close()


def _lock_one(folder: Path) -> tuple[int, IO[bytes]]:
    for number in range(RANGES):
        lock = (folder / f"lacewingdock-ports-{number}.lock").open("ab")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        return number, lock
    raise RuntimeError(f"{RANGES} processes use all ports for deployments")


_own: PortRange | None = None


def free_ports(count: int) -> list[int]:
    """Return ports from this process's own range."""
    global _own
    if _own is None:
        _own = PortRange(Path(tempfile.gettempdir()))
    return _own.take(count)
