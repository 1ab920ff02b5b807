"""Support for cordoned failure domains, whose instances get no new work.

An operator cordons a failure domain before it is worked on, and takes that
back afterwards. Requests that run there end there; nothing else goes there,
also where no other failure domain is left.
"""

from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.history import era_of, shown
from lacewingdock.platform.objects import Change, Snapshot

log = get_logger("cordons")


class CordonListener:
    """Takes the cordons from their mirror; each is named like its domain.

    Only the platform's objects say what is cordoned, never what another
    process tells by itself. What they contain says nothing, so an object that
    can't be read counts too.

    A cordon that goes missing when the store is back from a copy may have been
    lifted, or the store may have lost it. It stands until that is known:
    without a failure domain for seconds callers wait a little, and work in one
    that is being emptied breaks a promise. What the store shows counts at once,
    also where it lost that the cordon was lifted.

    Attributes:
        directory: Whose instances are cordoned.
        domains: The cordoned failure domains.
        doubted: Those of them that the store does not show.
        era: Era of the last list.
    """

    __slots__ = ("directory", "domains", "era", "unconfirmed")

    def __init__(self, directory: Directory) -> None:
        """Start without cordons."""
        self.directory = directory
        self.domains: frozenset[str] = frozenset()
        self.unconfirmed: frozenset[str] = frozenset()
        self.era = 0

    def replace(self, snapshot: Snapshot, *, doubtful: bool) -> None:
        """Take the whole list in; cordons do not lapse in an outage."""
        listed = frozenset(snapshot.objects)
        before, self.era = self.era, era_of(snapshot.revision)
        lost = self.unconfirmed if self.era == before else self.domains
        self.unconfirmed = lost - listed if doubtful else frozenset()
        self._set(listed | self.unconfirmed, snapshot.revision)

    def change(self, change: Change, *, doubtful: bool) -> None:
        """Take one change in."""
        stored = change.object
        domain = frozenset({stored.name})
        if change.unlisted and doubtful:
            self.unconfirmed |= domain & self.domains
            return
        self.unconfirmed -= domain
        is_lifted = change.removed
        domains = self.domains - domain if is_lifted else self.domains | domain
        self._set(domains, stored.revision)

    def lift_unconfirmed(self) -> None:
        """Lift what the store does not show, once that is no more in doubt."""
        if self.unconfirmed:
            domains, self.unconfirmed = (
                self.domains - self.unconfirmed,
                frozenset(),
            )
            self._set(domains)

    def _set(
        self, domains: frozenset[str], revision: int | None = None
    ) -> None:
        if domains == self.domains:
            return
        log.info(
            "cordons",
            domains=sorted(domains),
            added=sorted(domains - self.domains),
            lifted=sorted(self.domains - domains),
            revision=shown(revision),
        )
        self.domains = domains
        self.directory.cordon(domains)
