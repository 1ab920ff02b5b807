"""Support for evidence on the requests in flight when upstreams crashed.

The evidence on a fingerprint is a set of crashes and a set of crashes that the
fingerprint is excused of. Both sets only grow, so evidence may arrive late,
more than once and over any path, and all daemons that have the same evidence
reach the same verdict.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum

from lacewingdock.components.quarantine.const import (
    LOSS_TTL_S,
    MAX_BLAST_RADIUS,
    MAX_CRASHES,
    MAX_RECORDS,
    QUARANTINE_TTL_S,
    SUSPECT_TTL_S,
)
from lacewingdock.helpers.clock import MS_PER_S
from lacewingdock.links.messages import Evidence


class QuarantineVerdict(StrEnum):
    """The state of a fingerprint according to the evidence."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class Crash:
    """A crash at which a request was in flight.

    Attributes:
        id: "INSTANCE/ERA", unique for each crash.
        isolated: Whether the request ran alone there, as a suspect.
        first_seen: Monotonic time at which the crash was first recorded.
        excused: Whether the request was shown not to be the cause.
        unresolved: Whether it is still unknown if there was a crash.
    """

    id: str
    isolated: bool
    first_seen: float
    excused: bool = False
    unresolved: bool = False

    @property
    def instance(self) -> str:
        """Name of the sidecar's instance whose upstream crashed."""
        return self.id.partition("/")[0]

    def to_message(self, fingerprints: list[str], now: float) -> Evidence:
        """Return the message about this crash for peers.

        Args:
            fingerprints: Requests to which the message applies.
            now: Monotonic time.
        """
        return Evidence(
            self.id,
            self.isolated,
            self.excused,
            fingerprints,
            max(0, int((now - self.first_seen) * MS_PER_S)),
            self.unresolved,
        )


@dataclass(slots=True, frozen=True)
class BlastRadius:
    """The instances that a request crashed or may have crashed.

    Attributes:
        crashed: Instances that crashed while they ran the request.
        lost: Other instances that may have crashed, or may still crash.
        crashed_at: Monotonic time of the newest crash; 0 without one.
    """

    crashed: set[str]
    lost: set[str]
    crashed_at: float

    def allowed(self) -> set[str] | None:
        """Return the instances that the request may go to; None for any.

        At the limit the request only goes to instances already in its blast
        radius, preferably to those where its outcome is unknown: their answer
        says more than another crash of an instance that crashed before.
        """
        if len(self.crashed | self.lost) < MAX_BLAST_RADIUS:
            return None
        return self.lost or self.crashed


@dataclass(slots=True)
class EvidenceRecord:
    """The evidence on one fingerprint.

    Attributes:
        crashes: Crashes and unresolved losses, by id.
    """

    crashes: dict[str, Crash] = field(default_factory=dict)

    def counted_crashes(self, released: Collection[str] = ()) -> list[Crash]:
        """Return the crashes not excused, unresolved or released."""
        return [
            crash
            for crash in self.crashes.values()
            if not (crash.excused or crash.unresolved or crash.id in released)
        ]

    def unresolved_instances(self) -> set[str]:
        """Return the instances for which a crash is unresolved."""
        return {
            crash.instance
            for crash in self.crashes.values()
            if crash.unresolved and not crash.excused
        }

    def make_room(self) -> bool:
        """Make room for a crash by dropping an unresolved loss if necessary.

        Returns:
            Whether there is room.
        """
        if len(self.crashes) < MAX_CRASHES:
            return True
        for crash in self.crashes.values():
            if crash.unresolved:
                del self.crashes[crash.id]
                return True
        return False

    def verdict(self, released: Collection[str] = ()) -> QuarantineVerdict:
        """Return the verdict on the crashes that count.

        One crash makes the request a suspect: a healthy request may have been
        in flight by chance. A second crash leads to a quarantine only if the
        suspect ran alone there, on a different instance. On the same instance
        two crashes of the suspect alone are needed, because a broken upstream
        crashes whatever it runs.
        """
        crashes = self.counted_crashes(released)
        if not crashes:
            return QuarantineVerdict.CLEAR
        alone = sum(crash.isolated for crash in crashes)
        instances = {crash.instance for crash in crashes}
        if alone >= 2 or (alone == 1 and len(instances) >= 2):
            return QuarantineVerdict.QUARANTINED
        return QuarantineVerdict.SUSPECT


def _adds_evidence(recorded: Crash, evidence: Evidence) -> bool:
    """Return whether evidence adds anything to a crash on record."""
    return (
        (evidence.isolated and not recorded.isolated)
        or (evidence.excused and not recorded.excused)
        or (recorded.unresolved and not evidence.unresolved)
    )


class EvidenceTable:
    """Evidence by fingerprint, bounded in age and memory.

    Attributes:
        records: Records by fingerprint, the least recently updated first.
    """

    __slots__ = ("records",)

    def __init__(self) -> None:
        """Create an empty table."""
        self.records: dict[str, EvidenceRecord] = {}

    def merge(self, evidence: Evidence, now: float) -> list[str]:
        """Merge evidence into the table.

        Args:
            evidence: Evidence from a peer or from this daemon.
            now: Monotonic time.

        Returns:
            The fingerprints whose record has changed.
        """
        first_seen = now - evidence.age_ms / MS_PER_S
        limit = LOSS_TTL_S if evidence.unresolved else QUARANTINE_TTL_S
        if now - first_seen > limit:
            return []
        changed = [
            fingerprint
            for fingerprint in evidence.fingerprints
            if self._merge_one(fingerprint, evidence, first_seen)
        ]
        while len(self.records) > MAX_RECORDS:
            self._evict()
        return changed

    def _merge_one(
        self, fingerprint: str, evidence: Evidence, first_seen: float
    ) -> bool:
        record = self.records.get(fingerprint) or EvidenceRecord()
        recorded = record.crashes.get(evidence.crash)
        if recorded is None:
            if not record.make_room():
                return False
            recorded = Crash(
                evidence.crash,
                evidence.isolated,
                first_seen,
                unresolved=evidence.unresolved,
            )
            record.crashes[evidence.crash] = recorded
        elif not _adds_evidence(recorded, evidence):
            return False
        recorded.isolated = recorded.isolated or evidence.isolated
        recorded.excused = recorded.excused or evidence.excused
        recorded.unresolved = recorded.unresolved and evidence.unresolved
        self.records.pop(fingerprint, None)
        self.records[fingerprint] = record
        return True

    def _evict(self) -> None:
        """Drop the oldest record, preferably one that is not quarantined.

        A caller that crashes upstreams with ever new bodies must not push
        quarantined requests out of memory.
        """
        for fingerprint, record in self.records.items():
            if record.verdict() is not QuarantineVerdict.QUARANTINED:
                del self.records[fingerprint]
                return
        del self.records[next(iter(self.records))]

    def get(self, fingerprint: str) -> EvidenceRecord:
        """Return the record of a fingerprint; an empty one if there is none."""
        return self.records.get(fingerprint) or EvidenceRecord()

    def sweep(self, now: float) -> None:
        """Remove losses and records that have expired."""
        for fingerprint, record in tuple(self.records.items()):
            for crash in tuple(record.crashes.values()):
                if crash.unresolved and now - crash.first_seen > LOSS_TTL_S:
                    del record.crashes[crash.id]
            if not record.crashes:
                del self.records[fingerprint]
                continue
            is_quarantined = record.verdict() is QuarantineVerdict.QUARANTINED
            limit = QUARANTINE_TTL_S if is_quarantined else SUSPECT_TTL_S
            newest = max(crash.first_seen for crash in record.crashes.values())
            if now - newest > limit:
                del self.records[fingerprint]

    def dump(self, now: float) -> list[Evidence]:
        """Return all evidence, grouped into one message per crash and state."""
        grouped: dict[tuple[str, bool, bool, bool], Evidence] = {}
        for fingerprint, record in tuple(self.records.items()):
            for crash in tuple(record.crashes.values()):
                key = (
                    crash.id,
                    crash.isolated,
                    crash.excused,
                    crash.unresolved,
                )
                evidence = grouped.setdefault(key, crash.to_message([], now))
                evidence.fingerprints.append(fingerprint)
        return list(grouped.values())
