"""Support for what a router tells of its beliefs, as typed values."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class CopyState:
    """A copy of one kind of the platform's objects.

    Attributes:
        kind: The kind.
        revision: Era and count up to which it is complete; None where there
            is none yet.
        objects: How many objects it holds.
        age_s: Seconds since the store last said what it is; None before.
    """

    kind: str
    revision: str | None
    objects: int
    age_s: float | None = None


@dataclass(slots=True)
class UpstreamState:
    """An upstream instance.

    Attributes:
        upstream: Its id.
        service: The service it serves.
        version: The version it runs.
        failure_domain: Where it stands.
        state: What speaks against it.
        running: This router's requests that are at it.
        unread: Work of those whose answers have not begun, in thousands of
            tokens of the largest model.
        others_running: Other routers' requests there, as they told.
        failures: Recent failures, older ones counting less.
        heard_s: Seconds since bytes came from it; None where none did.
        limit_per_s: Requests a second that it takes from all routers; None
            where it names no limit.
        limit_s: Seconds since it named the limit last; None where it did not.
        leaving_s: Seconds since it said itself that it leaves; None where it
            did not.
        rest_s: Seconds for which it still wants no request; None where it
            rests not.
    """

    upstream: str
    service: str
    version: str
    failure_domain: str
    state: str
    running: int
    unread: float
    others_running: int
    failures: float
    heard_s: float | None
    limit_per_s: float | None = None
    limit_s: float | None = None
    leaving_s: float | None = None
    rest_s: float | None = None


@dataclass(slots=True)
class RollOutState:
    """A roll-out under way.

    Attributes:
        service: The service.
        target: The new version.
        stage: How far requests are moved.
        elapsed_s: Seconds since the order.
        duration_s: Seconds that it may take.
        answers: Answers of the new version that this router saw.
        bad: Bad ones among them.
        suspect: Whether the sum over all routers speaks against it.
        found_bad: Why it counts as bad; empty while it does not.
        reports: Routers whose reports are counted.
    """

    service: str
    target: str
    stage: str
    elapsed_s: float
    duration_s: float
    answers: int
    bad: int
    suspect: bool
    found_bad: str
    reports: int


@dataclass(slots=True)
class PeerState:
    """Another router.

    Attributes:
        router: Its name.
        address: Where it is asked for copies.
    """

    router: str
    address: str


@dataclass(slots=True)
class ServiceState:
    """A service as this router's requests found it.

    Attributes:
        service: The service.
        settled: The version that it is on outside of roll-outs.
        refused: The version that was rolled back.
        requests: Requests counted since the start.
        retries_left: Retries that may be made now.
        lateness: How late its answers begin, as a part of their goal.
        slowdown: Pauses between its streams' events, in times those at rest.
    """

    service: str
    settled: str
    refused: str
    requests: int
    retries_left: float
    lateness: float
    slowdown: float


@dataclass(slots=True)
class RouterState:
    """What a router believes, at one moment.

    Attributes:
        instance: Name of the router.
        failure_domain: Where it stands.
        release: Release of the program.
        up_s: Seconds since its start.
        missing: What is missing to serve; empty if nothing.
        leaving: Whether it is to stop.
        active: Requests that were read and not yet answered.
        configuration: Version of the configuration in force; None without.
        store_away: Whether its last call of the platform's store failed.
        store_doubtful: Whether a missing entry need not mean that something
            is gone.
        store_returned_s: Seconds since it answered again after a failure;
            None where it always did.
        store_era: Era that its answers name; 0 where they name none.
        store_restored: How often it came back from an older copy.
        older_answers: Its answers that were of an earlier era.
        eras_unread: Its answers whose era can't be read.
        older_entries: Instances whose listed entry tells less than is known.
        told_bytes: Bytes of messages to other routers that links carried.
        messages_refused: Datagrams that no router known here sent.
        watches: Whether it watches the store itself, for others or for want
            of watchers.
        watcher: The router that it asked last for the store's news.
        listeners: Routers that take the store's news from it.
        news_fetched: News that it fetched from others.
        cordoned: The failure domains whose instances get nothing new.
        replaced_seen: Instances at whose addresses others answered it.
        replaced_told: Such instances that other routers told of.
        probes_asked: Questions to instances for their load.
        probes_answered: Answers to them that came in time.
        leavings_said: Instances that said themselves that they leave.
        suspects: Requests that were lost and not answered since.
        suspects_held: Those of them that are held back.
        suspect_decisions: What was decided about lost requests, counted.
        limits_named: How often an instance began to name a limit to it.
        rests_asked: How often an instance asked it for rest, while at none.
        unknown_headers: Names in upstreams' answers that nothing here reads,
            and in how many answers they were.
        unknown_fields: The same of the platform's objects.
        odd_values: Headers of upstreams' answers whose values can't be read.
        copies: Copies of the platform's objects.
        services: The services.
        upstreams: The upstream instances.
        roll_outs: Roll-outs under way.
        routers: The other routers.
    """

    instance: str
    failure_domain: str
    release: str
    up_s: float
    missing: str
    leaving: bool
    active: int
    configuration: int | None
    store_away: bool
    store_doubtful: bool
    store_returned_s: float | None = None
    store_era: int = 0
    store_restored: int = 0
    older_answers: int = 0
    eras_unread: int = 0
    older_entries: int = 0
    told_bytes: int = 0
    messages_refused: int = 0
    watches: bool = True
    watcher: str = ""
    listeners: int = 0
    news_fetched: int = 0
    cordoned: list[str] = field(default_factory=list)
    replaced_seen: int = 0
    replaced_told: int = 0
    probes_asked: int = 0
    probes_answered: int = 0
    leavings_said: int = 0
    suspects: int = 0
    suspects_held: int = 0
    suspect_decisions: dict[str, int] = field(default_factory=dict)
    limits_named: int = 0
    rests_asked: int = 0
    unknown_headers: dict[str, int] = field(default_factory=dict)
    unknown_fields: dict[str, int] = field(default_factory=dict)
    odd_values: dict[str, int] = field(default_factory=dict)
    copies: list[CopyState] = field(default_factory=list)
    services: list[ServiceState] = field(default_factory=list)
    upstreams: list[UpstreamState] = field(default_factory=list)
    roll_outs: list[RollOutState] = field(default_factory=list)
    routers: list[PeerState] = field(default_factory=list)
