"""Support for weighing what was in flight when upstreams crashed.

The evidence of a fingerprint is a set of crashes and a set of crashes it is
excused of. Both only grow, so evidence may come late, twice and over any
path, and every daemon that has the same evidence gives the same verdict.
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
    """What is held of a fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class Crash:
    """A crash that a request was in flight at.

    Attributes:
        id: "INSTANCE/ERA", one for each crash.
        isolated: Whether the request ran alone there, as a suspect.
        seen: Monotonic time at which it was first known.
        excused: Whether the request was shown not to be the cause.
        unresolved: Whether it is not known yet if there was a crash.
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

    def evidence(self, fingerprints: list[str], now: float) -> Evidence:
        """Return what peers are told of it.

        Args:
            fingerprints: Whom it is told of.
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
    """The instances that a request is a danger to.

    Attributes:
        crashed: Those that crashed while they ran it.
        lost: Others that may have, or may yet.
        crashed_at: Monotonic time of the newest crash; 0 without one.
    """

    crashed: set[str]
    lost: set[str]
    crashed_at: float

    def allowed(self) -> set[str] | None:
        """Return the instances that it may go to; None for any.

        At the limit it goes to one that it endangers already. That is one of
        which nothing is known, if there is any: its answer tells more than
        another crash where it crashed before.
        """
        if len(self.crashed | self.lost) < MAX_BLAST_RADIUS:
            return None
        return self.lost or self.crashed


@dataclass(slots=True)
class EvidenceRecord:
    """The evidence of one fingerprint.

    Attributes:
        crashes: Crashes by id.
    """

    crashes: dict[str, Crash] = field(default_factory=dict)

    def counted_crashes(self, released: Collection[str] = ()) -> list[Crash]:
        """Return the crashes that still count."""
        return [
            crash
            for crash in self.crashes.values()
            if not (crash.excused or crash.unresolved or crash.id in released)
        ]

    def unresolved_instances(self) -> set[str]:
        """Return the instances of which it is not known if they crashed."""
        return {
            crash.instance
            for crash in self.crashes.values()
            if crash.unresolved and not crash.excused
        }

    def make_room(self) -> bool:
        """Tell whether another crash fits, at the cost of a mere loss."""
        if len(self.crashes) < MAX_CRASHES:
            return True
        for crash in self.crashes.values():
            if crash.unresolved:
                del self.crashes[crash.id]
                return True
        return False

    def verdict(self, released: Collection[str] = ()) -> QuarantineVerdict:
        """Weigh the crashes that still count.

        One crash makes a suspect: a healthy request may merely have been in
        flight. A second one convicts only if the suspect ran alone there,
        on another instance than before; on the same instance it takes two
        alone, because a broken upstream crashes whatever it runs.
        """
        crashes = self.counted_crashes(released)
        if not crashes:
            return QuarantineVerdict.CLEAR
        alone = sum(crash.isolated for crash in crashes)
        instances = {crash.instance for crash in crashes}
        if alone >= 2 or (alone == 1 and len(instances) >= 2):
            return QuarantineVerdict.QUARANTINED
        return QuarantineVerdict.SUSPECT


def _adds_evidence(known: Crash, evidence: Evidence) -> bool:
    """Tell whether evidence says more of a crash than is known."""
    return (
        (evidence.isolated and not known.isolated)
        or (evidence.excused and not known.excused)
        or (known.unresolved and not evidence.unresolved)
    )


class EvidenceTable:
    """Evidence by fingerprint, bounded in time and memory.

    Attributes:
        records: Records by fingerprint, the one with the oldest news first.
    """

    __slots__ = ("records",)

    def __init__(self) -> None:
        """Start without evidence."""
        self.records: dict[str, EvidenceRecord] = {}

    def merge(self, evidence: Evidence, now: float) -> list[str]:
        """Take evidence in.

        Args:
            evidence: What a peer or this daemon saw.
            now: Monotonic time.

        Returns:
            The fingerprints that it was news for.
        """
        first_seen = now - evidence.age_ms / MS_PER_S
        limit = LOSS_TTL_S if evidence.unresolved else QUARANTINE_TTL_S
        if now - first_seen > limit:
            return []
        news = [
            fingerprint
            for fingerprint in evidence.fingerprints
            if self._merge_one(fingerprint, evidence, first_seen)
        ]
        while len(self.records) > MAX_RECORDS:
            self._evict()
        return news

    def _merge_one(
        self, fingerprint: str, evidence: Evidence, first_seen: float
    ) -> bool:
        record = self.records.get(fingerprint) or EvidenceRecord()
        known = record.crashes.get(evidence.crash)
        if known is None:
            if not record.make_room():
                return False
            known = Crash(
                evidence.crash,
                evidence.isolated,
                first_seen,
                unresolved=evidence.unresolved,
            )
            record.crashes[evidence.crash] = known
        elif not _adds_evidence(known, evidence):
            return False
        known.isolated = known.isolated or evidence.isolated
        known.excused = known.excused or evidence.excused
        known.unresolved = known.unresolved and evidence.unresolved
        self.records.pop(fingerprint, None)
        self.records[fingerprint] = record
        return True

    def _evict(self) -> None:
        """Drop the oldest suspicion; a conviction only if there is no other.

        A caller that crashes upstreams with ever new bodies must not push
        convictions out of memory.
        """
        for fingerprint, record in self.records.items():
            if record.verdict() is not QuarantineVerdict.QUARANTINED:
                del self.records[fingerprint]
                return
        del self.records[next(iter(self.records))]

    def get(self, fingerprint: str) -> EvidenceRecord:
        """Return the evidence of a fingerprint; empty when there is none."""
        return self.records.get(fingerprint) or EvidenceRecord()

    def sweep(self, now: float) -> None:
        """Forget what is too old to count."""
        for fingerprint, record in tuple(self.records.items()):
            for crash in tuple(record.crashes.values()):
                if crash.unresolved and now - crash.first_seen > LOSS_TTL_S:
                    del record.crashes[crash.id]
            if not record.crashes:
                del self.records[fingerprint]
                continue
            convicted = record.verdict() is QuarantineVerdict.QUARANTINED
            limit = QUARANTINE_TTL_S if convicted else SUSPECT_TTL_S
            newest = max(crash.first_seen for crash in record.crashes.values())
            if now - newest > limit:
                del self.records[fingerprint]

    def dump(self, now: float) -> list[Evidence]:
        """Return everything, one message for each crash."""
        grouped: dict[tuple[str, bool, bool, bool], Evidence] = {}
        for fingerprint, record in tuple(self.records.items()):
            for crash in tuple(record.crashes.values()):
                key = (
                    crash.id,
                    crash.isolated,
                    crash.excused,
                    crash.unresolved,
                )
                evidence = grouped.setdefault(key, crash.evidence([], now))
                evidence.fingerprints.append(fingerprint)
        return list(grouped.values())
