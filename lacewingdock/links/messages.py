"""Support for the messages that daemons exchange over links."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Hello:
    """Name a peer; the first frame from either side.

    Attributes:
        instance: Name of the sending instance.
        incarnation: Unique to each start of the process.
        role: "entry" or "sidecar".
        failure_domain: Failure domain of the sender.
        nonce: 16 random bytes for the other side to sign.
        key_id: Which link key signs.
        mac: The answering side's signature over the dialer's nonce; empty
            in the dialer's own hello.
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
    """Carry the dialer's signature over the listener's nonce.

    Attributes:
        mac: The signature, behind the name of its key.
        sent_ms: Sender's milliseconds since boot; 0 when it does not tell.
    """

    mac: bytes
    sent_ms: int = 0


@dataclass(slots=True)
class Attempt:
    """Ask a sidecar to run a request on its upstream.

    Attributes:
        attempt: Id of this attempt; frames of the answer carry it.
        request: Id of the caller's request, for bills and logs.
        workspace: Name of the caller's workspace.
        target: Name of the model version or plain service.
        method: HTTP method for the upstream.
        path: Path and query for the upstream.
        body: The request's body.
        content_type: Media type of the body.
        key: The caller's idempotency key, or empty.
        priority: 0 is the most urgent.
        deadline_ms: Milliseconds left, counted from receipt.
        repeatable: Whether running the request twice does no harm.
        traceparent: W3C trace context, or empty.
        revision: Configuration revision the entry decided at.
        resumable: Whether the answer is kept if the caller goes away.
        step: Index of the cascade's step, for bills.
        ordinal: How many attempts of this step went before, for bills.
        sent_ms: Sender's milliseconds since boot when it was sent; 0 when it
            does not tell.
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
    """Carry one piece of an answer.

    Attributes:
        attempt: Id of the attempt it belongs to.
        offset: Index of the piece in the answer, from 0.
        data: One server-sent event's data, or bytes of a body.
    """

    attempt: str
    offset: int
    data: bytes


@dataclass(slots=True)
class Finish:
    """End an answer.

    Attributes:
        attempt: Id of the attempt.
        chunks: Number of pieces in the whole answer.
        status: HTTP status from the upstream.
        content_type: Media type of the answer.
        input_tokens: Tokens read, 0 for services.
        output_tokens: Tokens generated, 0 for services.
    """

    attempt: str
    chunks: int
    status: int = 200
    content_type: str = "application/json"
    input_tokens: int = 0
    output_tokens: int = 0


@dataclass(slots=True)
class Refusal:
    """End an attempt without a whole answer.

    Attributes:
        attempt: Id of the attempt.
        code: An `ErrorKind`.
        ran: "no", "yes" or "unknown".
        detail: What happened, for people.
        retry_after_ms: Milliseconds until trying again can help; -1 if it
            can't.
        revision: Configuration revision in force at the sidecar; 0 if
            that played no part.
    """

    attempt: str
    code: str
    ran: str
    detail: str
    retry_after_ms: int = -1
    revision: int = 0


@dataclass(slots=True)
class Resume:
    """Ask for the rest of an answer over this link.

    Attributes:
        attempt: Id that the frames to come shall carry.
        original: Id of the attempt that was started.
        workspace: The caller's workspace, which must be the attempt's.
        offset: Index of the first piece wanted.
        incarnation: Incarnation of the sidecar that the attempt was sent
            to; empty when that is not known.
        age_ms: Milliseconds since it was sent.
    """

    attempt: str
    original: str
    workspace: str
    offset: int
    incarnation: str = ""
    age_ms: int = 0


@dataclass(slots=True)
class Cancel:
    """Say that nobody waits for an attempt any more.

    Attributes:
        attempt: The id that its frames carry over this link.
        keep: Whether somebody may come back for the rest.
        ended: Whether its end was received, so that it need not be kept.
        left: Whether the caller went away, who pays for what was generated.
        settle: Whether the sidecar shall tell, by a refusal, once the attempt
            can't run any more. It was given up without its end.
    """

    attempt: str
    keep: bool = False
    ended: bool = False
    left: bool = False
    settle: bool = False


@dataclass(slots=True)
class Status:
    """Tell what a sidecar serves; sent on each change and on connect.

    Attributes:
        targets: Versions loaded, or the service.
        running: Requests on the upstream.
        queued: Requests waiting.
        capacity: Requests the upstream runs at once.
        leaving: Whether the sidecar takes no new work.
        homes: Claim partitions held, each "SERVICE/PARTITION@TERM".
    """

    targets: list[str] = field(default_factory=list)
    running: int = 0
    queued: int = 0
    capacity: int = 0
    leaving: bool = False
    homes: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Beat:
    """Show that the link is alive.

    Attributes:
        running: Requests on the sender's upstream.
        queued: Requests waiting at the sender.
        revision: Configuration revision in force at the sender.
        sent_ms: Sender's milliseconds since boot; 0 when it does not tell.
    """

    running: int = 0
    queued: int = 0
    revision: int = 0
    sent_ms: int = 0


@dataclass(slots=True)
class Item:
    """Carry one configuration item.

    Attributes:
        key: "KIND/NAME".
        revision: The platform's revision of the item.
        value: JSON; empty when the item was deleted.
    """

    key: str
    revision: int
    value: bytes


@dataclass(slots=True)
class Delta:
    """Carry every item that changed after `since`, up to `upto`."""

    since: int
    upto: int
    items: list[Item] = field(default_factory=list)


@dataclass(slots=True)
class Pull:
    """Ask for every item that changed after `since`."""

    since: int


@dataclass(slots=True)
class Order:
    """Order an upstream's engine, or a daemon, to do something.

    Attributes:
        order: Id of the order; its answer carries it.
        action: "load", "unload" or "role" for an engine, "stop" for a
            daemon.
        version: The version to load or unload.
        role: The engine's new role.
        fencing: Fencing number of the lease whose holder orders; unused
            for "stop".
        incarnation: The process that shall stop; no later one under its
            name does.
    """

    order: str
    action: str
    version: str = ""
    role: str = ""
    fencing: int = 0
    incarnation: str = ""


@dataclass(slots=True)
class Ordered:
    """Answer an order.

    Attributes:
        order: Id of the order.
        state: What came of it: "loading", "loaded", "unloaded", "busy",
            "failed", "role" or "stopping"; empty when it was refused.
        code: An `ErrorKind` when it was refused, else empty.
        detail: What happened, for people.
    """

    order: str
    state: str = ""
    code: str = ""
    detail: str = ""


@dataclass(slots=True)
class Evidence:
    """Tell what was in flight when an upstream crashed.

    Attributes:
        crash: Id of the crash, "INSTANCE/ERA".
        isolated: Whether the request ran alone there, as a suspect.
        excused: Whether the requests were shown not to be the cause.
        fingerprints: Fingerprints of the requests.
        age_ms: Milliseconds since the crash was seen.
        unresolved: Whether it is not known yet if there was a crash: the
            sidecar fell silent, or could not tell.
    """

    crash: str
    isolated: bool = False
    excused: bool = False
    fingerprints: list[str] = field(default_factory=list)
    age_ms: int = 0
    unresolved: bool = False


@dataclass(slots=True)
class Bills:
    """Offer bills to an entry, to hold and to write to the ledger.

    Attributes:
        log: The one log that they may be written to.
        after: None of them is in a slot of the log before this one.
        urgent: Whether the sender is about to end.
        rows: JSON of each bill.
    """

    log: str
    after: int
    urgent: bool
    rows: list[bytes]


@dataclass(slots=True)
class BillsKept:
    """Name the log that an entry writes, and bills seen in the ledger.

    Attributes:
        log: The log that new bills are to be offered for.
        slot: A slot that all of its next rows come at or after.
        attempts: Attempts whose bills are in the ledger, whichever log.
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
