"""Support for getting one request answered, over links and retries."""

import random
from collections.abc import Iterator
from typing import Final

from lacewingdock.components.answers import Answers, retry_of
from lacewingdock.components.answers.answer import Answer, LinkLost
from lacewingdock.components.membership import Membership
from lacewingdock.components.routing import choose_upstream
from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.messages import Attempt
from lacewingdock.world.upstream import Upstream

MAX_TRIES: Final = 3
# Refusals that another upstream may not share.
_ELSEWHERE: Final = frozenset(
    {
        ErrorKind.ANSWER_GONE,
        ErrorKind.LEAVING,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.NOT_READY,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.OVERLOADED,
        ErrorKind.UPSTREAM_FAILED,
    }
)

log = get_logger("relay")


class Relay:
    """Gets attempts answered, whichever upstream and link it takes.

    Attributes:
        answers: The open answers.
        membership: The upstreams.
        source: Source of draws.
    """

    __slots__ = ("answers", "membership", "source")

    def __init__(
        self, answers: Answers, membership: Membership, source: random.Random
    ) -> None:
        """Take what it works with."""
        self.answers = answers
        self.membership = membership
        self.source = source

    def start(self, attempt: Attempt) -> tuple[Answer, list[bytes]]:
        """Ask until an upstream begins to answer.

        Until its first piece nothing was shown to the caller, so a request
        that did not run, or may be repeated, can go to another upstream.

        Returns:
            The answer and its first pieces, none if it is empty.

        Raises:
            LacewingdockError: No upstream answers; `ran` says what is known.
        """
        tried: set[str] = set()
        worst_ran = RAN_NO
        last: LacewingdockError | None = None
        for _ in range(MAX_TRIES):
            try:
                upstream = self._choose(attempt, tried)
            except LacewingdockError as error:
                raise _final(last or error, worst_ran) from error
            tried.add(upstream.name)
            answer = None
            try:
                answer = self.answers.ask(upstream, attempt)
                return answer, self._first(answer)
            except LacewingdockError as error:
                if error.ran != RAN_NO:
                    worst_ran = RAN_UNKNOWN
                last = error
                if not _may_retry(error, attempt):
                    break
                if _never_came(error, answer):
                    # Its link was at fault, and there is a new one.
                    tried.discard(upstream.name)
                log.info(
                    "trying elsewhere",
                    request_id=attempt.request,
                    upstream=upstream.name,
                    error=error.kind,
                )
                attempt = retry_of(attempt)
        assert last is not None
        raise _final(last, worst_ran)

    def _choose(self, attempt: Attempt, tried: set[str]) -> Upstream:
        candidates = self.membership.serving(attempt.target)
        return choose_upstream(candidates, tried, self.source)

    def _first(self, answer: Answer) -> list[bytes]:
        try:
            return self.take(answer)
        except LacewingdockError:
            self.answers.drop(answer)
            raise

    def take(self, answer: Answer) -> list[bytes]:
        """Return the next pieces, over a new link where one is needed.

        Raises:
            LacewingdockError: The answer can't be had whole.
        """
        while True:
            pieces = answer.take()
            if not isinstance(pieces, LinkLost):
                return pieces
            self.answers.reattach(answer)

    def rest(self, answer: Answer) -> Iterator[list[bytes]]:
        """Yield pieces until the end of the answer."""
        while pieces := self.take(answer):
            yield pieces

    def at_home(self, upstream: Upstream, attempt: Attempt) -> Answer:
        """Ask the home of a claim, with what it takes to know the outcome.

        The home runs a key once, so after a lost link the same request is
        sent again rather than resumed: it meets its own run.

        Raises:
            LacewingdockError: As refused by the home; OUTCOME_UNKNOWN when
                the home can't be reached any more.
        """
        return self.answers.ask(upstream, attempt)


def _may_retry(error: LacewingdockError, attempt: Attempt) -> bool:
    if error.kind not in _ELSEWHERE:
        return False
    return error.ran == RAN_NO or attempt.repeatable


def _never_came(error: LacewingdockError, answer: Answer | None) -> bool:
    """Tell whether a sidecar said over a new link that it got nothing."""
    return (
        answer is not None
        and answer.current != answer.attempt.attempt
        and error.kind is ErrorKind.NO_UPSTREAM
        and error.ran == RAN_NO
    )


def _final(error: LacewingdockError, ran: str) -> LacewingdockError:
    """Say of all tries together whether the request ran."""
    if error.ran == RAN_NO and ran != RAN_NO:
        return LacewingdockError(
            error.kind, error.detail, ran, error.retry_after_s
        )
    return error
