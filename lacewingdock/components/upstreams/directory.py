"""Support for the list of upstream instances that this router may use."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Final

from lacewingdock.components.upstreams.entry_order import (
    EntryVerdict,
    HeldEntry,
    held_until,
    judge_entry,
)
from lacewingdock.components.upstreams.instance import UpstreamInstance, mark_of
from lacewingdock.components.upstreams.signals import SignalMemory
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.lru import insert_lru
from lacewingdock.world.backend import UpstreamEntry

# Grace period in seconds for lapsed entries after the platform's store returns
# from an outage: instances write them again within about two seconds, and the
# remainder covers delivery to this router.
LAPSE_S: Final = 2.3
# Default time in seconds until an entry that is not renewed is removed and this
# router knows of it: three heartbeats of 1.2 s, and the delivery.
EXPIRY_S: Final = 3 * 1.2 + LAPSE_S
# Fewest instance ids whose newest start is remembered, instances that left
# included: a late write of an earlier start must not bring it back. More than
# restart within minutes.
MIN_STARTS: Final = 256
# Most departed starts that are remembered.
MAX_DEPARTED: Final = 4096
# Most starts remembered as replaced.
MAX_REPLACED: Final = 4096
# Seconds for which a replaced start is announced to the other routers: its
# entry expires after three heartbeats, and a router may use it until then.
ANNOUNCE_REPLACED_S: Final = 3.0

log = get_logger("upstreams")


class Directory:
    """Holds the upstream instances by id; safe to use from any task.

    Attributes:
        clock: Source of monotonic time.
        instances: The instances by id.
        newest_starts: Time of the newest start seen of each id, in Unix
            milliseconds, recently departed instances included.
        cordoned: The failure domains whose instances get no new requests.
        cold_start_s: Returns for how many seconds a service's instances are
            cold after a start.
        expiry_s: Returns the seconds until an entry that is not renewed is
            removed and this router knows of it.
        departed: Monotonic time of the removal of departed starts' entries, by
            incarnation.
        held: Listed entries that are not in effect, by id.
        signals: The signals that instances send in their answers.
        replaced: Monotonic time at which a start was found to be replaced by
            another instance at its address, by incarnation and address.
        replaced_seen: Number of replaced starts that this router found.
        replaced_told: Number of replaced starts that other routers announced.
        lock: Held while requests are added to or removed from the load of
            instances.
    """

    __slots__ = (
        "_by_mark",
        "_by_service",
        "_changing",
        "clock",
        "cold_start_s",
        "cordoned",
        "departed",
        "expiry_s",
        "held",
        "instances",
        "lock",
        "newest_starts",
        "replaced",
        "replaced_seen",
        "replaced_told",
        "signals",
    )

    def __init__(self, clock: Clock = STEADY) -> None:
        """Create an empty directory."""
        self.clock = clock
        self.instances: dict[str, UpstreamInstance] = {}
        self.newest_starts: dict[str, int] = {}
        self.cordoned: frozenset[str] = frozenset()
        self.cold_start_s: Callable[[str], float] = lambda _: 0.0
        self.signals = SignalMemory(clock)
        self.expiry_s: Callable[[], float] = lambda: EXPIRY_S
        self.departed: dict[str, float] = {}
        self.held: dict[str, HeldEntry] = {}
        self.replaced: dict[tuple[str, tuple[str, int]], float] = {}
        self.replaced_seen = 0
        self.replaced_told = 0
        self.lock = threading.Lock()
        # Held while the list changes: tasks of several mirrors and of requests
        # change it, and a cordon must reach an instance that is added at the
        # same time.
        self._changing = threading.RLock()
        self._by_service: dict[str, list[UpstreamInstance]] = {}
        self._by_mark: dict[int, UpstreamInstance] = {}

    def of_service(self, service: str) -> list[UpstreamInstance]:
        """Return the instances of a service, including leaving ones."""
        return self._by_service.get(service, [])

    def by_mark(self, mark: int) -> UpstreamInstance | None:
        """Return the instance whose incarnation has this digest, if any."""
        return self._by_mark.get(mark)

    def received_by_peer(self, mark: int, at: float) -> None:
        """Record when another router received bytes from an instance.

        Args:
            mark: Digest of the instance's incarnation.
            at: Time of it, on this router's monotonic clock.
        """
        found = self.by_mark(mark)
        if found is not None:
            found.peers_received_at = max(found.peers_received_at, at)

    def incarnation(self, name: str) -> UpstreamInstance | None:
        """Return the instance with this incarnation, if it is current."""
        found = self.instances.get(name.partition("@")[0])
        if found is None or found.entry.incarnation != name:
            return None
        return found

    def versions(self, service: str) -> set[str]:
        """Return the versions of a service's open instances."""
        return {
            instance.entry.version
            for instance in self.of_service(service)
            if instance.open
        }

    def warm(self, service: str, version: str) -> set[str]:
        """Return the ids of a version's open instances that are not cold."""
        now = self.clock.now()
        return {
            instance.entry.id
            for instance in self.of_service(service)
            if instance.open
            and instance.entry.version == version
            and not instance.is_cold(now)
        }

    def replace_all(
        self, entries: dict[str, UpstreamEntry], *, doubtful: bool
    ) -> None:
        """Replace the list: apply all entries and remove missing instances.

        Args:
            entries: The complete list of entries, by id.
            doubtful: Whether the store was away recently, so that a missing
                entry does not prove that the instance is gone.
        """
        for entry in entries.values():
            self.apply(entry, doubtful=doubtful)
        listed = self.instances.keys() | self.held.keys()
        for name in listed - entries.keys():
            self.remove(name, doubtful=doubtful)

    def apply(self, entry: UpstreamEntry, *, doubtful: bool = False) -> None:
        """Apply a new or changed entry.

        A restart under the same id counts as a new instance: requests and
        connections of the earlier start are lost, and its failures do not count
        against the new start. The last write of an earlier start may arrive
        after the entry of the later one and is ignored.

        Args:
            entry: The entry.
            doubtful: Whether the store was away recently, so that entries of
                running instances may have expired.
        """
        with self._changing:
            self._apply(entry, doubtful=doubtful)

    def _apply(self, entry: UpstreamEntry, *, doubtful: bool) -> None:
        if self._is_of_older_start(entry):
            return
        if (entry.incarnation, entry.address) in self.replaced:
            return
        verdict = judge_entry(
            entry,
            self.instances.get(entry.id),
            self.departed.get(entry.incarnation),
            announced_leaving=self.signals.announced_leaving(entry.incarnation),
            doubtful=doubtful,
        )
        if verdict is EntryVerdict.CURRENT:
            self._put(entry)
        else:
            self._hold(entry, verdict)

    def _is_of_older_start(self, entry: UpstreamEntry) -> bool:
        newest = self.newest_starts.get(entry.id, 0)
        if entry.born >= newest:
            return False
        log.info(
            "entry of an older start ignored",
            upstream=entry.id,
            born=entry.born,
        )
        if not entry.born:
            # An instance whose entries name the time of its start names it in
            # every entry, so another writer overwrote this one.
            self.leave_out(entry.id)
        return True

    def _put(self, entry: UpstreamEntry) -> None:
        """Put an entry into effect."""
        current = self.instances.get(entry.id)
        self.held.pop(entry.id, None)
        self.departed.pop(entry.incarnation, None)
        self._record_start(entry)
        if current is None or current.entry.born != entry.born:
            if current is not None:
                current.gone = True
            signals = self.signals.of(entry.incarnation)
            current = UpstreamInstance(entry, self.clock, signals)
            self.instances[entry.id] = current
            is_known = False
        else:
            is_known = True
            is_same = _is_same(current.entry, entry) and not current.lapsed
            # The time of the first write stays, though the entry may have been
            # removed and created again since.
            current.entry = replace(entry, created=current.entry.created)
            current.entry_created = entry.created
            if is_same:
                return
            current.lapsed = False
        if entry.leaving:
            self.signals.record_leaving_entry(current.signals)
        self._index()
        current.set_cold_for(entry.cold_left_s)
        log.info(
            "upstream",
            upstream=entry.id,
            service=entry.service,
            version=entry.version,
            domain=entry.failure_domain,
            leaving=current.leaving,
            cold_left_s=entry.cold_left_s,
            born=entry.born,
            sequence=entry.sequence,
            known=is_known,
        )

    def remove(self, name: str, *, doubtful: bool) -> None:
        """Remove an instance, or mark it as lapsed after an outage.

        Args:
            name: Id of the instance.
            doubtful: Whether the store was away recently; only a leaving
                instance is then removed at once.
        """
        with self._changing:
            self._remove(name, doubtful=doubtful)

    def leave_out(self, name: str) -> None:
        """Remove an instance whose entry another writer overwrote.

        This is no departure: the next entry of the instance takes effect.
        """
        with self._changing:
            self.held.pop(name, None)
            if current := self.instances.pop(name, None):
                current.gone = True
                self._index()
                log.info("upstream left out", upstream=name)

    def _hold(self, entry: UpstreamEntry, verdict: EntryVerdict) -> None:
        """Keep an entry out of effect, until it proves to be current."""
        current = self.instances.get(entry.id)
        if verdict is EntryVerdict.RETURNED and current is not None:
            if current.entry.incarnation == entry.incarnation:
                self._remove(entry.id, doubtful=False)
        elif current is not None:
            current.lapsed = False
        log.info(
            "entry held back",
            upstream=entry.id,
            reason=verdict,
            sequence=entry.sequence,
            known_sequence=current.entry.sequence if current else None,
        )
        since = now = self.clock.now()
        departed_at = self.departed.get(entry.incarnation)
        until = held_until(verdict, departed_at, self.expiry_s(), now)
        before = self.held.get(entry.id)
        if before and before.entry.incarnation == entry.incarnation:
            since, until = before.since, min(until, before.until)
        self.held[entry.id] = HeldEntry(entry, verdict, since, until)

    def returned(self) -> list[HeldEntry]:
        """Return the entries of starts that were gone, not yet confirmed."""
        with self._changing:
            return [
                one
                for one in self.held.values()
                if one.verdict is EntryVerdict.RETURNED
            ]

    def confirm(self, incarnation: str) -> None:
        """Apply a held entry whose instance says that it is not leaving.

        Args:
            incarnation: The instance's start.
        """
        with self._changing:
            held = self.held.get(incarnation.partition("@")[0])
            if held is not None and held.entry.incarnation == incarnation:
                self._put(held.entry)
                self.instances[held.entry.id].confirmed = True

    def left_starts(self) -> list[int]:
        """Return the marks of starts that left although they are listed.

        A router that started since has not observed that they left.
        """
        with self._changing:
            found = [mark_of(one.entry.incarnation) for one in self.returned()]
            return found + [
                one.mark
                for one in self.instances.values()
                if one.signals.entry_left and not one.entry.leaving
            ]

    def apply_peer_departures(self, marks: Iterable[int], router: str) -> None:
        """Hold the entries of starts that another router observed to leave.

        They are confirmed like entries that came back, so that a message alone
        takes no instance out of use.

        Args:
            marks: Digests of the starts.
            router: Name of the router.
        """
        for mark in marks:
            found = self.by_mark(mark)
            if found is None or found.confirmed or not found.open:
                continue
            log.info("upstream left", upstream=found.entry.id, told_by=router)
            with self._changing:
                self._hold(found.entry, EntryVerdict.RETURNED)

    def apply_held(self) -> None:
        """Apply the held entries that are still listed after their time."""
        with self._changing:
            now = self.clock.now()
            for held in list(self.held.values()):
                if now >= held.until:
                    self._put(held.entry)

    def _remove(self, name: str, *, doubtful: bool) -> None:
        self.held.pop(name, None)
        current = self.instances.get(name)
        if current is None or (doubtful and current.lapsed):
            return
        if doubtful and not current.leaving:
            current.lapsed = True
            log.info("upstream lapsed", upstream=name)
            return
        current.gone = True
        del self.instances[name]
        if not current.lapsed:
            # An entry that was removed in an outage tells nothing of leaving.
            start = current.entry.incarnation
            insert_lru(self.departed, start, self.clock.now(), MAX_DEPARTED)
        self._index()
        log.info("upstream gone", upstream=name, lapsed=current.lapsed)

    def drop_lapsed(self) -> None:
        """Remove the instances whose entries did not come back."""
        for name, current in list(self.instances.items()):
            if current.lapsed:
                self.remove(name, doubtful=False)

    def cordon(self, domains: frozenset[str]) -> None:
        """Set the cordoned failure domains; all others are open."""
        with self._changing:
            reopened = self.cordoned - domains
            self.cordoned = domains
            for instance in list(self.instances.values()):
                # The instance may have become cold without requests.
                if instance.entry.failure_domain in reopened:
                    self.assume_cold(instance)
            self._index()

    def assume_cold(self, instance: UpstreamInstance) -> None:
        """Treat an instance as cold from now on, as after a start."""
        instance.assume_cold(self.cold_start_s(instance.entry.service))

    def mark_replaced(
        self, instance: UpstreamInstance, answered_by: str
    ) -> None:
        """Remove a start at whose address another instance answered.

        Engines that lost power start again at their addresses under new ids,
        and the entries of their earlier starts stay for some heartbeats.
        Requests sent to those entries are rejected again and again.

        Args:
            instance: The instance that the request was sent to.
            answered_by: Id of the instance that answered.
        """
        if self._replace(instance):
            self.replaced_seen += 1
            log.info(
                "upstream replaced",
                upstream=instance.entry.id,
                answered_by=answered_by,
            )

    def apply_peer_replacements(
        self, marks: Iterable[int], router: str
    ) -> None:
        """Remove starts that another router announced as replaced.

        Args:
            marks: Digests of the starts.
            router: Name of the router.
        """
        for mark in marks:
            found = self.by_mark(mark)
            if found is not None and self._replace(found):
                self.replaced_told += 1
                log.info(
                    "upstream replaced", upstream=found.entry.id, told_by=router
                )

    def recently_replaced(self) -> list[int]:
        """Return the marks of replaced starts still to be announced."""
        since = self.clock.now() - ANNOUNCE_REPLACED_S
        found = []
        with self._changing:
            # The latest are at the end.
            for (start, _), at in reversed(self.replaced.items()):
                if at <= since:
                    break
                found.append(mark_of(start))
        return found

    def _replace(self, instance: UpstreamInstance) -> bool:
        """Remove a start for good; return False if it was removed before."""
        entry = instance.entry
        key = (entry.incarnation, entry.address)
        with self._changing:
            if key in self.replaced:
                return False
            insert_lru(self.replaced, key, self.clock.now(), MAX_REPLACED)
            instance.gone = True
            if self.instances.get(entry.id) is instance:
                del self.instances[entry.id]
            self._index()
        return True

    def _record_start(self, entry: UpstreamEntry) -> None:
        if not entry.born:
            return
        most = max(MIN_STARTS, 2 * len(self.instances))
        insert_lru(self.newest_starts, entry.id, entry.born, most)

    def _index(self) -> None:
        index: dict[str, list[UpstreamInstance]] = {}
        # The key holds the service too: an entry that no instance wrote may
        # name any address, and must not hide an instance of another service.
        latest: dict[tuple[str, str, int], UpstreamEntry] = {}
        instances = list(self.instances.values())
        for instance in instances:
            entry = instance.entry
            index.setdefault(entry.service, []).append(instance)
            place = (entry.service, *entry.address)
            if _is_later(entry, latest.setdefault(place, entry)):
                latest[place] = entry
        for instance in instances:
            entry = instance.entry
            newest = latest[entry.service, *entry.address]
            instance.superseded = _is_later(newest, entry)
            instance.cordoned = entry.failure_domain in self.cordoned
        self._by_service = index
        self._by_mark = {instance.mark: instance for instance in instances}


def _is_same(current: UpstreamEntry, entry: UpstreamEntry) -> bool:
    """Whether two entries are equal but for the time of the first write."""
    return replace(entry, created=current.created) == current


def _is_later(entry: UpstreamEntry, other: UpstreamEntry) -> bool:
    """Whether an entry belongs to a later start than another at its address.

    The times of the starts decide where both entries name them, else the times
    at which the entries were first written.
    """
    if entry.born and other.born:
        return entry.born > other.born
    return entry.created > other.created
