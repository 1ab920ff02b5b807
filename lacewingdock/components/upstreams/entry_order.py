"""Support for the order of what the entries of an instance report.

The revision of an entry orders writes, not reports: a heartbeat whose answer
was lost may be written seconds later, after the reports that followed it. It
would reopen an instance that is leaving, or recreate the entry of one that
left.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.platform.history import era_of
from lacewingdock.world.backend import UpstreamEntry

# Longest delay in seconds between the sending of a write and its execution by
# the store.
WRITE_DELAY_S: Final = 6.0


class EntryVerdict(StrEnum):
    """What an entry reports of its start, compared with what is known.

    Attributes:
        CURRENT: The newest report known.
        OUTDATED: An earlier report than the one in effect.
        RETURNED: The start was gone. Either its entry expired although it
            runs, or an earlier heartbeat recreated the entry after it left.
    """

    CURRENT = "current"
    OUTDATED = "outdated"
    RETURNED = "returned"


@dataclass(slots=True, frozen=True)
class HeldEntry:
    """An entry that is not in effect.

    Attributes:
        entry: The entry.
        verdict: Why it is held.
        since: Monotonic time since which it is held.
        until: Monotonic time from which it takes effect if it is still listed.
    """

    entry: UpstreamEntry
    verdict: EntryVerdict
    since: float
    until: float


def judge_entry(
    entry: UpstreamEntry,
    current: UpstreamInstance | None,
    departed_at: float | None,
    *,
    announced_leaving: bool,
    doubtful: bool,
) -> EntryVerdict:
    """Compare an entry with what is known of its start.

    Args:
        entry: The entry.
        current: The instance with the entry's id, of this start or another.
        departed_at: Monotonic time at which the start's last entry was removed;
            None if it was not.
        announced_leaving: Whether the start announced that it is leaving.
        doubtful: Whether the store was away recently, so that entries of
            running instances may have expired.
    """
    if entry.leaving or announced_leaving:
        # The announcement is final, whatever the entry reports.
        return EntryVerdict.CURRENT
    if current is None or current.entry.incarnation != entry.incarnation:
        gone = departed_at is not None
        return EntryVerdict.RETURNED if gone else EntryVerdict.CURRENT
    if entry.sequence < current.entry.sequence:
        return EntryVerdict.OUTDATED
    if not doubtful and _is_recreated(entry, current):
        return EntryVerdict.RETURNED
    return EntryVerdict.CURRENT


def _is_recreated(entry: UpstreamEntry, current: UpstreamInstance) -> bool:
    """Whether the entry was removed in between, which this router missed.

    A list does not show what was removed and created again before it.
    """
    known = current.entry_created
    if current.lapsed or not known or era_of(known) != era_of(entry.created):
        return False
    return entry.created > known


def held_until(
    verdict: EntryVerdict,
    departed_at: float | None,
    expiry_s: float,
    now: float,
) -> float:
    """Return until when an entry is held that its instance does not confirm.

    An entry that nobody renews expires. If it is still listed at that time,
    its instance runs and renews it.

    Args:
        verdict: Why it is held.
        departed_at: Monotonic time at which the start's last entry was removed;
            None if it was not.
        expiry_s: Seconds until an entry without renewals is removed, and the
            removal is known to this router.
        now: Monotonic time.
    """
    if verdict is EntryVerdict.RETURNED and departed_at is not None:
        # Several heartbeats may be written late, one after another.
        return max(now, departed_at + WRITE_DELAY_S) + expiry_s
    return now + expiry_s
