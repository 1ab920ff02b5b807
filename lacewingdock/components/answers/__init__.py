"""Support for asking sidecars and receiving whole answers."""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from lacewingdock.components.answers.answer import Answer
from lacewingdock.components.membership import Membership
from lacewingdock.components.peers import Peers
from lacewingdock.const import RAN_NO
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import get_logger
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

log = get_logger(NAME)


class Answers:
    """Every attempt of this entry whose answer has not ended.

    Attributes:
        daemon: The daemon.
        membership: Where the upstreams are found.
        open: Answers by the attempt id that their frames carry.
        on_drop: Called once with each answer that nobody waits for any more.
    """

    __slots__ = ("daemon", "membership", "on_drop", "open")

    def __init__(
        self, daemon: Daemon, peers: Peers, membership: Membership
    ) -> None:
        """Join the links."""
        self.daemon = daemon
        self.membership = membership
        self.open: dict[str, Answer] = {}
        self.on_drop: list[Callable[[Answer], None]] = []
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
        self._track(answer, link)
        upstream.in_flight.add(1)
        upstream.sent_since_news += 1
        if not link.send(attempt):
            # Part of the frame may have left, but a sidecar runs only whole
            # frames, and the whole one did not leave.
            self.drop(answer)
            raise LacewingdockError(
                ErrorKind.NO_UPSTREAM, f"link to {upstream.name} lost", RAN_NO
            )
        return answer

    def resume(
        self, upstream: Upstream, original: str, workspace: str, offset: int
    ) -> Answer:
        """Ask for the rest of an answer that a caller left before.

        Raises:
            LacewingdockError: NO_UPSTREAM when there is no link.
        """
        attempt = Attempt(original, "", workspace, "", "", "", b"")
        answer = Answer(upstream, attempt)
        answer.next_offset = answer.expected = offset
        upstream.in_flight.add(1)
        self.reattach(answer)
        return answer

    def reattach(self, answer: Answer) -> None:
        """Get the rest of an answer over a new link.

        Frames of the old link may still come late; they carry the old id
        and find no answer any more.

        Raises:
            LacewingdockError: UPSTREAM_FAILED, run or not unknown, when
                there is no new link in time.
        """
        self._untrack(answer)
        link = answer.upstream.wait_link(REATTACH_S)
        if link is None:
            raise LacewingdockError(
                ErrorKind.OUTCOME_UNKNOWN,
                f"{answer.upstream.name} does not answer any more",
            )
        answer.current = new_id()
        answer.expected = answer.next_offset
        self._track(answer, link)
        link.send(
            Resume(
                answer.current,
                answer.attempt.attempt,
                answer.attempt.workspace,
                answer.next_offset,
            )
        )
        log.info(
            "answer reattached",
            attempt_id=answer.attempt.attempt,
            upstream=answer.upstream.name,
            offset=answer.next_offset,
        )

    def drop(self, answer: Answer, cancel: bool = False) -> None:
        """Stop waiting for an answer; the sidecar may be told to stop."""
        if not answer.dropped:
            answer.dropped = True
            answer.upstream.in_flight.add(-1)
            for callback in self.on_drop:
                callback(answer)
        link = answer.link
        if cancel and link is not None and not link.closed:
            link.send(Cancel(answer.current))
        self._untrack(answer)

    def _track(self, answer: Answer, link: Link) -> None:
        answer.link = link
        link.busy.add(1)
        self.open[answer.current] = answer

    def _untrack(self, answer: Answer) -> None:
        self.open.pop(answer.current, None)
        if answer.link is not None:
            answer.link.busy.add(-1)
            answer.link = None

    def _deliver(self, link: Link, message: Chunk | Finish | Refusal) -> None:
        answer = self.open.get(message.attempt)
        if answer is not None and answer.link is link:
            answer.deliver(message)

    def _on_close(self, link: Link) -> None:
        for answer in tuple(self.open.values()):
            if answer.link is link:
                answer.lose()

    def unload(self) -> None:
        """Wake whoever still waits; their answers end with an error."""
        for answer in tuple(self.open.values()):
            answer.deliver(
                Refusal(
                    answer.current,
                    ErrorKind.LEAVING,
                    "unknown",
                    "the entry stopped",
                )
            )


def retry_of(attempt: Attempt) -> Attempt:
    """Return the same request as a new attempt."""
    return replace(attempt, attempt=new_id(), ordinal=attempt.ordinal + 1)


def setup(daemon: Daemon, peers: Peers, membership: Membership) -> Answers:
    """Set the answers up."""
    answers = Answers(daemon, peers, membership)
    daemon.add(NAME, answers)
    return answers
