"""Support for asking sidecars and receiving whole answers."""

import time
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from lacewingdock.components.answers.answer import Answer
from lacewingdock.components.membership import Membership
from lacewingdock.components.peers import Peers
from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.clock import MS_PER_S, stamp_ms
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.tally import Tally
from lacewingdock.links.link import Link
from lacewingdock.links.messages import (
    Attempt,
    Cancel,
    Chunk,
    Finish,
    Refusal,
    Resume,
)
from lacewingdock.world.upstream import Upstream

NAME: Final = "answers"
# How long an answer waits for a new link to the sidecar that has it.
REATTACH_S: Final = 3.0
# The same where another upstream may take the request instead.
ELSEWHERE_S: Final = 0.5

log = get_logger(NAME)


class Answers:
    """Every attempt of this entry whose answer has not ended.

    Attributes:
        daemon: The daemon.
        membership: Where the upstreams are found.
        open: Answers by the attempt id that their frames carry.
        on_ask: Called with each answer that was asked for.
        on_drop: Called once with each answer that nobody waits for any more.
        reattached: Answers taken up again over a new link.
    """

    __slots__ = (
        "daemon",
        "membership",
        "on_ask",
        "on_drop",
        "open",
        "reattached",
    )

    def __init__(
        self, daemon: Daemon, peers: Peers, membership: Membership
    ) -> None:
        """Join the links."""
        self.daemon = daemon
        self.membership = membership
        self.open: dict[str, Answer] = {}
        self.on_drop: list[Callable[[Answer], None]] = []
        self.on_ask: list[Callable[[Answer], None]] = []
        self.reattached = Tally()
        for cls in (Chunk, Finish, Refusal):
            peers.handle(cls, self._deliver)
        peers.on_close.append(self._on_close)

    def ask(self, upstream: Upstream, attempt: Attempt) -> Answer:
        """Send an attempt to a sidecar.

        Raises:
            LacewingdockError: NO_UPSTREAM, not run, when it can't be sent.
        """
        answer = Answer(upstream, attempt)
        link = upstream.link
        if link is None:
            raise LacewingdockError(
                ErrorKind.NO_UPSTREAM, f"no link to {upstream.name}", RAN_NO
            )
        for callback in self.on_ask:
            callback(answer)
        answer.sent_to = link.peer.incarnation
        self._track(answer, link)
        upstream.in_flight.add(1)
        upstream.sent_since_report += 1
        attempt.sent_ms = stamp_ms()
        if not link.send(attempt):
            # Part of the frame may have left, but a sidecar runs only whole
            # frames, and the whole one did not leave.
            self.drop(answer)
            raise LacewingdockError(
                ErrorKind.NO_UPSTREAM, f"link to {upstream.name} lost", RAN_NO
            )
        return answer

    def resume(
        self,
        upstream: Upstream,
        original: str,
        workspace: str,
        offset: int,
        request: str = "",
    ) -> Answer:
        """Ask for the rest of an answer that a caller left before.

        Args:
            upstream: Where the answer is, held by `Membership.reach`.
            original: Id of the attempt.
            workspace: The caller's workspace.
            offset: Index of the first piece wanted.
            request: Id of the caller's request now.

        Raises:
            LacewingdockError: OUTCOME_UNKNOWN when there is no link in time.
        """
        attempt = Attempt(
            original, request, workspace, "", "", "", b"", resumable=True
        )
        answer = Answer(upstream, attempt)
        answer.next_offset = offset
        try:
            self.reattach(answer)
        except LacewingdockError:
            self.drop(answer)
            raise
        return answer

    def reattach(self, answer: Answer) -> None:
        """Get the rest of an answer over a new link.

        Frames of the old link may still come late; they carry the old id
        and find no answer any more.

        Raises:
            LacewingdockError: OUTCOME_UNKNOWN when there is no new link in
                time.
        """
        self._untrack(answer)
        end = min(answer.deadline, time.monotonic() + _patience_s(answer))
        while True:
            left = end - time.monotonic()
            link = answer.upstream.wait_link(max(left, 0.0))
            if link is None:
                raise LacewingdockError(
                    ErrorKind.OUTCOME_UNKNOWN,
                    f"{answer.upstream.name} does not answer any more",
                )
            answer.restart(new_id())
            self._track(answer, link)
            # A link that closed before it was tracked wakes nobody.
            if link.send(_resume_of(answer)):
                break
            self._untrack(answer)
        self.reattached.add(1)
        log.info(
            "answer reattached",
            attempt_id=answer.attempt.attempt,
            upstream=answer.upstream.name,
            offset=answer.next_offset,
        )

    def drop(self, answer: Answer, cancel: bool = False) -> None:
        """Stop waiting for an answer, and tell its sidecar.

        Untold, the sidecar would send on to nobody, hold the answer and
        take this end, which owes it nothing any more, for silent.

        Args:
            answer: The answer.
            cancel: Whether nobody can come back for the rest.
        """
        if not answer.dropped:
            answer.dropped = True
            answer.upstream.in_flight.add(-1)
            answer.left = answer.left or cancel
            for callback in self.on_drop:
                callback(answer)
        link = answer.link
        self._untrack(answer)
        if link is not None and not link.closed:
            keep = answer.attempt.resumable and not cancel
            link.send(Cancel(answer.current, keep, answer.ended, answer.left))
        self.membership.release(answer.upstream)

    def abandon(self, request: str) -> None:
        """End the answers of a request whose caller left."""
        for answer in tuple(self.open.values()):
            if answer.attempt.request == request:
                answer.left = True
                answer.abandon(_left(answer.current))

    def _track(self, answer: Answer, link: Link) -> None:
        answer.link = link
        link.begin()
        self.open[answer.current] = answer

    def _untrack(self, answer: Answer) -> None:
        self.open.pop(answer.current, None)
        if answer.link is not None:
            answer.link.finish()
            answer.link = None

    def _deliver(self, link: Link, message: Chunk | Finish | Refusal) -> None:
        answer = self.open.get(message.attempt)
        # A peer may only speak for attempts that were sent to it.
        if answer is None or answer.link is not link:
            return
        if not answer.deliver(message):
            link.send(Cancel(message.attempt, keep=True))

    def _on_close(self, link: Link) -> None:
        for answer in tuple(self.open.values()):
            if answer.link is link:
                answer.lose()

    def unload(self) -> None:
        """Wake whoever still waits; their answers end with an error."""
        for answer in tuple(self.open.values()):
            answer.abandon(
                Refusal(
                    answer.current,
                    ErrorKind.LEAVING,
                    RAN_UNKNOWN,
                    "the entry stopped",
                )
            )


def _patience_s(answer: Answer) -> float:
    """Return how long to wait for a new link.

    A request that showed nothing and may be repeated is better off with
    another upstream than waiting for a sidecar that may be dead.
    """
    attempt = answer.attempt
    is_shown = answer.shown and answer.next_offset > 0
    may_move = attempt.repeatable and attempt.target and not is_shown
    return ELSEWHERE_S if may_move else REATTACH_S


def _resume_of(answer: Answer) -> Resume:
    return Resume(
        answer.current,
        answer.attempt.attempt,
        answer.attempt.workspace,
        answer.next_offset,
        answer.sent_to,
        int((time.monotonic() - answer.sent_at) * 1000),
    )


def _left(attempt: str) -> Refusal:
    return Refusal(
        attempt, ErrorKind.CALLER_LEFT, RAN_UNKNOWN, "the caller left"
    )


def retry_of(attempt: Attempt, deadline: float) -> Attempt:
    """Return the same request as a new attempt.

    Args:
        attempt: The attempt before.
        deadline: Monotonic time after which nobody waits.
    """
    left_ms = int((deadline - time.monotonic()) * MS_PER_S)
    return replace(
        attempt,
        attempt=new_id(),
        ordinal=attempt.ordinal + 1,
        deadline_ms=max(left_ms, 1),
    )


def setup(daemon: Daemon, peers: Peers, membership: Membership) -> Answers:
    """Set the answers up."""
    answers = Answers(daemon, peers, membership)
    daemon.add(NAME, answers)
    return answers
