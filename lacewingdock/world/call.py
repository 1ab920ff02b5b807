"""Support for a caller's request and an upstream's answer, as typed values."""

from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Call:
    """A request as it came from a caller.

    Attributes:
        id: Its id, new for each try of the caller.
        method: HTTP method.
        target: Path and query, as sent.
        host: Host that the caller named.
        path: The path alone.
        headers: Headers that are passed on as they came.
        body: The whole body.
        key: The caller's key; empty for none.
        session: Session that it belongs to; empty for none.
        caller_timeout_s: Seconds that the caller waits; None where not said.
        last_event: Id of the event that a stream shall go on after.
        model: Model that the caller names; empty for none.
        any_model: Whether the router shall choose the model.
        tokens_in: Tokens of the prompt.
        tokens_out: Most tokens of the answer.
        parts: Ids and tokens of the prompt's parts, in order.
        fingerprint: What its repeats have in common; empty until it is asked
            for, since it is worked out from the whole body.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    key: str = ""
    session: str = ""
    caller_timeout_s: float | None = None
    last_event: str = ""
    model: str = ""
    any_model: bool = False
    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    fingerprint: str = ""


@dataclass(slots=True)
class AttemptOptions:
    """What one attempt adds to a call.

    Attributes:
        instance: Id of the upstream instance it is meant for.
        workspace: The caller's workspace; empty where none is known.
        left_s: Seconds that are left for it.
        model: Model that answers; empty where none is named.
        last_event: Id of the event to go on after; empty for the start.
        priority: Rank from 0, the first, to 9; None leaves it out.
    """

    instance: str
    workspace: str
    left_s: float
    model: str = ""
    last_event: str = ""
    priority: int | None = None


@dataclass(slots=True)
class ResponseHead:
    """The head of an upstream's answer.

    Attributes:
        status: HTTP status.
        headers: Headers that are passed on to the caller.
        call: Id of the call it belongs to; empty where not said.
        not_run: Whether the upstream says that it did not run the call.
        misdirected: Whether the instance that answers says that the call was
            meant for another.
        instance: Id of the upstream instance that answers; empty where not
            said.
        sealed: Whether it bears the upstream's signature.
        encoded: Whether the body is not the upstream's own bytes.
        confidence: The model's opinion of its answer, 0 to 100; or None.
        keep_alive_s: Seconds that the connection stays open idle; None if not
            said.
        closes: Whether the connection ends with this answer.
        limit_per_s: Requests a second that the instance takes from all
            routers together; None where it names no limit.
        limit_malformed: Whether it names a limit that can't be read.
        rest_s: Seconds for which an instance that turned the call away wants
            none of this router's; None where it does not say.
        leaving: Whether the instance says that it leaves.
        odd: Names of headers about the instance whose values can't be read.
        unknown: Names of headers that no page of the platform explains.
    """

    status: int
    headers: Headers
    call: str = ""
    not_run: bool = False
    misdirected: bool = False
    instance: str = ""
    sealed: bool = False
    encoded: bool = False
    confidence: float | None = None
    keep_alive_s: float | None = None
    closes: bool = False
    limit_per_s: float | None = None
    limit_malformed: bool = False
    rest_s: float | None = None
    leaving: bool = False
    odd: tuple[str, ...] = ()
    unknown: tuple[str, ...] = ()

    def is_from_other_instance(self, instance: str) -> bool:
        """Whether another instance answered than the one of an id."""
        if self.instance:
            return self.instance != instance
        return self.misdirected

    @property
    def success(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300
