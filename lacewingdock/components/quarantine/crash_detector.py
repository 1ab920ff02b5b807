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
CrashCallback = Callable[[str, bool, list[str]], None]
# Takes an id, the request's fingerprint and whether the doubt is over.
UnresolvedCallback = Callable[[str, str, bool], None]

_UNKNOWN: Final = None

log = get_logger("quarantine")


@dataclass(slots=True, eq=False)
class _Call:
    fingerprint: str
    alone: bool
    era: str
    loss_id: str = ""


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
        "_check_lock",
        "_lock",
        "_unresolved",
        "era",
        "incarnation",
        "instance",
        "on_crash",
        "on_unresolved",
        "probe",
    )

    def __init__(
        self,
        instance: str,
        probe: Probe,
        on_crash: CrashCallback,
        on_unresolved: UnresolvedCallback,
    ) -> None:
        """Start without knowing the upstream."""
        self.instance = instance
        self.probe = probe
        self.on_crash = on_crash
        self.on_unresolved = on_unresolved
        self.incarnation: str | None = _UNKNOWN
        self.era = new_id()
        self._calls: set[_Call] = set()
        self._unresolved: set[_Call] = set()
        self._lock = threading.Lock()
        self._check_lock = threading.Lock()

    @contextlib.contextmanager
    def call(self, fingerprint: str, alone: bool) -> Iterator[None]:
        """Watch one call of the upstream for the length of a `with` block.

        Raises:
            LacewingdockError: UPSTREAM_FAILED, not run, when the upstream
                is known to have crashed and is not back.
        """
        if self.incarnation is _UNKNOWN:
            self._read_incarnation()
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
            self._check_upstream(call)
            raise
        finally:
            with self._lock:
                self._calls.discard(call)

    def observe_incarnation(self, incarnation: str) -> None:
        """Take the incarnation that a regular poll was answered with."""
        if self.incarnation is _UNKNOWN:
            self.incarnation = incarnation
        elif self.incarnation != incarnation:
            with self._check_lock:
                self._record_crash(self.era, incarnation)
        elif self._unresolved:
            with self._check_lock:
                self._apply_incarnation(self.era, incarnation)

    def _read_incarnation(self) -> None:
        with self._check_lock:
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

    def _check_upstream(self, call: _Call) -> None:
        with self._check_lock:
            if call.era != self.era:
                # Another call that failed at the same crash told it already.
                return
            try:
                incarnation = self.probe()
            except LacewingdockError as error:
                log.warning("crash not told", error=error.detail)
                self._mark_unresolved(call)
                return
            self._apply_incarnation(call.era, incarnation)

    def _apply_incarnation(self, era: str, incarnation: str | None) -> None:
        if incarnation is None or incarnation != self.incarnation:
            self._record_crash(era, incarnation)
        else:
            self._resolve_all()

    def _mark_unresolved(self, call: _Call) -> None:
        """Keep a lost call until it is known whether it was a crash.

        What hangs now may be the upstream's next start, which does not answer
        yet. Unsaid, the entry would send the request to another upstream as
        if nothing had happened.
        """
        call.loss_id = f"{self.instance}/lost-{new_id()}"
        with self._lock:
            self._unresolved.add(call)
        self.on_unresolved(call.loss_id, call.fingerprint, False)

    def _resolve_all(self) -> None:
        with self._lock:
            decided, self._unresolved = self._unresolved, set()
        for call in decided:
            self.on_unresolved(call.loss_id, call.fingerprint, True)

    def _record_crash(self, era: str, incarnation: str | None) -> None:
        """Report the crash that ended an era, and begin another."""
        with self._lock:
            if era != self.era:
                return
            self.era = new_id()
            self.incarnation = incarnation
            calls = self._calls | self._unresolved
            in_flight = [call for call in calls if call.era == era]
        if in_flight:
            alone = len(in_flight) == 1 and in_flight[0].alone
            fingerprints = sorted({call.fingerprint for call in in_flight})
            self.on_crash(f"{self.instance}/{era}", alone, fingerprints)
        self._resolve_all()
