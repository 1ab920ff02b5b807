"""Support for an entry's own stop of a version that fails grossly.

The controller needs seconds to hear of a bad version; the entry that sees its
answers fail knows at once. It gives the version no new work itself, then
writes into the roll-out's record that it returns, for everybody.
"""

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final, Protocol

import msgspec

from lacewingdock.components.answers.answer import Answer
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.peers import Peers
from lacewingdock.components.rollouts.const import (
    STATE_RAISING,
    STATE_RETURNING,
)
from lacewingdock.components.rollouts.record import decode_rollout
from lacewingdock.const import COLLECTION_ROLLOUTS
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Finish, Refusal

NAME: Final = "emergency"
PURPOSE: Final = "rollouts"
# Of the last answers of the incoming version, and of the others beside it.
WINDOW: Final = 20
CONTROL_WINDOW: Final = 50
MIN_ERRORS: Final = 6
GROSS_SHARE: Final = 0.5
# With more errors than this among the others, something else is wrong.
CONTROL_SHARE: Final = 0.1
SERVER_ERROR: Final = 500
REPORT_RETRY_S: Final = 1.0

log = get_logger(NAME)


class Evidence(Protocol):
    """What is known of an incoming version.

    Attributes:
        reason: Why it is bad; empty while it isn't known to be.
    """

    reason: str

    def add_request(self, is_new: bool, is_error: bool) -> None:
        """Count an answer of the incoming version, or of another."""


class GrossErrors:
    """Evidence by the share of errors among the last answers.

    Attributes:
        new: Whether each of the incoming version's last answers failed.
        others: The same of the other versions.
        reason: Why the incoming version is bad; empty otherwise.
    """

    __slots__ = ("new", "others", "reason")

    def __init__(self) -> None:
        """Start without evidence."""
        self.new: deque[bool] = deque(maxlen=WINDOW)
        self.others: deque[bool] = deque(maxlen=CONTROL_WINDOW)
        self.reason = ""

    def add_request(self, is_new: bool, is_error: bool) -> None:
        """Count an answer."""
        (self.new if is_new else self.others).append(is_error)
        errors = sum(self.new)
        gross = errors >= MIN_ERRORS and errors >= GROSS_SHARE * len(self.new)
        # Engines or a link that fail under every version are no verdict.
        others_fail = sum(self.others) > CONTROL_SHARE * len(self.others)
        if gross and not others_fail:
            self.reason = f"{errors} of the last {len(self.new)} failed"


class Emergency:
    """Watches the incoming versions of all models at this entry.

    Attributes:
        daemon: The daemon.
        configuration: Says which version of a model is incoming.
        open: Open answers by the attempt id of their frames; set once the
            answers are set up.
        new_evidence: Makes the evidence of one incoming version; replaced
            by whoever judges better.
        evidence: Evidence by (model, incoming version).
        suspended: Versions that get no new work from this entry.
        on_note: Told of each answer: its version and whether it failed.
    """

    __slots__ = (
        "_lock",
        "configuration",
        "daemon",
        "evidence",
        "new_evidence",
        "on_note",
        "open",
        "suspended",
    )

    def __init__(
        self, daemon: Daemon, peers: Peers, configuration: Configuration
    ) -> None:
        """Join the links, before the answers do."""
        self.daemon = daemon
        self.configuration = configuration
        self.open: dict[str, Answer] = {}
        self.new_evidence: Callable[[], Evidence] = GrossErrors
        self.evidence: dict[tuple[str, str], Evidence] = {}
        self.suspended: set[str] = set()
        self.on_note: list[Callable[[str, bool], None]] = []
        self._lock = threading.Lock()
        peers.handle(Finish, self._on_finish)
        peers.handle(Refusal, self._on_refusal)
        configuration.on_change.append(self._on_change)

    def _on_finish(self, link: Link, finish: Finish) -> None:
        self._count(finish.attempt, finish.status >= SERVER_ERROR)

    def _on_refusal(self, link: Link, refusal: Refusal) -> None:
        if refusal.code == ErrorKind.UPSTREAM_FAILED:
            self._count(refusal.attempt, True)

    def _count(self, attempt: str, is_error: bool) -> None:
        answer = self.open.get(attempt)
        if answer is not None:
            self.note(answer.attempt.target, is_error)

    def note(self, version: str, is_error: bool) -> None:
        """Count an answer of a version."""
        for callback in self.on_note:
            callback(version, is_error)
        world = self.configuration.world
        known = world.versions.get(version)
        model = world.models.get(known.model) if known else None
        if known is None or model is None or not model.incoming:
            return
        key = (known.model, model.incoming)
        with self._lock:
            evidence = self.evidence.setdefault(key, self.new_evidence())
            evidence.add_request(version == model.incoming, is_error)
            stop = evidence.reason and model.incoming not in self.suspended
            if not stop or not self._others(known.model, model.incoming):
                return
            self.suspended.add(model.incoming)
        log.error(
            "version suspended", version=model.incoming, reason=evidence.reason
        )
        self.daemon.spawn(self._report_until_heard, *key, evidence.reason)

    def _others(self, model: str, version: str) -> bool:
        """Tell whether another version can take the version's sessions."""
        world = self.configuration.world
        return any(
            share > 0 and other != version and world.offered(other)
            for other, share in world.models[model].shares.items()
        )

    def _report_until_heard(
        self, model: str, version: str, reason: str
    ) -> None:
        """Write that the roll-out returns; go on until that is settled."""
        while not self.daemon.stopping.is_set():
            try:
                if not self.report(model, version, reason):
                    self._release(model, version)
                return
            except LacewingdockError as error:
                log.warning("stop not reported", error=error.detail)
            self.daemon.stopping.wait(REPORT_RETRY_S)

    def report(self, model: str, version: str, reason: str) -> bool:
        """Turn the version's roll-out back, if it is under way.

        Returns:
            Whether there is a roll-out of it, returning now.

        Raises:
            LacewingdockError: CONFLICT or PLATFORM_UNAVAILABLE: try again.
        """
        store: Any = self.daemon.store
        stored = store.get(COLLECTION_ROLLOUTS, model, PURPOSE)
        rollout = decode_rollout(stored)
        if (
            rollout is None
            or rollout.version != version
            or rollout.state not in (STATE_RAISING, STATE_RETURNING)
        ):
            return False
        if rollout.state == STATE_RETURNING and rollout.withdraw:
            return True
        changed = replace(
            rollout,
            state=STATE_RETURNING,
            withdraw=True,
            paused=False,
            reason=reason,
            by=self.daemon.me.instance,
        )
        store.put(
            COLLECTION_ROLLOUTS,
            model,
            msgspec.to_builtins(changed),
            stored.revision,
            PURPOSE,
            f"{rollout.id}:{new_id()}",
        )
        return True

    def _release(self, model: str, version: str) -> None:
        """Let a version work again that no roll-out can turn back.

        Its roll-out is over, so suspending it here alone would only hide
        from operators what this entry does.
        """
        with self._lock:
            self.suspended.discard(version)
            self.evidence.pop((model, version), None)

    def _on_change(self) -> None:
        """Carry the suspensions into the new view of the configuration."""
        world = self.configuration.world
        world.suspended = self.suspended
        incoming = {(n, m.incoming) for n, m in world.models.items()}
        with self._lock:
            for key in tuple(self.evidence):
                if key not in incoming:
                    del self.evidence[key]
                    self.suspended.discard(key[1])

    def unload(self) -> None:
        """Nothing is held beyond the daemon's tasks."""


def setup(
    daemon: Daemon, peers: Peers, configuration: Configuration
) -> Emergency:
    """Set the emergency stop up; before the answers, whose frames it sees."""
    emergency = Emergency(daemon, peers, configuration)
    daemon.add(NAME, emergency)
    return emergency
