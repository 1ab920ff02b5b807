"""Support for noticing that an upstream crashed, and what it ran then."""

import contextlib
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from lacewingdock.const import RAN_NO
from lacewingdock.exceptions import (
    ErrorKind,
    LacewingdockError,
    UpstreamLost,
)
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import get_logger

# Returns the upstream's incarnation, empty if it does not tell one, or None
# when nothing listens at its port; raises when it can't be told.
Probe = Callable[[], str | None]
# Takes the crash's id, whether the request ran alone, and the fingerprints.
Report = Callable[[str, bool, list[str]], None]
# Takes an id, the request's fingerprint and whether the doubt is over.
Doubt = Callable[[str, str, bool], None]

_UNKNOWN: Final = None

log = get_logger("quarantine")


@dataclass(slots=True, eq=False)
class _Call:
    fingerprint: str
    alone: bool
    era: str
    doubt: str = ""


class CrashDetector:
    """What runs on the upstream, and which life of the upstream it is.

    A broken connection alone proves no crash: it may have gone silent or
    been reset in between. The upstream crashed if nothing listens any more
    or another incarnation answers.

    Attributes:
        instance: Name of the sidecar's instance.
        probe: Asks the upstream for its incarnation.
        report: Told of each crash once.
        doubt: Told of each lost call for which the probe can't tell, and
            again once it is known.
        incarnation: The upstream's incarnation; None when not known.
        era: Id of this life of the upstream, as this sidecar knows it.
    """

    __slots__ = (
        "_calls",
        "_judging",
        "_lock",
        "_undecided",
        "doubt",
        "era",
        "incarnation",
        "instance",
        "probe",
        "report",
    )

    def __init__(
        self, instance: str, probe: Probe, report: Report, doubt: Doubt
    ) -> None:
        """Start without knowing the upstream."""
        self.instance = instance
        self.probe = probe
        self.report = report
        self.doubt = doubt
        self.incarnation: str | None = _UNKNOWN
        self.era = new_id()
        self._calls: set[_Call] = set()
        self._undecided: set[_Call] = set()
        self._lock = threading.Lock()
        self._judging = threading.Lock()

    @contextlib.contextmanager
    def call(self, fingerprint: str, alone: bool) -> Iterator[None]:
        """Watch one call of the upstream for the length of a `with` block.

        Raises:
            LacewingdockError: UPSTREAM_FAILED, not run, when the upstream
                is known to have crashed and is not back.
        """
        if self.incarnation is _UNKNOWN:
            self._learn()
        call = _Call(fingerprint, alone, self.era)
        with self._lock:
            self._calls.add(call)
        try:
            yield
        except UpstreamLost as error:
            # One that could not connect had no part in a crash, but may be
            # the first to notice it.
            if error.ran == RAN_NO:
                with self._lock:
                    self._calls.discard(call)
            # Before the refusal goes out: over the same link, the evidence
            # arrives first. An entry that has only the refusal would send
            # another copy to the next upstream, as if nothing were known.
            self._judge(call)
            raise
        finally:
            with self._lock:
                self._calls.discard(call)

    def seen(self, incarnation: str) -> None:
        """Take the incarnation that a regular poll was answered with."""
        if self.incarnation is _UNKNOWN:
            self.incarnation = incarnation
        elif self.incarnation != incarnation:
            with self._judging:
                self._crashed(self.era, incarnation)
        elif self._undecided:
            with self._judging:
                self._decide(self.era, incarnation)

    def _learn(self) -> None:
        with self._judging:
            if self.incarnation is not _UNKNOWN:
                return
            incarnation = self.probe()
            if incarnation is None:
                raise LacewingdockError(
                    ErrorKind.UPSTREAM_FAILED,
                    "the upstream crashed and is not back",
                    RAN_NO,
                )
            self.incarnation = incarnation

    def _judge(self, call: _Call) -> None:
        with self._judging:
            if call.era != self.era:
                # Another call that failed at the same crash told it already.
                return
            try:
                incarnation = self.probe()
            except LacewingdockError as error:
                log.warning("crash not told", error=error.detail)
                self._put_in_doubt(call)
                return
            self._decide(call.era, incarnation)

    def _decide(self, era: str, incarnation: str | None) -> None:
        if incarnation is None or incarnation != self.incarnation:
            self._crashed(era, incarnation)
        else:
            self._end_doubts()

    def _put_in_doubt(self, call: _Call) -> None:
        """Keep a lost call until it is known whether it was a crash.

        What hangs now may be the upstream's next start, which does not answer
        yet. Unsaid, the entry would send the request to another upstream as
        if nothing had happened.
        """
        call.doubt = f"{self.instance}/lost-{new_id()}"
        with self._lock:
            self._undecided.add(call)
        self.doubt(call.doubt, call.fingerprint, False)

    def _end_doubts(self) -> None:
        with self._lock:
            decided, self._undecided = self._undecided, set()
        for call in decided:
            self.doubt(call.doubt, call.fingerprint, True)

    def _crashed(self, era: str, incarnation: str | None) -> None:
        """Report the crash that ended an era, and begin another."""
        with self._lock:
            if era != self.era:
                return
            self.era = new_id()
            self.incarnation = incarnation
            calls = self._calls | self._undecided
            struck = [call for call in calls if call.era == era]
        if struck:
            alone = len(struck) == 1 and struck[0].alone
            fingerprints = sorted({call.fingerprint for call in struck})
            self.report(f"{self.instance}/{era}", alone, fingerprints)
        self._end_doubts()
