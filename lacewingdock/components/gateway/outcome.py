"""Support for how a request ended."""

from dataclasses import dataclass
from enum import StrEnum

from lacewingdock.exceptions import ErrorKind, LacewingdockError


class End(StrEnum):
    """How a request ended, as its caller saw it.

    Attributes:
        ANSWERED: With an upstream's whole answer, its failure included.
        STREAMED: With a whole stream.
        BROKEN_OFF: With a part of a stream.
        REFUSED: With the router's own answer.
        LEFT: The caller left first.
    """

    ANSWERED = "answered"
    STREAMED = "streamed"
    BROKEN_OFF = "broken_off"
    REFUSED = "refused"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class Outcome:
    """How a request ended.

    Attributes:
        end: What its caller saw.
        code: Status of the answer, or the error's code.
        detail: Why, for people.
    """

    end: End
    code: str = ""
    detail: str = ""

    def __str__(self) -> str:
        """Return it as a log line says it."""
        match self.end:
            case End.ANSWERED:
                return f"status {self.code}"
            case End.STREAMED:
                return "streamed"
            case End.BROKEN_OFF:
                return f"broken off: {self.detail}"
            case End.REFUSED:
                return f"{self.code}: {self.detail}"
            case End.LEFT:
                return self.code


def answered(status: int) -> Outcome:
    """Return the outcome of an upstream's whole answer."""
    return Outcome(End.ANSWERED, str(status))


def broken_off(detail: str) -> Outcome:
    """Return the outcome of a stream that ended before its last event."""
    return Outcome(End.BROKEN_OFF, "", detail)


def refused(error: LacewingdockError) -> Outcome:
    """Return the outcome of an error that the caller was told."""
    return Outcome(End.REFUSED, str(error.kind), error.detail)


def left() -> Outcome:
    """Return the outcome of a caller that did not wait."""
    return Outcome(End.LEFT, str(ErrorKind.CALLER_LEFT))
