"""Support for tickets: keys that name the one process that may run them."""

import re
import threading
import time
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.claims.record import body_digest
from lacewingdock.const import RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.world.run import Run

# How long a ticket is good for. Its record is kept that long by the same
# clock, so a ticket is either remembered or refused.
TICKET_S: Final = 900.0
# At about 4 KB a run with its answer this is 16 MB, for 4.5 calls/s.
MAX_TICKETS: Final = 4096

_PATTERN: Final = re.compile(
    r"tk1~([a-z0-9.-]{1,63})~([0-9a-zA-Z_-]+)~([0-9]{1,15})~[0-9a-zA-Z_-]+"
)


@dataclass(slots=True, frozen=True)
class Ticket:
    """An idempotency key that names its home.

    Attributes:
        key: The whole key.
        instance: Instance of the sidecar that may run it.
        incarnation: Which start of that instance.
        minted: Wall-clock seconds of the entry that made it.
    """

    key: str
    instance: str
    incarnation: str
    minted: float


def mint_ticket(instance: str, incarnation: str) -> str:
    """Make a key that only one process will ever run."""
    minted_ms = int(time.time() * 1000)
    return f"tk1~{instance}~{incarnation}~{minted_ms}~{new_id()}"


def parse_ticket(key: str) -> Ticket | None:
    """Read a ticket; None when the key is the caller's own."""
    match = _PATTERN.fullmatch(key)
    if match is None:
        return None
    instance, incarnation, minted_ms = match.groups()
    return Ticket(key, instance, incarnation, int(minted_ms) / 1000)


class Tickets:
    """The runs of tickets that name this process.

    Nothing is written: a ticket names one incarnation, no other process may
    run it, and this one remembers it until it refuses it as too old. If the
    process dies, whatever it ran is unknown for good.

    Attributes:
        instance: This instance.
        incarnation: This start of it.
        runs: Run by workspace and key, with the ticket.
        base: Wall-clock seconds at which the monotonic clock was 0.
    """

    __slots__ = ("_lock", "base", "incarnation", "instance", "runs")

    def __init__(self, instance: str, incarnation: str) -> None:
        """Start without runs."""
        self.instance = instance
        self.incarnation = incarnation
        self.runs: dict[tuple[str, str], tuple[Ticket, Run]] = {}
        self._lock = threading.Lock()
        # Wall-clock time that never goes back: a clock set back would let a
        # ticket in whose record is already forgotten.
        self.base = time.time() - time.monotonic()

    def now(self) -> float:
        """Return wall-clock seconds that only grow."""
        return self.base + time.monotonic()

    def claim(self, ticket: Ticket, run: Run) -> Run:
        """Reserve a ticket.

        Returns:
            The run itself when it may run; else the run it repeats.

        Raises:
            LacewingdockError: KEY_REUSED; OVERLOADED; OUTCOME_UNKNOWN when
                the ticket is another process's or too old.
        """
        if not self._is_mine(ticket):
            raise LacewingdockError(
                ErrorKind.OUTCOME_UNKNOWN, "the ticket's home is gone"
            )
        name = (run.attempt.workspace, ticket.key)
        with self._lock:
            known = self.runs.get(name)
            if known is not None:
                return _checked(known[1], run)
            self._check_age(ticket)
            if len(self.runs) >= MAX_TICKETS:
                raise LacewingdockError(
                    ErrorKind.OVERLOADED, "too many tickets are remembered"
                )
            self.runs[name] = ticket, run
            return run

    def _is_mine(self, ticket: Ticket) -> bool:
        return (ticket.instance, ticket.incarnation) == (
            self.instance,
            self.incarnation,
        )

    def _check_age(self, ticket: Ticket) -> None:
        age = self.now() - ticket.minted
        if age > TICKET_S:
            raise LacewingdockError(
                ErrorKind.OUTCOME_UNKNOWN, "the ticket is too old", RAN_UNKNOWN
            )
        if age < -TICKET_S:
            raise LacewingdockError(
                ErrorKind.BAD_REQUEST, "the ticket is from the future"
            )

    def is_new(self, ticket: Ticket, run: Run) -> bool:
        """Tell whether a ticket has not run, for certain."""
        if not self._is_mine(ticket):
            return False
        with self._lock:
            known = self.runs.get((run.attempt.workspace, ticket.key))
        if known is not None:
            return known[1] is run and not run.executed
        return self.now() - ticket.minted <= TICKET_S

    def finish(self, run: Run) -> None:
        """Free a ticket whose run did not happen."""
        if run.executed:
            return
        name = (run.attempt.workspace, run.attempt.key)
        with self._lock:
            known = self.runs.get(name)
            if known is not None and known[1] is run:
                del self.runs[name]

    def sweep(self) -> None:
        """Forget the tickets that are refused as too old from now on."""
        now = self.now()
        with self._lock:
            self.runs = {
                name: (ticket, run)
                for name, (ticket, run) in self.runs.items()
                if run.outcome is None or now - ticket.minted <= TICKET_S
            }


def _checked(first: Run, repeat: Run) -> Run:
    if body_digest(first.attempt) != body_digest(repeat.attempt):
        raise LacewingdockError(
            ErrorKind.KEY_REUSED, "the ticket belongs to another request"
        )
    return first
