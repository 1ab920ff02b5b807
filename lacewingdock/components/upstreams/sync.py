"""Support for keeping the directory in step with the platform's list."""

from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.documents import read_instance
from lacewingdock.platform.object_api import Change, Snapshot, StoredObject
from lacewingdock.world.backend import UpstreamEntry

log = get_logger("upstreams")


class InstanceListener:
    """Takes the entries of upstream instances from their mirror.

    Attributes:
        directory: Where they go.
    """

    __slots__ = ("directory",)

    def __init__(self, directory: Directory) -> None:
        """Take where the entries go."""
        self.directory = directory

    def replace(self, snapshot: Snapshot, *, doubtful: bool) -> None:
        """Take the whole list in."""
        entries: dict[str, UpstreamEntry] = {}
        for stored in snapshot.objects.values():
            if entry := _read(stored):
                entries[entry.id] = entry
        self.directory.replace_all(entries, doubtful=doubtful)

    def change(self, change: Change, *, doubtful: bool) -> None:
        """Take one change in."""
        if change.removed:
            self.directory.remove(change.object.name, doubtful=doubtful)
        elif entry := _read(change.object):
            self.directory.take(entry)


def _read(stored: StoredObject) -> UpstreamEntry | None:
    """Decode an entry; one odd entry must not hide all the others."""
    try:
        return read_instance(stored)
    except LacewingdockError as error:
        log.error(
            "faulty entry left out", upstream=stored.name, error=str(error)
        )
        return None
