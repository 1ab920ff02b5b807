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
    """Applies the mirrored entries of upstream instances to the directory.

    An entry that cannot be read was not written by an instance and adds none.
    Where it overwrote a valid entry, that instance is removed until it writes
    its next entry.

    Attributes:
        directory: The directory that is updated.
        faulty: Names of the entries left out, each logged once.
    """

    __slots__ = ("directory", "faulty")

    def __init__(self, directory: Directory) -> None:
        """Create a listener that updates a directory."""
        self.directory = directory
        self.faulty: set[str] = set()

    def replace(self, snapshot: Snapshot, *, doubtful: bool) -> None:
        """Replace the list by a snapshot.

        Args:
            snapshot: All stored entries.
            doubtful: As for `Directory.replace_all`.
        """
        self.faulty &= snapshot.objects.keys()
        entries: dict[str, UpstreamEntry] = {}
        for stored in snapshot.objects.values():
            if entry := self._read(stored):
                entries[entry.id] = entry
        for name in self.faulty:
            self.directory.leave_out(name)
        self.directory.replace_all(entries, doubtful=doubtful)

    def change(self, change: ObjectChange, *, doubtful: bool) -> None:
        """Apply one change.

        Args:
            change: A stored or removed entry.
            doubtful: As for `Directory.remove`.
        """
        name = change.object.name
        if change.removed:
            self.faulty.discard(name)
            self.directory.remove(name, doubtful=doubtful)
        elif entry := self._read(change.object):
            self.directory.apply(entry, doubtful=doubtful)
        else:
            self.directory.leave_out(name)

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
