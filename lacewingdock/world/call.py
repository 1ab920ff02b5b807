"""Support for requests of callers and responses of upstreams."""

from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Call:
    """A request received from a caller.

    Attributes:
        id: Request id, new for each retry of the caller.
        method: HTTP method.
        target: Path and query string, as received.
        host: Host requested by the caller.
        path: Path without the query string.
        headers: Headers forwarded unchanged.
        body: Complete body.
        key: API key of the caller; empty for none.
        session: Session id; empty for none.
        caller_timeout_s: Seconds that the caller waits; None if unspecified.
        last_event: Id of the event after which a stream is resumed.
        model: Model requested by the caller; empty for none.
        any_model: Whether the router chooses the model.
        tokens_in: Number of prompt tokens.
        tokens_out: Maximum number of generated tokens.
        parts: Id and token count of each prompt part, in order.
        fingerprint: Hash shared by repeats of the request; empty until first
            used, since it is computed over the complete body.
        part_traits: Hashes of the prompt parts that other requests may share;
            None until first used.
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
    part_traits: tuple[str, ...] | None = None


@dataclass(slots=True)
class AttemptOptions:
    """Parameters that one attempt adds to a request.

    Attributes:
        instance: Id of the addressed upstream instance.
        workspace: Workspace of the caller; empty if unknown.
        left_s: Seconds left until the deadline.
        model: Model that answers; empty if none is specified.
        last_event: Id of the event to resume after; empty to start at the
            beginning.
        priority: Priority from 0, the highest, to 9; None sends no priority.
    """

    instance: str
    workspace: str
    left_s: float
    model: str = ""
    last_event: str = ""
    priority: int | None = None


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of an upstream response.

    Attributes:
        status: HTTP status.
        headers: Headers forwarded to the caller.
        call: Id of the request; empty if the response has none.
        not_run: Whether the upstream reports that it did not run the request.
        misdirected: Whether the responding instance reports that the request
            was addressed to another instance.
        instance: Id of the responding upstream instance; empty if the
            response has none.
        sealed: Whether the response carries the upstream's signature.
        encoded: Whether the body has a content encoding, so that its bytes are
            not the original ones.
        confidence: Confidence of the model in its answer, 0 to 100; or None.
        keep_alive_s: Seconds that an idle connection stays open; None if
            unspecified.
        closes: Whether the connection closes after this response.
        limit_per_s: Rate limit of the instance for all routers together, in
            requests per second; None for no limit.
        limit_malformed: Whether the rate limit could not be parsed.
        rest_s: Backoff in seconds that an instance asks of this router with
            Retry-After when it rejects a request; None if unspecified.
        leaving: Whether the instance announces that it drains.
        odd: Names of instance headers whose values could not be parsed.
        unknown: Names of headers that the platform does not document.
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
        """Whether the response comes from an instance other than this id."""
        if self.instance:
            return self.instance != instance
        return self.misdirected

    @property
    def success(self) -> bool:
        """Whether the HTTP status is in the 200 range."""
        return 200 <= self.status < 300
