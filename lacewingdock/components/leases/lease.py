"""Support for one lease: an object with a holder and a fencing number."""

import time
from dataclasses import dataclass, replace
from typing import Protocol

import msgspec

from lacewingdock.const import COLLECTION_LEASES
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.store import Stored


@dataclass(slots=True, kw_only=True)
class LeaseRecord:
    """A lease as the platform keeps it.

    Attributes:
        holder: Instance that holds it; empty when it was given up.
        incarnation: Incarnation of the holder's process.
        address: "IP:PORT" of the holder's link port, for probes.
        fencing: Grows by one with each holder and never falls.
        renewals: Renewals by this holder.
    """

    holder: str = ""
    incarnation: str = ""
    address: str = ""
    fencing: int = 0
    renewals: int = 0


class LeaseStore(Protocol):
    """What a lease needs of the platform; `ObjectStore` has it."""

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Read an object."""

    def put(
        self,
        collection: str,
        name: str,
        value: object,
        expect: int,
        purpose: str,
    ) -> Stored:
        """Write an object if its revision is the expected one."""


class Lease:
    """A lease as one process sees it.

    `held` is a belief: the process may have been frozen while another took
    over. Nothing rests on it, nor on any clock: a holder's step is a
    conditional update of an object that carries `fencing`, or an order that
    carries it and is checked by whoever carries it out.

    Attributes:
        name: Name of the lease.
        store: The platform.
        me: Holder, incarnation and address of this process.
        record: The lease as last seen.
        revision: Its revision in the platform.
        held: Whether this process believes to hold it.
        unsettled: Whether a write's effect is not known.
        seen_at: Monotonic time when `revision` was first seen.
    """

    __slots__ = (
        "held",
        "me",
        "name",
        "record",
        "revision",
        "seen_at",
        "store",
        "unsettled",
    )

    def __init__(self, name: str, store: LeaseStore, me: LeaseRecord) -> None:
        """Start without the lease."""
        self.name = name
        self.store = store
        self.me = me
        self.record = LeaseRecord()
        self.revision = 0
        self.held = False
        self.unsettled = False
        self.seen_at = time.monotonic()

    @property
    def fencing(self) -> int:
        """The fencing number of the last holder seen."""
        return self.record.fencing

    def read(self) -> None:
        """Read the lease; it settles what earlier writes did.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        stored = self.store.get(COLLECTION_LEASES, self.name, "lease-read")
        self._apply(stored, decode_lease(stored))
        self.unsettled = False

    def take(self) -> None:
        """Become the holder, with a fencing number above all earlier ones.

        One conditional update on what was last read: if another took the
        lease or renewed it since, this fails.

        Raises:
            LacewingdockError: CONFLICT when another write came first;
                PLATFORM_UNAVAILABLE, settled by the next `read`.
        """
        self._put(replace(self.me, fencing=self.record.fencing + 1))

    def renew(self) -> None:
        """Show the candidates that the holder reaches the platform.

        Raises:
            LacewingdockError: As `take`.
        """
        self._put(replace(self.record, renewals=self.record.renewals + 1))

    def leave(self) -> None:
        """Give the lease up, for another to take at once.

        Raises:
            LacewingdockError: As `take`.
        """
        self._put(LeaseRecord(fencing=self.record.fencing))

    def _put(self, record: LeaseRecord) -> None:
        value = msgspec.to_builtins(record)
        try:
            stored = self.store.put(
                COLLECTION_LEASES, self.name, value, self.revision, "lease"
            )
        except LacewingdockError:
            # The answer may have been lost after the write took effect, and
            # the next write would then meet its own revision as a conflict.
            # Only reading back tells.
            self.unsettled = True
            raise
        self._apply(stored, record)

    def _apply(self, stored: Stored, record: LeaseRecord) -> None:
        if stored.revision < self.revision:
            return
        if stored.revision > self.revision:
            self.seen_at = time.monotonic()
        # A store that is back from a copy has lost the last holders; a number
        # that one of them had must not be given to another.
        fencing = max(record.fencing, self.record.fencing)
        self.revision = stored.revision
        self.record = replace(record, fencing=fencing)
        self.held = (
            bool(record.incarnation)
            and record.incarnation == self.me.incarnation
        )


def decode_lease(stored: Stored) -> LeaseRecord:
    """Return the lease that an object holds.

    Raises:
        LacewingdockError: INTERNAL when the object is no lease.
    """
    if not stored.value:
        return LeaseRecord()
    try:
        return msgspec.convert(stored.value, LeaseRecord)
    except msgspec.ValidationError as error:
        raise LacewingdockError(
            ErrorKind.INTERNAL, f"lease {stored.name}: {error}"
        ) from error
