"""Support for what the operators' language says, once it is parsed."""

from dataclasses import dataclass, field

from lacewingdock.exceptions import ErrorKind, LacewingdockError


class CommandError(LacewingdockError):
    """A fault in a command, with its place in the line.

    Attributes:
        column: Index of the faulty character, from 0.
    """

    def __init__(
        self,
        detail: str,
        column: int,
        kind: ErrorKind = ErrorKind.BAD_COMMAND,
    ) -> None:
        """Take what is wrong and where."""
        super().__init__(kind, f"column {column + 1}: {detail}")
        self.column = column


@dataclass(slots=True, frozen=True)
class Word:
    """A name or number in a command.

    Attributes:
        text: What it says, without quotes.
        column: Index of its first character in the line, from 0.
    """

    text: str
    column: int


@dataclass(slots=True, frozen=True)
class Comparison:
    """One condition on a column."""

    column: Word
    operator: str
    value: Word


@dataclass(slots=True, frozen=True)
class Show:
    """Ask for rows.

    Attributes:
        kind: What of.
        where: Conjunctions, any of which must hold; empty for all rows.
        order: Column to order by, if any.
        descending: Whether the highest comes first.
        limit: Most rows; None for all.
    """

    kind: Word
    where: list[list[Comparison]] = field(default_factory=list)
    order: Word | None = None
    descending: bool = False
    limit: int | None = None


@dataclass(slots=True, frozen=True)
class Explain:
    """Ask where a request would go and why."""

    workspace: Word
    model: Word


@dataclass(slots=True, frozen=True)
class Tail:
    """How an order is to be carried out.

    Attributes:
        if_revision: Revision that its object must have, if any.
        dry_run: Whether nothing is to happen.
        command_id: Id under which it takes effect once; empty for a new one.
    """

    if_revision: int | None = None
    dry_run: bool = False
    command_id: str = ""


@dataclass(slots=True, frozen=True)
class RollOut:
    """Order that a version be brought in; None leaves the default."""

    version: Word
    tail: Tail
    steps: list[float] | None = None
    dwell_s: float | None = None
    parallel: int | None = None
    pool: str | None = None
    evidence: int | None = None


@dataclass(slots=True, frozen=True)
class Unload:
    """Order that a version leave the engines' memory."""

    version: Word
    tail: Tail
    parallel: int | None = None
    pool: str | None = None


@dataclass(slots=True, frozen=True)
class Change:
    """Order a roll-out to pause, resume or abort."""

    verb: str
    model: Word
    tail: Tail


@dataclass(slots=True, frozen=True)
class SetState:
    """Order that a version be "offered" or "withdrawn"."""

    version: Word
    state: str
    tail: Tail


@dataclass(slots=True, frozen=True)
class Release:
    """Order that a quarantined request may run again."""

    fingerprint: Word
    tail: Tail


@dataclass(slots=True, frozen=True)
class Stop:
    """Order an instance to stop gracefully."""

    instance: Word
    tail: Tail


Order = RollOut | Unload | Change | SetState | Release | Stop
Statement = Show | Explain | Order
