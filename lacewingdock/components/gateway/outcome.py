"""Support for the outcomes of requests."""

from dataclasses import dataclass
from enum import StrEnum

from lacewingdock.exceptions import ErrorKind, LacewingdockError


class End(StrEnum):
    """How a request ended, as its caller saw it.

    Attributes:
        ANSWERED: The caller got an upstream's complete answer, which may be
            the upstream's own error.
        STREAMED: The caller got a complete stream.
        BROKEN_OFF: The caller got only a part of a stream.
        REFUSED: The caller got an error of the router.
        LEFT: The caller closed the connection before the answer.
    """

    ANSWERED = "answered"
    STREAMED = "streamed"
    BROKEN_OFF = "broken_off"
    REFUSED = "refused"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class Outcome:
    """How a request ended, with its status or error.

    Attributes:
        end: How the request ended for its caller.
        code: Status of the answer, or the error's code.
        detail: The reason, as text for operators.
    """

    end: End
    code: str = ""
    detail: str = ""

    def __str__(self) -> str:
        """Return the outcome as the text of the log field."""
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
    """Return the outcome of a request with an upstream's complete answer."""
    return Outcome(End.ANSWERED, str(status))


def broken_off(detail: str) -> Outcome:
    """Return the outcome of a request whose stream is incomplete."""
    return Outcome(End.BROKEN_OFF, "", detail)


def refused(error: LacewingdockError) -> Outcome:
    """Return the outcome of a request that was answered with an error."""
    return Outcome(End.REFUSED, str(error.kind), error.detail)


def left() -> Outcome:
    """Return the outcome of a request whose caller disconnected."""
    return Outcome(End.LEFT, str(ErrorKind.CALLER_LEFT))
