"""Support for detecting upstream crashes and the calls in flight then."""

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

# Returns the upstream's incarnation, empty if the upstream reports none, or
# None if nothing listens at its port; raises if the probe is inconclusive.
Probe = Callable[[], str | None]
# Receives the crash id, whether a suspect ran alone, and the fingerprints.
CrashCallback = Callable[[str, bool, list[str]], None]
# Receives a loss id, the request's fingerprint and whether it is resolved.
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
    """Tracks the calls of the upstream and detects its crashes.

    A broken connection alone proves no crash: the connection may have stalled
    or been reset on the way. The upstream crashed if nothing listens at its
    port any more or another incarnation answers.

    Attributes:
        instance: Name of the sidecar's instance.
        probe: Queries the upstream's incarnation.
        on_crash: Called once for each crash.
        on_unresolved: Called for each lost call for which the probe is
            inconclusive, and again once the outcome is known.
        incarnation: The upstream's incarnation; None when not known.
        era: Id of the upstream's current incarnation in crash ids, assigned
            by this sidecar; a crash starts another era.
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
        """Create a detector for an upstream whose incarnation is unknown."""
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
        """Track one call of the upstream for the duration of a `with` block.

        Raises:
            LacewingdockError: UPSTREAM_FAILED, not run, when the upstream
                is known to have crashed and has not restarted.
        """
        if self.incarnation is _UNKNOWN:
            self._read_incarnation()
        call = _Call(fingerprint, alone, self.era)
        with self._lock:
            self._calls.add(call)
        try:
            yield
        except UpstreamLost as error:
            # A call that could not connect took no part in a crash, but may
            # be the first to notice the crash.
            if error.ran == RAN_NO:
                with self._lock:
                    self._calls.discard(call)
            # Must precede the refusal, so that the evidence arrives first over
            # the same link. An entry that has only the refusal would send
            # another copy to the next upstream as if there were no evidence.
            self._check_upstream(call)
            raise
        finally:
            with self._lock:
                self._calls.discard(call)

    def observe_incarnation(self, incarnation: str) -> None:
        """Process the incarnation that a regular poll returned."""
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
                    "the upstream crashed and has not restarted",
                    RAN_NO,
                )
            self.incarnation = incarnation

    def _check_upstream(self, call: _Call) -> None:
        with self._check_lock:
            if call.era != self.era:
                # Another call that failed at the same crash has reported it.
                return
            try:
                incarnation = self.probe()
            except LacewingdockError as error:
                log.warning("crash check inconclusive", error=error.detail)
                self._mark_unresolved(call)
                return
            self._apply_incarnation(call.era, incarnation)

    def _apply_incarnation(self, era: str, incarnation: str | None) -> None:
        if incarnation is None or incarnation != self.incarnation:
            self._record_crash(era, incarnation)
        else:
            self._resolve_all()

    def _mark_unresolved(self, call: _Call) -> None:
        """Keep a lost call until it is known whether the upstream crashed.

        The port that hangs may belong to the restarted upstream, which does
        not answer yet. Without this report the entry would send the request to
        another upstream as if nothing had happened.
        """
        call.loss_id = f"{self.instance}/lost-{new_id()}"
        with self._lock:
            self._unresolved.add(call)
        self.on_unresolved(call.loss_id, call.fingerprint, False)

    def _resolve_all(self) -> None:
        with self._lock:
            resolved, self._unresolved = self._unresolved, set()
        for call in resolved:
            self.on_unresolved(call.loss_id, call.fingerprint, True)

    def _record_crash(self, era: str, incarnation: str | None) -> None:
        """Report the crash that ended an era, and start another era."""
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
