"""Support for the quarantines stored in the platform's configuration."""

import time
from dataclasses import replace
from typing import Any, Final

import msgspec

from lacewingdock.const import COLLECTION_CONFIG, KIND_QUARANTINE
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.store import ABSENT, ObjectStore
from lacewingdock.world.objects import Quarantine

PREFIX: Final = f"{KIND_QUARANTINE}/"


def list_quarantines(store: ObjectStore) -> dict[str, Quarantine]:
    """Return the quarantines stored in the platform, by fingerprint.

    Raises:
        LacewingdockError: PLATFORM_UNAVAILABLE.
    """
    listing = store.list_all(COLLECTION_CONFIG, "quarantine", PREFIX)
    return {
        stored.name.removeprefix(PREFIX): msgspec.convert(
            stored.value, Quarantine
        )
        for stored in listing.objects
        if stored.value is not None
    }


def release_quarantine(store: ObjectStore, fingerprint: str) -> int:
    """Release a quarantined request, so that it may run again.

    The crashes named in the quarantine no longer count against the request.
    If it crashes upstreams again, it is quarantined again.

    Returns:
        The configuration revision from which the request may run.

    Raises:
        LacewingdockError: NOT_FOUND when the request isn't quarantined;
            CONFLICT when another change came first; PLATFORM_UNAVAILABLE.
    """
    key = PREFIX + fingerprint
    stored = store.get(COLLECTION_CONFIG, key, "quarantine")
    if stored.revision == ABSENT or stored.value is None:
        raise LacewingdockError(
            ErrorKind.NOT_FOUND, f"{fingerprint} is not quarantined"
        )
    return store.put(
        COLLECTION_CONFIG,
        key,
        released_value(stored.value),
        stored.revision,
        "quarantine",
    ).revision


def released_value(value: Any) -> Any:
    """Return the stored value of a quarantine with its state released."""
    item = msgspec.convert(value, Quarantine)
    return msgspec.to_builtins(replace(item, state="released"))


def write_quarantine(
    store: ObjectStore, fingerprint: str, item: Quarantine
) -> None:
    """Store a quarantine in the platform, so that it outlives every daemon.

    Crashes named by an earlier quarantine of the same request are kept, so
    that a release continues to excuse the request of them.

    Raises:
        LacewingdockError: CONFLICT when another change came first;
            PLATFORM_UNAVAILABLE.
    """
    key = PREFIX + fingerprint
    stored = store.get(COLLECTION_CONFIG, key, "quarantine")
    if stored.value is not None:
        stored_item = msgspec.convert(stored.value, Quarantine)
        if set(item.crashes) <= set(stored_item.crashes):
            return
        crashes = sorted({*stored_item.crashes, *item.crashes})
        item = replace(item, crashes=crashes)
    store.put(
        COLLECTION_CONFIG,
        key,
        msgspec.to_builtins(item),
        stored.revision,
        "quarantine",
    )


def clear_expired(store: ObjectStore) -> int:
    """Delete expired quarantines; return how many were deleted.

    Raises:
        LacewingdockError: CONFLICT or PLATFORM_UNAVAILABLE.
    """
    now, count = time.time(), 0
    listing = store.list_all(COLLECTION_CONFIG, "quarantine", PREFIX)
    for stored in listing.objects:
        if stored.value is None:
            continue
        if msgspec.convert(stored.value, Quarantine).expires < now:
            store.put(
                COLLECTION_CONFIG,
                stored.name,
                None,
                stored.revision,
                "quarantine",
            )
            count += 1
    return count
