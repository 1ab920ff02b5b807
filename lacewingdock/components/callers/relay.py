"""Support for getting one request answered, over links and retries."""

import random
import time
from typing import Final

from lacewingdock.components.admission.retry_budget import RetryBudget
from lacewingdock.components.answers import Answers, retry_of
from lacewingdock.components.answers.answer import Answer, LinkLost
from lacewingdock.components.configuration.catch_up import catch_up
from lacewingdock.components.membership import Membership
from lacewingdock.components.quarantine import (
    Quarantine,
    QuarantineVerdict,
    fingerprint_of,
)
from lacewingdock.components.quarantine.lost_attempts import LostAttempt
from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.clock import MS_PER_S
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

# Refusals that follow from the configuration that the sidecar has.
BY_CONFIGURATION: Final = frozenset(
    {ErrorKind.MODEL_NOT_ALLOWED, ErrorKind.VERSION_WITHDRAWN}
)

# Retries that are no sign of too much load: each sidecar says so only until
# this entry has its news.
_FREE: Final = BY_CONFIGURATION | {ErrorKind.LEAVING, ErrorKind.NOT_READY}

log = get_logger("relay")


class Relay:
    """Gets attempts answered, whichever upstream and link it takes.

    Attributes:
        answers: The open answers.
        membership: The upstreams.
        quarantine: Which requests crash upstreams, and where they may go.
        source: Source of draws.
        retries: Retries that this entry may make.
    """

    __slots__ = ("answers", "membership", "quarantine", "retries", "source")

    def __init__(
        self,
        answers: Answers,
        membership: Membership,
        quarantine: Quarantine,
        source: random.Random,
    ) -> None:
        """Take what it works with."""
        self.answers = answers
        self.membership = membership
        self.quarantine = quarantine
        self.source = source
        self.retries = RetryBudget()

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
        fingerprint = fingerprint_of(attempt)
        worst_ran = RAN_NO
        last: LacewingdockError | None = None
        deadline = time.monotonic() + attempt.deadline_ms / MS_PER_S
        self.retries.count_request()
        for _ in range(MAX_TRIES):
            try:
                upstream = self.quarantine.choose(
                    fingerprint,
                    self.membership.placeable(attempt.target),
                    tried,
                    self.source,
                    deadline,
                )
            except LacewingdockError as error:
                raise _final(_told(last, error), worst_ran) from error
            tried.add(upstream.name)
            answer = None
            try:
                with self.quarantine.track_attempt(fingerprint, upstream):
                    answer = self.answers.ask(upstream, attempt)
                    return answer, self._first(answer)
            except LacewingdockError as error:
                if error.ran != RAN_NO:
                    worst_ran = RAN_UNKNOWN
                last = error
                if not self._goes_on(error, attempt, fingerprint, upstream):
                    break
                if time.monotonic() >= deadline:
                    break
                if _never_came(error, answer):
                    # Its link was at fault, and there is a new one.
                    tried.discard(upstream.name)
                attempt = retry_of(attempt, deadline)
        assert last is not None
        raise _final(last, worst_ran)

    def _goes_on(
        self,
        error: LacewingdockError,
        attempt: Attempt,
        fingerprint: str,
        upstream: Upstream,
    ) -> bool:
        """Tell whether another upstream is asked after a refusal by one."""
        if error.kind in BY_CONFIGURATION:
            catch_up(
                self.membership.configuration, upstream.link, error.revision
            )
        if not self._may_retry(error, attempt, fingerprint):
            return False
        if error.kind not in _FREE and not self.retries.take():
            return False
        log.info(
            "trying elsewhere",
            request_id=attempt.request,
            upstream=upstream.name,
            error=error.kind,
            detail=error.detail,
        )
        return True

    def _first(self, answer: Answer) -> list[bytes]:
        try:
            return self.take(answer)
        except LacewingdockError:
            self.answers.drop(answer)
            self._doubt(answer, given_up=True)
            raise

    def take(self, answer: Answer) -> list[bytes]:
        """Return the next pieces, over a new link where one is needed.

        Raises:
            LacewingdockError: The answer can't be had whole.
        """
        try:
            while True:
                pieces = answer.take()
                if not isinstance(pieces, LinkLost):
                    break
                self._doubt(answer)
                self.answers.reattach(answer)
        finally:
            if answer.in_doubt and answer.has_begun:
                self.quarantine.resolve_loss(answer.attempt.attempt)
        if answer.finish is not None:
            self.quarantine.record_success(fingerprint_of(answer.attempt))
        return pieces

    def _doubt(self, answer: Answer, given_up: bool = False) -> None:
        """Take note that nothing is known of an attempt that was sent.

        A call that may not be repeated goes nowhere else meanwhile.
        """
        attempt = answer.attempt
        if answer.has_begun or not attempt.repeatable:
            return
        answer.in_doubt = True
        loss = LostAttempt(
            attempt.attempt,
            fingerprint_of(attempt),
            answer.upstream.name,
            answer.sent_to,
            time.monotonic(),
        )
        self.quarantine.record_loss(loss, given_up)

    def whole(self, attempt: Attempt) -> tuple[Answer, list[bytes]]:
        """Ask until an upstream has given its whole answer.

        None of it is shown before it is whole, so one that breaks half-way
        can still come from another upstream.

        Raises:
            LacewingdockError: No upstream answers; `ran` says what is known.
        """
        deadline = time.monotonic() + attempt.deadline_ms / MS_PER_S
        try:
            return self._whole(attempt)
        except _BrokeOffError as broken:
            error = broken.cause
            fingerprint = fingerprint_of(attempt)
            if not self._may_retry(error, attempt, fingerprint):
                raise error from None
        try:
            return self._whole(retry_of(attempt, deadline))
        except _BrokeOffError as broken:
            raise broken.cause from None
        except LacewingdockError as later:
            raise _final(later, RAN_UNKNOWN) from later

    def _whole(self, attempt: Attempt) -> tuple[Answer, list[bytes]]:
        answer, pieces = self.start(attempt)
        answer.shown = False
        try:
            if answer.finish is None and pieces:
                self.collect(answer, pieces)
        except LacewingdockError as error:
            self.answers.drop(answer)
            raise _BrokeOffError(error) from error
        return answer, pieces

    def collect(self, answer: Answer, pieces: list[bytes]) -> None:
        """Add the rest of an answer to its first pieces.

        The task that reads the link does so; the calling one is woken at the
        end, not for every piece.

        Raises:
            LacewingdockError: The answer can't be had whole.
        """

        def keep(_: int, data: bytes) -> bool:
            pieces.append(data)
            return True

        while True:
            answer.divert(keep)
            more = self.take(answer)
            if not more:
                return
            pieces += more

    def _may_retry(
        self, error: LacewingdockError, attempt: Attempt, fingerprint: str
    ) -> bool:
        """Tell whether another upstream may answer what this one refused."""
        if error.kind in BY_CONFIGURATION:
            # Only a sidecar that is behind may be wrong.
            return error.revision < attempt.revision
        if error.kind is ErrorKind.OVERLOADED:
            # Another copy of a suspect may be running where this one was
            # refused; a second upstream must not run it meanwhile.
            return (
                self.quarantine.verdict(fingerprint) is QuarantineVerdict.CLEAR
            )
        if error.kind not in _ELSEWHERE:
            return False
        return error.ran == RAN_NO or attempt.repeatable


class _BrokeOffError(Exception):
    """An answer ended after its first piece and before its last."""

    def __init__(self, cause: LacewingdockError) -> None:
        super().__init__(str(cause))
        self.cause = cause


def _told(
    last: LacewingdockError | None, error: LacewingdockError
) -> LacewingdockError:
    """Choose what to tell: the last try's error says more than "no upstream".

    A quarantine says more than the crash that brought it about: the caller
    must learn that sending again is useless. So does a time to come back.
    """
    if last is None or error.kind is ErrorKind.QUARANTINED:
        return error
    if error.retry_after_s is not None:
        return error
    return last


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
