"""Support for a lease: an object with a holder and a fencing number."""

import time
from dataclasses import dataclass, replace
from typing import Protocol

import msgspec

from lacewingdock.const import COLLECTION_LEASES
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.store import Stored


@dataclass(slots=True, kw_only=True)
class LeaseRecord:
    """A lease as stored in the platform.

    Attributes:
        holder: Name of the instance that holds the lease; empty when the
            lease was released.
        incarnation: Incarnation of the holder's process.
        address: "IP:PORT" of the holder's link port, for probes.
        fencing: Fencing number; increases by one with each holder and never
            decreases.
        renewals: Number of renewals by this holder.
    """

    holder: str = ""
    incarnation: str = ""
    address: str = ""
    fencing: int = 0
    renewals: int = 0


class LeaseStore(Protocol):
    """The operations of `ObjectStore` that a lease uses."""

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Return an object with its revision."""

    def put(
        self,
        collection: str,
        name: str,
        value: object,
        expect: int,
        purpose: str,
    ) -> Stored:
        """Write an object if its revision equals `expect`."""


class Lease:
    """The state of a lease in one process.

    `held` may be out of date, because the process may have been frozen while
    another took over. Correctness depends neither on `held` nor on any clock:
    each step of a holder is a conditional update of an object that carries
    `fencing`, or an order that carries `fencing` and is checked by its
    receiver.

    Attributes:
        name: Name of the lease.
        store: The platform's object store.
        me: Holder, incarnation and address of this process.
        record: The last record read or written.
        revision: Revision of `record` in the platform.
        held: Whether `record` names this process as the holder.
        unsettled: Whether the outcome of a write is unknown; `read` resolves
            it.
        seen_at: Monotonic time when `revision` was first observed.
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
        """Build a lease that is not held and has not been read yet."""
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
        """The highest fencing number observed."""
        return self.record.fencing

    def read(self) -> None:
        """Read the lease, which resolves writes with an unknown outcome.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        stored = self.store.get(COLLECTION_LEASES, self.name, "lease-read")
        self._apply(stored, decode_lease(stored))
        self.unsettled = False

    def take(self) -> None:
        """Acquire the lease with a fencing number above all earlier ones.

        A single conditional update of the last revision read: it fails if
        another process acquired or renewed the lease since.

        Raises:
            LacewingdockError: CONFLICT when another write came first;
                PLATFORM_UNAVAILABLE when the outcome is unknown until the
                next `read`.
        """
        self._put(replace(self.me, fencing=self.record.fencing + 1))

    def renew(self) -> None:
        """Renew the lease, which shows that the holder reaches the platform.

        Raises:
            LacewingdockError: See `take`.
        """
        self._put(replace(self.record, renewals=self.record.renewals + 1))

    def leave(self) -> None:
        """Release the lease, so that another process can acquire it at once.

        Raises:
            LacewingdockError: See `take`.
        """
        self._put(LeaseRecord(fencing=self.record.fencing))

    def _put(self, record: LeaseRecord) -> None:
        value = msgspec.to_builtins(record)
        try:
            stored = self.store.put(
                COLLECTION_LEASES, self.name, value, self.revision, "lease"
            )
        except LacewingdockError:
            # The response may have been lost after the write took effect. The
            # next write would then conflict with this process's own revision,
            # so the lease has to be read back first.
            self.unsettled = True
            raise
        self._apply(stored, record)

    def _apply(self, stored: Stored, record: LeaseRecord) -> None:
        if stored.revision < self.revision:
            return
        if stored.revision > self.revision:
            self.seen_at = time.monotonic()
        # A store that was restored from a copy has lost the latest holders.
        # A fencing number that one of them used must not be issued again.
        fencing = max(record.fencing, self.record.fencing)
        self.revision = stored.revision
        self.record = replace(record, fencing=fencing)
        self.held = (
            bool(record.incarnation)
            and record.incarnation == self.me.incarnation
        )


def decode_lease(stored: Stored) -> LeaseRecord:
    """Decode a stored object; an empty one is a lease without a holder.

    Raises:
        LacewingdockError: INTERNAL when the object is not a valid lease.
    """
    if not stored.value:
        return LeaseRecord()
    try:
        return msgspec.convert(stored.value, LeaseRecord)
    except msgspec.ValidationError as error:
        raise LacewingdockError(
            ErrorKind.INTERNAL, f"lease {stored.name}: {error}"
        ) from error
