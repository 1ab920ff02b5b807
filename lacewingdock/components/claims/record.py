"""Support for claims as they are kept in the platform."""

import hashlib
import time
from dataclasses import dataclass, field

from lacewingdock.components.claims.const import STATE_CLAIMED
from lacewingdock.links.messages import Attempt


@dataclass(slots=True)
class Record:
    """One claim, or its outcome, which replaces it.

    Attributes:
        key: Digest of workspace and idempotency key.
        body: Digest of method, path and body.
        state: "claimed", "done" or "not_run".
        at: Wall-clock seconds; only for forgetting old claims.
        status: HTTP status of the outcome.
        content_type: Media type of the outcome.
        answer: The outcome's body when it is small, else None.
    """

    key: str
    body: str
    state: str = STATE_CLAIMED
    at: float = field(default_factory=time.time)
    status: int = 0
    content_type: str = ""
    answer: bytes | None = None


@dataclass(slots=True)
class SegmentRef:
    """An object that holds older records, as the head names it.

    Attributes:
        name: Name of the object.
        size: Bytes of its JSON.
        newest: Wall-clock seconds of its newest record.
    """

    name: str
    size: int
    newest: float


@dataclass(slots=True)
class Head:
    """The one object of a partition: who is home, and its latest claims.

    Home and claims share an object so that one conditional update checks
    both: a home that was replaced can't commit a claim any more.

    Attributes:
        home: Instance that is home; empty when it left in good order.
        incarnation: Which start of that instance.
        address: Its link port, "IP:PORT".
        term: Grows with each change of home.
        records: The latest records.
        segments: The objects that hold older records, the oldest first.
        left: Instance that was home and left in good order.
        partitions: Number of partitions that the keys are spread over.
    """

    home: str
    incarnation: str
    address: str
    term: int
    records: list[Record] = field(default_factory=list)
    segments: list[SegmentRef] = field(default_factory=list)
    left: str = ""
    partitions: int = 0


def key_digest(workspace: str, key: str) -> str:
    """Digest that names a caller's key, apart from other workspaces'."""
    return hashlib.sha256(f"{workspace}\0{key}".encode()).hexdigest()[:32]


def body_digest(attempt: Attempt) -> str:
    """Digest that tells whether a repeated request is the same."""
    parts = f"{attempt.method} {attempt.path}\0".encode() + attempt.body
    return hashlib.sha256(parts).hexdigest()[:32]


def partition_of(workspace: str, key: str, partitions: int) -> int:
    """Return the partition that a caller's key belongs to."""
    return int(key_digest(workspace, key)[:8], 16) % partitions
