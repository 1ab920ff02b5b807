"""Support for noticing callers that leave before their answer comes."""

import select
import socket
import threading
from typing import Final

from lacewingdock.components.answers import Answers
from lacewingdock.core import Daemon

NAME: Final = "departures"
POLL_S: Final = 0.2
_EVENTS: Final = (
    select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR | select.EPOLLONESHOT
)


class Departures:
    """Watches the sockets of the callers that are being answered.

    A caller's leave shows by itself only when something is written to it. One
    that leaves while the upstream is silent would go unnoticed: its request
    waits, queues and runs for nobody, in a slot that others need. A closed
    connection shows on its socket at once; one task watches them all.

    Attributes:
        daemon: The daemon.
        answers: Where the answers of a caller that left are ended.
        callers: Request ids by file descriptor.
        poll: Tells of descriptors whose other end was closed.
        gone: Request ids whose caller left and that have not ended.
    """

    __slots__ = ("_lock", "answers", "callers", "daemon", "gone", "poll")

    def __init__(self, daemon: Daemon, answers: Answers) -> None:
        """Start watching nobody."""
        self.daemon = daemon
        self.answers = answers
        self.callers: dict[int, str] = {}
        self.gone: set[str] = set()
        self.poll = select.epoll()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the watching task."""
        self.daemon.spawn(self._watch_all)

    def watch(self, request_id: str, sock: socket.socket) -> None:
        """Watch a caller until `forget`."""
        number = sock.fileno()
        if number < 0:
            return
        with self._lock:
            self.callers[number] = request_id
            self.poll.register(number, _EVENTS)

    def forget(self, request_id: str, sock: socket.socket) -> None:
        """Stop watching a caller, which has its answer or is gone."""
        with self._lock:
            self.gone.discard(request_id)
            number = sock.fileno()
            # A number that was closed may be another caller's by now.
            if self.callers.get(number) == request_id:
                del self.callers[number]
                self.poll.unregister(number)

    def _watch_all(self) -> None:
        while not self.daemon.stopping.is_set():
            self.look()

    def look(self) -> None:
        """Wait for callers to leave, at most POLL_S, and end what is theirs."""
        found = self.poll.poll(POLL_S)
        with self._lock:
            self.gone.update(
                self.callers[number]
                for number, _ in found
                if number in self.callers and _is_closed(number)
            )
            gone = tuple(self.gone)
        # Again each round: between two tries, or two steps of a cascade,
        # a request has no answer that could be ended.
        for request_id in gone:
            self.answers.abandon(request_id)

    def unload(self) -> None:
        """Nothing to undo: the task ends with the daemon."""


def _is_closed(number: int) -> bool:
    """Look again at a descriptor that is known to be open.

    Since it was found its connection may have ended, and the number be
    another caller's, who must not be taken for gone.
    """
    poll = select.poll()
    poll.register(number, select.POLLRDHUP)
    return bool(poll.poll(0))


def setup(daemon: Daemon, answers: Answers) -> Departures:
    """Set the watching up."""
    departures = Departures(daemon, answers)
    daemon.add(NAME, departures)
    return departures
