"""State of a router as it is reported at /state."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class CopyState:
    """State of the router's copy of one kind of the platform's objects.

    Attributes:
        kind: Kind of the objects.
        revision: Era and count of the revision up to which the copy is
            complete; None before the first.
        objects: Number of objects in the copy.
        age_s: Seconds since the store last confirmed the copy; None before
            the first confirmation.
    """

    kind: str
    revision: str | None
    objects: int
    age_s: float | None = None


@dataclass(slots=True)
class UpstreamState:
    """State of an upstream instance.

    Attributes:
        upstream: Id of the instance.
        service: Service of the instance.
        version: Version that the instance runs.
        failure_domain: Failure domain of the instance.
        state: Reason that restricts the use of the instance; "sound" if there
            is none.
        running: Requests of this router in progress at the instance.
        unread: Work of those requests whose answers have not begun, in
            thousands of tokens of the largest model.
        others_running: Requests of other routers in progress at the instance,
            as last reported by those routers.
        failures: Recent failures; the weight of a failure decays with age.
        heard_s: Seconds since the router last received bytes from the
            instance; None if it never did.
        limit_per_s: Requests a second that the instance accepts from all
            routers together; None if it announces no limit.
        limit_s: Seconds since the instance last announced its limit; None if
            it never did.
        leaving_s: Seconds since the instance itself announced that it is
            leaving, draining before a planned stop; None if it did not.
        rest_s: Seconds left of the rest, the backoff asked for with
            Retry-After; None if the instance is not resting.
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
    """State of a roll-out in progress.

    Attributes:
        service: Service that is rolled out.
        target: The new version.
        stage: Stage of the traffic shift to the new version.
        elapsed_s: Seconds since the roll-out was ordered.
        duration_s: Seconds that the roll-out may take.
        answers: Answers of the new version that this router received.
        bad: Bad answers among them.
        suspect: Whether the sum of all routers' answers indicates a bad
            version.
        found_bad: Reason why the version was found bad; empty if it was not.
        reports: Number of routers whose reports are counted.
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
        router: Name of the router.
        address: Address at which it serves copies of the store's objects.
    """

    router: str
    address: str


@dataclass(slots=True)
class ServiceState:
    """State of a service, as observed by this router's requests.

    Attributes:
        service: Name of the service.
        settled: Version that the service runs outside of roll-outs.
        refused: Version that was rolled back.
        requests: Requests counted since the router's start.
        retries_left: Retries that the retry budget allows now.
        lateness: Time to an answer's first event, as a share of its goal.
        slowdown: Pause between events of streams, as a multiple of the pause
            without load.
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
    """State of a router at one moment.

    Attributes:
        instance: Name of the router.
        failure_domain: Failure domain of the router.
        release: Release of the program.
        up_s: Seconds since the router's start.
        missing: Reason why the router is not ready to serve; empty if it is.
        leaving: Whether the router is draining before a planned stop.
        active: Requests that were read and are not yet answered.
        connections: Open connections of callers.
        closed_unread: Connections of callers that were closed unread.
        late_share: Share of the busy connections whose bytes wait too long to
            be read.
        configuration: Version of the configuration in force; None if there is
            none.
        store_away: Whether the last call of the platform's store failed.
        store_doubtful: Whether an entry may be missing from the store's
            answers although its instance still exists.
        store_returned_s: Seconds since the store answered again after a
            failure; None if no call has failed.
        store_era: Era of the store's answers; 0 if the answers carry none.
        store_restored: Number of times that the store was restored from an
            older copy.
        older_answers: Answers of the store that were of an earlier era.
        eras_unread: Answers of the store whose era could not be read.
        older_entries: Instances whose listed entry is older than the state
            that the router holds of them.
        returned_checks: Checks of instances whose entries came back after their
            removal.
        returned_confirmed: Instances that said in such a check that they serve.
        told_bytes: Bytes of gossip datagrams sent to other routers, including
            the datagrams' headers.
        messages_refused: Datagrams rejected because no listed router sent
            them.
        watches: Whether this router watches the store directly, on behalf of
            other routers or because it has no watcher.
        watcher: Router that was last queried for the store's changes.
        listeners: Routers that fetch the store's changes from this router.
        news_fetched: Updates of the store fetched from other routers.
        cordoned: Failure domains whose instances get no new requests.
        replaced_seen: Instances at whose addresses another instance answered
            this router.
        replaced_told: Replaced instances reported by other routers.
        probes_asked: Load probes sent to instances.
        probes_answered: Load probes that were answered in time.
        leavings_said: Instances that announced themselves that they are
            leaving.
        suspects: Requests that were lost and not answered since.
        suspects_held: Lost requests that are held back.
        suspect_decisions: Number of decisions about lost requests, by kind.
        limits_named: Number of times that an instance began to announce a
            rate limit to this router.
        rests_asked: Number of times that an instance asked this router for
            rest while it was not resting.
        unknown_headers: Names in upstreams' answers that the router does not
            read, with the number of answers that had them.
        unknown_fields: Fields of the platform's objects that the router does
            not read, with the number of occurrences.
        odd_values: Headers of upstreams' answers whose values could not be
            parsed, with the number of occurrences.
        copies: Copies of the platform's objects.
        services: Services that have received requests.
        upstreams: Upstream instances.
        roll_outs: Roll-outs in progress.
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
    connections: int = 0
    closed_unread: int = 0
    late_share: float = 0.0
    store_returned_s: float | None = None
    store_era: int = 0
    store_restored: int = 0
    older_answers: int = 0
    eras_unread: int = 0
    older_entries: int = 0
    returned_checks: int = 0
    returned_confirmed: int = 0
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
