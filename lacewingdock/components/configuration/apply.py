"""Support for bringing manifests into force."""

from dataclasses import dataclass
from typing import Any, Final

import msgspec

from lacewingdock.const import (
    COLLECTION_CONFIG,
    KIND_CASCADE,
    KIND_MODEL,
    KIND_OPERATOR,
    KIND_QUARANTINE,
    KIND_SERVICE,
    KIND_VERSION,
    KIND_WORKSPACE,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.store import ObjectStore, Stored
from lacewingdock.world.manifest import Manifest, check_references

# What is referred to goes before what refers to it, so that no daemon ever
# sees a reference to nothing, also when an apply is interrupted.
ORDER: Final = (
    KIND_VERSION,
    KIND_MODEL,
    KIND_CASCADE,
    KIND_SERVICE,
    KIND_WORKSPACE,
    KIND_QUARANTINE,
    KIND_OPERATOR,
)


@dataclass(slots=True)
class Change:
    """One item that a manifest would change.

    Attributes:
        key: "KIND/NAME".
        before: The object as it is; None when it is new.
        after: The object as the manifest has it.
        revision: Revision that the change expects; once made, its own.
    """

    key: str
    before: Any
    after: Any
    revision: int

    def __str__(self) -> str:
        """Return a line for people."""
        verb = "add" if self.before is None else "change"
        return f"{verb} {self.key}"

    def lines(self) -> list[str]:
        """Return lines for people that show each field's change."""
        before, after = self.before or {}, self.after
        names = [n for n in {**before, **after} if _differ(n, before, after)]
        return [str(self)] + [
            f"  {name}: {_shown(name, before)} -> {_shown(name, after)}"
            for name in names
        ]


def _differ(name: str, before: Any, after: Any) -> bool:
    return _shown(name, before) != _shown(name, after)


def _shown(name: str, fields: Any) -> str:
    if name not in fields:
        return "not set"
    return msgspec.json.encode(fields[name]).decode()


def diff_manifest(store: ObjectStore, manifest: Manifest) -> list[Change]:
    """Compare a manifest with what is in force.

    Items that the manifest does not name stay as they are.

    Raises:
        LacewingdockError: BAD_MANIFEST when the two together have faults;
            PLATFORM_UNAVAILABLE.
    """
    listing = store.list_all(COLLECTION_CONFIG, "apply")
    known = {stored.name: stored for stored in listing.objects}
    merged = {s.name: s.value for s in known.values() if s.value is not None}
    merged.update(manifest)
    if faults := check_references(merged):
        raise LacewingdockError(ErrorKind.BAD_MANIFEST, "; ".join(faults))
    changes = []
    for key, after in manifest.items():
        stored = known.get(key, Stored(key, 0))
        if stored.value != after:
            changes.append(Change(key, stored.value, after, stored.revision))
    return sorted(changes, key=lambda c: ORDER.index(c.key.partition("/")[0]))


def apply_manifest(store: ObjectStore, manifest: Manifest) -> list[Change]:
    """Bring a manifest into force.

    Each item is a conditional update on what was compared, so another
    operator's change in between is never overwritten unseen.

    Returns:
        The changes made.

    Raises:
        LacewingdockError: As `diff_manifest`; CONFLICT when another change
            came first.
    """
    changes = diff_manifest(store, manifest)
    for change in changes:
        written = store.put(
            COLLECTION_CONFIG,
            change.key,
            msgspec.to_builtins(change.after),
            change.revision,
            "apply",
        )
        change.revision = written.revision
    return changes
