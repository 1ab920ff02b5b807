"""Support for the messages exchanged between daemons over links."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Hello:
    """Identity of a peer; the first frame from either side.

    Attributes:
        instance: Name of the sending instance.
        incarnation: Identifier unique to each start of the process.
        role: "entry" or "sidecar".
        failure_domain: Failure domain of the sender.
        nonce: 16 random bytes that the other side signs.
        key_id: Id of the link key that signs.
        mac: Signature of the listener over the dialer's nonce; empty in the
            hello of the dialer.
    """

    instance: str
    incarnation: str
    role: str
    failure_domain: str
    nonce: bytes
    key_id: str = ""
    mac: bytes = b""


@dataclass(slots=True)
class Proof:
    """Signature of the dialer over the listener's nonce.

    Attributes:
        mac: Id of the key, a space and the signature.
        sent_ms: Sender's time in milliseconds since boot; 0 if unknown.
    """

    mac: bytes
    sent_ms: int = 0


@dataclass(slots=True)
class Attempt:
    """Request that a sidecar is to run on its upstream.

    Attributes:
        attempt: Id of the attempt, which the frames of the answer carry.
        request: Id of the caller's request, for bills and logs.
        workspace: Workspace of the caller.
        target: Name of the model version or plain service.
        method: HTTP method for the upstream.
        path: Path and query for the upstream.
        body: Body of the request.
        content_type: Media type of the body.
        key: Idempotency key of the caller, or empty.
        priority: Priority; 0 is the highest.
        deadline_ms: Milliseconds left until the deadline at receipt.
        repeatable: Whether the request is idempotent.
        traceparent: W3C trace context, or empty.
        revision: Configuration revision of the entry's decision.
        resumable: Whether the answer is kept after the caller disconnects.
        step: Index of the cascade's step, for bills.
        ordinal: Number of earlier attempts of the step, for bills.
        sent_ms: Sender's time of sending in milliseconds since boot; 0 if
            unknown.
    """

    attempt: str
    request: str
    workspace: str
    target: str
    method: str
    path: str
    body: bytes
    content_type: str = "application/json"
    key: str = ""
    priority: int = 1
    deadline_ms: int = 60_000
    repeatable: bool = True
    traceparent: str = ""
    revision: int = 0
    resumable: bool = False
    step: int = 0
    ordinal: int = 0
    sent_ms: int = 0


@dataclass(slots=True)
class Chunk:
    """One chunk of an answer.

    Attributes:
        attempt: Id of the attempt.
        offset: Index of the chunk in the answer, from 0.
        data: Data of one server-sent event, or bytes of a body.
    """

    attempt: str
    offset: int
    data: bytes


@dataclass(slots=True)
class Finish:
    """End of a complete answer.

    Attributes:
        attempt: Id of the attempt.
        chunks: Number of chunks of the complete answer.
        status: HTTP status from the upstream.
        content_type: Media type of the answer.
        input_tokens: Number of input tokens; 0 for services.
        output_tokens: Number of generated tokens; 0 for services.
    """

    attempt: str
    chunks: int
    status: int = 200
    content_type: str = "application/json"
    input_tokens: int = 0
    output_tokens: int = 0


@dataclass(slots=True)
class Refusal:
    """End of an attempt without a complete answer.

    Attributes:
        attempt: Id of the attempt.
        code: An `ErrorKind`.
        ran: Whether the request ran: "no", "yes" or "unknown".
        detail: Human-readable description of the error.
        retry_after_ms: Milliseconds after which a retry can succeed; -1 if a
            retry cannot succeed.
        revision: Configuration revision in force at the sidecar; 0 if not
            applicable.
    """

    attempt: str
    code: str
    ran: str
    detail: str
    retry_after_ms: int = -1
    revision: int = 0


@dataclass(slots=True)
class Resume:
    """Request for the rest of an answer over this link.

    Attributes:
        attempt: Id that the following frames must carry.
        original: Id of the original attempt.
        workspace: Workspace of the caller, which must match the attempt.
        offset: Index of the first requested chunk.
        incarnation: Incarnation of the sidecar that the attempt was sent
            to; empty if unknown.
        age_ms: Milliseconds since the attempt was sent.
    """

    attempt: str
    original: str
    workspace: str
    offset: int
    incarnation: str = ""
    age_ms: int = 0


@dataclass(slots=True)
class Cancel:
    """Notice that no recipient waits for an attempt any longer.

    Attributes:
        attempt: Id that the frames of the attempt carry over this link.
        keep: Whether the rest of the answer may still be requested.
        ended: Whether the end was received, so that the answer need not be
            kept.
        left: Whether the caller disconnected; the generated output is billed
            to the caller.
        settle: Whether the sidecar must send a refusal once the attempt can
            no longer run. Set when the entry abandoned it without its end.
    """

    attempt: str
    keep: bool = False
    ended: bool = False
    left: bool = False
    settle: bool = False


@dataclass(slots=True)
class Status:
    """Status of a sidecar; sent on each change and on connect.

    Attributes:
        targets: Loaded versions, or the service.
        running: Number of requests running on the upstream.
        queued: Number of queued requests.
        capacity: Number of requests that the upstream runs concurrently.
        leaving: Whether the sidecar drains and accepts no new requests.
        homes: Claim partitions owned, each as "SERVICE/PARTITION@TERM".
    """

    targets: list[str] = field(default_factory=list)
    running: int = 0
    queued: int = 0
    capacity: int = 0
    leaving: bool = False
    homes: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Beat:
    """Heartbeat of a link.

    Attributes:
        running: Number of requests running on the sender's upstream.
        queued: Number of requests queued at the sender.
        revision: Configuration revision in force at the sender.
        sent_ms: Sender's time in milliseconds since boot; 0 if unknown.
    """

    running: int = 0
    queued: int = 0
    revision: int = 0
    sent_ms: int = 0


@dataclass(slots=True)
class Item:
    """One configuration item.

    Attributes:
        key: "KIND/NAME".
        revision: Revision of the item in the platform's store.
        value: JSON; empty if the item was deleted.
    """

    key: str
    revision: int
    value: bytes


@dataclass(slots=True)
class Delta:
    """Items that changed after revision `since`, up to revision `upto`."""

    since: int
    upto: int
    items: list[Item] = field(default_factory=list)


@dataclass(slots=True)
class Pull:
    """Request for all items that changed after revision `since`."""

    since: int


@dataclass(slots=True)
class Order:
    """Command to an engine of an upstream or to a daemon.

    Attributes:
        order: Id of the order, which the answer carries.
        action: "load", "unload" or "role" for an engine, "stop" for a
            daemon.
        version: Version to load or unload.
        role: New role of the engine.
        fencing: Fencing token of the lease of the sender; unused for "stop".
        incarnation: Incarnation of the process to stop; later processes of
            the same name ignore the order.
    """

    order: str
    action: str
    version: str = ""
    role: str = ""
    fencing: int = 0
    incarnation: str = ""


@dataclass(slots=True)
class Ordered:
    """Result of an order.

    Attributes:
        order: Id of the order.
        state: Result: "loading", "loaded", "unloaded", "busy", "failed",
            "role" or "stopping"; empty if the order was rejected.
        code: An `ErrorKind` if the order was rejected, else empty.
        detail: Human-readable description.
    """

    order: str
    state: str = ""
    code: str = ""
    detail: str = ""


@dataclass(slots=True)
class Evidence:
    """Requests that were in flight when an upstream crashed.

    Attributes:
        crash: Id of the crash, "INSTANCE/ERA".
        isolated: Whether the request ran alone on the upstream as a suspect.
        excused: Whether the requests were ruled out as the cause.
        fingerprints: Fingerprints of the requests.
        age_ms: Milliseconds since the crash was detected.
        unresolved: Whether the crash is not confirmed yet, because the
            sidecar became silent or could not determine the cause.
    """

    crash: str
    isolated: bool = False
    excused: bool = False
    fingerprints: list[str] = field(default_factory=list)
    age_ms: int = 0
    unresolved: bool = False


@dataclass(slots=True)
class Bills:
    """Bills offered to an entry, to hold and to write to the ledger.

    Attributes:
        log: The only log that the bills may be written to.
        after: Slot of the log; earlier slots hold none of the bills.
        urgent: Whether the sender is about to stop.
        rows: Bills as JSON.
    """

    log: str
    after: int
    urgent: bool
    rows: list[bytes]


@dataclass(slots=True)
class BillsKept:
    """Log that an entry writes, and bills found in the ledger.

    Attributes:
        log: Log for which new bills must be offered.
        slot: Lowest slot of the log that later rows are written to.
        attempts: Attempts whose bills are in the ledger, in any log.
    """

    log: str
    slot: int
    attempts: list[str]


Message = (
    Hello
    | Proof
    | Attempt
    | Chunk
    | Finish
    | Refusal
    | Resume
    | Cancel
    | Status
    | Beat
    | Delta
    | Pull
    | Order
    | Ordered
    | Evidence
    | Bills
    | BillsKept
)
