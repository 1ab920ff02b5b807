"""Support for a router that probes instances for their load."""

import random
import threading
from collections.abc import Collection
from dataclasses import dataclass, field

from lacewingdock.components.probes import (
    Load,
    LoadQuery,
    RequestNotice,
    decode,
    encode,
)
from lacewingdock.components.probes.const import (
    ANSWER_TIMEOUT_S,
    MAX_BYTES,
    MAX_SILENT_BACKOFF_S,
    NAME,
    SILENT_BACKOFF_S,
)
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.datagrams import DatagramPort, bad_message


@dataclass(slots=True)
class _PendingQuery:
    """A query that waits for its answers.

    Attributes:
        hosts: The hosts that were queried.
        loads: The loads received so far, by host.
        complete: Set once all hosts answered.
    """

    hosts: Collection[str]
    loads: dict[str, Load] = field(default_factory=dict)
    complete: threading.Event = field(default_factory=threading.Event)


@dataclass(slots=True)
class _SilentHost:
    """A host that did not answer.

    Attributes:
        until: Moment until which it is not queried.
        backoff_s: Length of that pause, in seconds.
    """

    until: float
    backoff_s: float


class Prober:
    """Queries sidecars for their instances' load; safe to use from any task.

    Attributes:
        datagrams: The UDP port of the prober.
        port: Port of the sidecars, the same on all instances.
        clock: Source of the current time.
        asked: Queries sent.
        answered: Answers received in time.
    """

    __slots__ = (
        "_last_number",
        "_lock",
        "_pending",
        "_silent",
        "answered",
        "asked",
        "clock",
        "datagrams",
        "port",
    )

    def __init__(
        self,
        address: str,
        port: int,
        source: random.Random,
        clock: Clock = STEADY,
    ) -> None:
        """Bind a free port.

        Args:
            address: This router's IP address.
            port: Port of the sidecars.
            source: Source of randomness.
            clock: Source of the current time.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.datagrams = DatagramPort(NAME, (address, 0), MAX_BYTES)
        self.port = port
        self.clock = clock
        self.asked = 0
        self.answered = 0
        self._last_number = source.randrange(2**31)
        self._pending: dict[int, _PendingQuery] = {}
        self._silent: dict[str, _SilentHost] = {}
        self._lock = threading.Lock()

    def ask(self, hosts: Collection[str]) -> dict[str, Load]:
        """Query hosts, except those in backoff.

        Returns:
            The loads of the hosts that answer in time, by host.
        """
        now = self.clock.now()
        with self._lock:
            asked = _PendingQuery(
                [one for one in hosts if self._is_due(one, now)]
            )
            if not asked.hosts:
                return {}
            self._last_number += 1
            number = self._last_number
            self._pending[number] = asked
            self.asked += len(asked.hosts)
        data = encode(LoadQuery(number))
        for host in asked.hosts:
            self.datagrams.send(data, (host, self.port))
        asked.complete.wait(ANSWER_TIMEOUT_S)
        with self._lock:
            del self._pending[number]
            self._record_answers(asked, now)
            return dict(asked.loads)

    def announce(self, host: str, request: str, unread: float) -> None:
        """Announce a request to a host's sidecar before it is sent."""
        data = encode(RequestNotice(request, unread))
        self.datagrams.send(data, (host, self.port))

    def listen(self, stopping: threading.Event) -> None:
        """Receive answers until the daemon stops."""
        self.datagrams.listen(self._receive, stopping)

    def close(self) -> None:
        """Close the port."""
        self.datagrams.close()

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Store an answer, if its sender was queried.

        Raises:
            LacewingdockError: BAD_REQUEST, if the message is no answer.
        """
        found = decode(data)
        if not isinstance(found, Load):
            raise bad_message(NAME, "a message other than an answer")
        host = sender[0]
        with self._lock:
            asked = self._pending.get(found.number)
            if asked is None or host not in asked.hosts:
                # A late answer is no error.
                return
            asked.loads[host] = found
            if len(asked.loads) == len(asked.hosts):
                asked.complete.set()

    def _is_due(self, host: str, now: float) -> bool:
        silent = self._silent.get(host)
        return silent is None or silent.until <= now

    def _record_answers(self, asked: _PendingQuery, now: float) -> None:
        """Count the answers, and back off from the hosts that sent none."""
        self.answered += len(asked.loads)
        for host in asked.hosts:
            if host in asked.loads:
                self._silent.pop(host, None)
                continue
            before = self._silent.get(host)
            backoff_s = (
                SILENT_BACKOFF_S if before is None else 2 * before.backoff_s
            )
            backoff_s = min(backoff_s, MAX_SILENT_BACKOFF_S)
            self._silent[host] = _SilentHost(now + backoff_s, backoff_s)
