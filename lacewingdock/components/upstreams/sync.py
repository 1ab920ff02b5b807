"""Support for keeping the directory in step with the platform's list."""

from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.documents import read_instance
from lacewingdock.platform.history import format_revision
from lacewingdock.platform.objects import ObjectChange, Snapshot, StoredObject
from lacewingdock.world.backend import UpstreamEntry

log = get_logger("upstreams")


class InstanceListener:
    """Takes the entries of upstream instances from their mirror.

    An entry that no instance wrote names none that could be used, also where
    it stands in place of a good one; the instance's next entry brings it back.

    Attributes:
        directory: Where they go.
        faulty: Names of the entries that were left out, each logged once.
    """

    __slots__ = ("directory", "faulty")

    def __init__(self, directory: Directory) -> None:
        """Take where the entries go."""
        self.directory = directory
        self.faulty: set[str] = set()

    def replace(self, snapshot: Snapshot, *, doubtful: bool) -> None:
        """Take the whole list in."""
        self.faulty &= snapshot.objects.keys()
        entries: dict[str, UpstreamEntry] = {}
        for stored in snapshot.objects.values():
            if entry := self._read(stored):
                entries[entry.id] = entry
        for name in self.faulty:
            self.directory.remove(name, doubtful=False)
        self.directory.replace_all(entries, doubtful=doubtful)

    def change(self, change: ObjectChange, *, doubtful: bool) -> None:
        """Take one change in."""
        name = change.object.name
        if change.removed:
            self.faulty.discard(name)
            self.directory.remove(name, doubtful=doubtful)
        elif entry := self._read(change.object):
            self.directory.take(entry)
        else:
            self.directory.remove(name, doubtful=False)

    def _read(self, stored: StoredObject) -> UpstreamEntry | None:
        try:
            entry = read_instance(stored)
        except LacewingdockError as error:
            if stored.name not in self.faulty:
                log.error(
                    "faulty entry left out",
                    upstream=stored.name,
                    revision=format_revision(stored.revision),
                    error=str(error),
                )
            self.faulty.add(stored.name)
            return None
        self.faulty.discard(stored.name)
        return entry
