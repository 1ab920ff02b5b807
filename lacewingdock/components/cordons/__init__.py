"""Support for cordoned failure domains, whose instances get no new work.

An operator cordons a failure domain before it is worked on, and takes that
back afterwards. Requests that run there end there; nothing else goes there,
also where no other failure domain is left.
"""

from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.history import shown
from lacewingdock.platform.objects import Change, Snapshot

log = get_logger("cordons")


class CordonListener:
    """Takes the cordons from their mirror; each is named like its domain.

    Only the platform's objects say what is cordoned, never what another
    process tells by itself. What they contain says nothing, so an object that
    can't be read counts too.

    Attributes:
        directory: Whose instances are cordoned.
        domains: The cordoned failure domains.
    """

    __slots__ = ("directory", "domains")

    def __init__(self, directory: Directory) -> None:
        """Start without cordons."""
        self.directory = directory
        self.domains: frozenset[str] = frozenset()

    def replace(self, snapshot: Snapshot, *, doubtful: bool) -> None:
        """Take the whole list in; cordons do not lapse in an outage."""
        del doubtful
        self._set(frozenset(snapshot.objects), snapshot.revision)

    def change(self, change: Change, *, doubtful: bool) -> None:
        """Take one change in."""
        del doubtful
        stored = change.object
        domain = frozenset({stored.name})
        is_lifted = change.removed
        domains = self.domains - domain if is_lifted else self.domains | domain
        self._set(domains, stored.revision)

    def _set(self, domains: frozenset[str], revision: int) -> None:
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
