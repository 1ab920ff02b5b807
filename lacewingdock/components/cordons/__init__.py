"""Cordoned failure domains, whose instances get no new requests.

An operator cordons a failure domain before maintenance and lifts the cordon
afterwards. Running requests complete there; no other request is sent there,
even if no other failure domain is left.
"""

from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.history import era_of, format_revision
from lacewingdock.platform.objects import ObjectChange, Snapshot

log = get_logger("cordons")


class CordonListener:
    """Applies the cordons in the store; each is named after its domain.

    Only objects in the platform's store cordon a domain, never messages of
    other processes. Their content is ignored, so an object that cannot be
    parsed counts as well.

    If a cordon is missing after the store was restored from a backup, either
    it was lifted or the store lost it. The cordon stays in effect until this is
    resolved: a failure domain that is unavailable for some seconds makes
    callers wait a little, but new work in a domain under maintenance breaks a
    guarantee. A cordon that the store does list applies at once, even if the
    store lost the removal of that cordon.

    Attributes:
        directory: Directory whose instances are cordoned.
        domains: The cordoned failure domains.
        unconfirmed: Cordoned failure domains that the restored store does not
            list.
        era: Era of the last list; it changes when the store is restored.
    """

    __slots__ = ("directory", "domains", "era", "unconfirmed")

    def __init__(self, directory: Directory) -> None:
        """Start with no domain cordoned."""
        self.directory = directory
        self.domains: frozenset[str] = frozenset()
        self.unconfirmed: frozenset[str] = frozenset()
        self.era = 0

    def replace(self, snapshot: Snapshot, *, doubtful: bool) -> None:
        """Apply a complete list; cordons do not expire in an outage."""
        listed = frozenset(snapshot.objects)
        before, self.era = self.era, era_of(snapshot.revision)
        lost = self.unconfirmed if self.era == before else self.domains
        self.unconfirmed = lost - listed if doubtful else frozenset()
        self._set(listed | self.unconfirmed, snapshot.revision)

    def change(self, change: ObjectChange, *, doubtful: bool) -> None:
        """Apply one change; if doubtful, an unlisted cordon stays."""
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
        """Lift the unconfirmed cordons, once the store is complete again."""
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
            revision=format_revision(revision),
        )
        self.domains = domains
        self.directory.cordon(domains)
