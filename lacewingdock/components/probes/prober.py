"""Support for a router that asks instances for their load."""

import random
import threading
from collections.abc import Collection
from dataclasses import dataclass, field

from lacewingdock.components.probes import (
    Load,
    Promise,
    Question,
    decode,
    encode,
)
from lacewingdock.components.probes.const import (
    MAX_BYTES,
    NAME,
    SILENT_MOST_S,
    SILENT_S,
    WAIT_S,
)
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.datagrams import DatagramPort, bad_message


@dataclass(slots=True)
class _Asked:
    """A question that waits for its answers.

    Attributes:
        hosts: Who was asked.
        loads: What they answered.
        whole: Set once all did.
    """

    hosts: Collection[str]
    loads: dict[str, Load] = field(default_factory=dict)
    whole: threading.Event = field(default_factory=threading.Event)


@dataclass(slots=True)
class _Silent:
    """A host that did not answer.

    Attributes:
        until: Until when it is not asked.
        rest_s: For how long it was left alone last.
    """

    until: float
    rest_s: float


class Prober:
    """Asks sidecars for their instances' load; safe to use from any task.

    Attributes:
        datagrams: A port of its own.
        port: Where sidecars take questions, the same on all instances.
        clock: The time it goes by.
        asked: Questions sent.
        answered: Answers that came in time.
    """

    __slots__ = (
        "_lock",
        "_numbers",
        "_silent",
        "_waiting",
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
        """Bind a port of its own.

        Args:
            address: This router's IP number.
            port: Where sidecars take questions.
            source: Source of draws.
            clock: The time it goes by.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.datagrams = DatagramPort(NAME, (address, 0), MAX_BYTES)
        self.port = port
        self.clock = clock
        self.asked = 0
        self.answered = 0
        self._numbers = source.randrange(2**31)
        self._waiting: dict[int, _Asked] = {}
        self._silent: dict[str, _Silent] = {}
        self._lock = threading.Lock()

    def ask(self, hosts: Collection[str]) -> dict[str, Load]:
        """Return the loads of those that answer in time, by host."""
        now = self.clock.now()
        with self._lock:
            asked = _Asked([one for one in hosts if self._is_due(one, now)])
            if not asked.hosts:
                return {}
            self._numbers += 1
            number = self._numbers
            self._waiting[number] = asked
            self.asked += len(asked.hosts)
        data = encode(Question(number))
        for host in asked.hosts:
            self.datagrams.send(data, (host, self.port))
        asked.whole.wait(WAIT_S)
        with self._lock:
            del self._waiting[number]
            self._count(asked, now)
            return dict(asked.loads)

    def promise(self, host: str, request: str, unread: float) -> None:
        """Tell a host's sidecar that a request is about to come."""
        data = encode(Promise(request, unread))
        self.datagrams.send(data, (host, self.port))

    def listen(self, stopping: threading.Event) -> None:
        """Take answers until the daemon stops."""
        self.datagrams.listen(self._take, stopping)

    def close(self) -> None:
        """Close the port."""
        self.datagrams.close()

    def _take(self, data: bytes, sender: tuple[str, int]) -> None:
        """Take an answer, from whom a question went to only.

        Raises:
            LacewingdockError: BAD_REQUEST, if it is none.
        """
        found = decode(data)
        if not isinstance(found, Load):
            raise bad_message(NAME, "no answer")
        host = sender[0]
        with self._lock:
            asked = self._waiting.get(found.number)
            if asked is None or host not in asked.hosts:
                # It came late, which is no fault.
                return
            asked.loads[host] = found
            if len(asked.loads) == len(asked.hosts):
                asked.whole.set()

    def _is_due(self, host: str, now: float) -> bool:
        silent = self._silent.get(host)
        return silent is None or silent.until <= now

    def _count(self, asked: _Asked, now: float) -> None:
        """Note who answered and who did not."""
        self.answered += len(asked.loads)
        for host in asked.hosts:
            if host in asked.loads:
                self._silent.pop(host, None)
                continue
            before = self._silent.get(host)
            rest_s = SILENT_S if before is None else 2 * before.rest_s
            rest_s = min(rest_s, SILENT_MOST_S)
            self._silent[host] = _Silent(now + rest_s, rest_s)
