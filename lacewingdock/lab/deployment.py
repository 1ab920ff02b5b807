"""Schema of the deployments that the simulation runs."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.toml_file import convert_toml, parse_toml

_Positive = Annotated[float, Meta(gt=0.0)]
_NonNegative = Annotated[float, Meta(ge=0.0)]
_Share = Annotated[float, Meta(ge=0.0, le=1.0)]
_PositiveInt = Annotated[int, Meta(ge=1)]


class Links(msgspec.Struct, forbid_unknown_fields=True):
    """One-way network delays, and delays of the instance registry.

    Attributes:
        within_ms: One-way delay within a failure domain.
        between_ms: One-way delay between two failure domains.
        callers_ms: One-way delay from a caller to a router.
        entry_late_s: Seconds from an instance's start until the routers see
            its registry entry.
        entry_stays_s: Seconds for which the entry of a lost instance remains.
    """

    within_ms: _NonNegative = 0.1
    between_ms: _NonNegative = 1.0
    callers_ms: _NonNegative = 1.0
    entry_late_s: _NonNegative = 0.9
    entry_stays_s: _NonNegative = 3.6


class Model(msgspec.Struct, forbid_unknown_fields=True):
    """A model that engines serve.

    Attributes:
        name: Name of the model.
        pace: Time to read a prompt token, as a multiple of the time that
            follows from `read_tokens_per_ms`.
        quality: Share of the requests that the model can answer, between 0
            and 1.
        cost: Price of 1,000 generated tokens.
    """

    name: str
    pace: _Positive = 1.0
    quality: _Share = 1.0
    cost: _NonNegative = 0.0


class Engines(msgspec.Struct, forbid_unknown_fields=True):
    """Properties of the model engines; all engines are alike.

    Attributes:
        per_domain: Engines in each failure domain.
        slots: Requests that an engine runs at the same time.
        queue: Maximum number of requests that wait in an engine's queue.
        step_ms: Duration of a step, which generates one token for each
            running request.
        step_ms_per_running: Time that each running request adds to a step.
        read_tokens_per_ms: Prompt tokens that an engine reads in a
            millisecond.
        chunk_tokens: Maximum number of prompt tokens read in a step.
        event_tokens: Tokens in each event of a response stream.
        memory_tokens: Tokens that fit into memory, of running requests and
            of cached prompt prefixes together.
        cold_s: Seconds for which an engine is cold after a start.
        cold_per_s: Requests a second that a cold engine can handle; 0 for no
            limit.
        models: The models of an engine, smallest first.
    """

    per_domain: _PositiveInt
    slots: _PositiveInt = 32
    queue: _PositiveInt = 64
    step_ms: _Positive = 3.55
    step_ms_per_running: _NonNegative = 0.046
    read_tokens_per_ms: _Positive = 157.0
    chunk_tokens: _PositiveInt = 1024
    event_tokens: _PositiveInt = 9
    memory_tokens: _PositiveInt = 700_000
    cold_s: _NonNegative = 0.0
    cold_per_s: _NonNegative = 0.0
    models: Annotated[list[Model], Meta(min_length=1)] = []


class Spread(msgspec.Struct, forbid_unknown_fields=True):
    """A lognormal distribution.

    Attributes:
        mean: Mean of the distribution.
        sigma: Standard deviation of the logarithm.
    """

    mean: _Positive
    sigma: _NonNegative = 0.0


class Traffic(msgspec.Struct, forbid_unknown_fields=True):
    """The requests of one route.

    Attributes:
        name: Name of the route.
        per_s: Mean number of requests a second.
        tokens_in: Prompt tokens of a request that no other request shares.
        tokens_out: Tokens of the answer.
        shared_tokens: Tokens of the prompt prefix that a request shares with
            others.
        subjects: Number of different shared prefixes.
        goal_s: Maximum time to the first event of an answer that is on time.
        gap_s: Maximum pause between two events of an answer that is on time.
        timeout_s: Time after which callers give up.
        worth: Credit of an answer that is on time.
        late_worth: Credit of an answer that is late.
        priority: Priority of the requests; 0 is the highest.
        attempts: Maximum number of instances that a request is sent to.
        retries: Maximum number of times that a caller sends a request again.
    """

    name: str
    per_s: _Positive
    tokens_in: Spread
    tokens_out: Spread
    shared_tokens: Annotated[int, Meta(ge=0)] = 0
    subjects: _PositiveInt = 1
    goal_s: _Positive = 1.0
    gap_s: _Positive = 0.6
    timeout_s: _Positive = 15.0
    worth: _Positive = 1.0
    late_worth: _NonNegative = 0.1
    priority: Annotated[int, Meta(ge=0, le=9)] = 1
    attempts: _PositiveInt = 3
    retries: Annotated[int, Meta(ge=0)] = 1


class FaultKind(StrEnum):
    """Kinds of injected faults.

    Attributes:
        ENGINES_LOST: A share of the engines lose power.
        ALL_LOST: All engines and routers lose power.
        ROUTERS_LOST: All routers lose power.
        CORDON: A failure domain is cordoned; its engines come back cold.
        BURST: The request rate rises by a factor.
        ENGINES_LIMITED: A share of the engines announce a rate limit.
        ENGINES_RESTING: A share of the engines refuse all requests and ask
            for rest, the backoff asked for with Retry-After.
        ENGINES_LEAVING: A share of the engines announce in their answers that
            they are leaving, while their registry entries do not show it, and
            lose power at the end.
    """

    ENGINES_LOST = "engines_lost"
    ALL_LOST = "all_lost"
    ROUTERS_LOST = "routers_lost"
    CORDON = "cordon"
    BURST = "burst"
    ENGINES_LIMITED = "engines_limited"
    ENGINES_RESTING = "engines_resting"
    ENGINES_LEAVING = "engines_leaving"


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """An injected fault.

    Attributes:
        kind: Kind of the fault.
        at_s: Start of the fault, in seconds since the start of the day.
        for_s: Duration in seconds.
        share: Share of the engines that are affected, between 0 and 1.
        factor: Factor by which a burst raises the request rate.
        domain: Failure domain that is cordoned; empty for the first.
        per_s: Requests a second, from all routers together, that a limited
            engine accepts.
        rest_s: Seconds of rest that a resting engine asks of each router.
    """

    kind: FaultKind
    at_s: _NonNegative
    for_s: _Positive = 1.0
    share: _Share = 1.0
    factor: _Positive = 2.0
    domain: str = ""
    per_s: _NonNegative = 3.0
    rest_s: _Positive = 3.0


class Bounds(msgspec.Struct, forbid_unknown_fields=True):
    """Retry and slow-start bounds of the routers; see `world.host.Bounds`."""

    retry_ratio: _NonNegative = 0.9
    retry_extra: _NonNegative = 96.0
    retry_window_s: _Positive = 10.0
    cold_overage: _NonNegative = 1.5
    cold_extra: _NonNegative = 5.0


class Deployment(msgspec.Struct, forbid_unknown_fields=True):
    """A deployment and its simulated day.

    Attributes:
        name: Name of the deployment.
        seconds: Length of the day, in seconds.
        domains: Names of the failure domains.
        routers: Number of routers in each failure domain.
        start_s: Seconds from a router's start until it serves requests.
        sidecars: Whether engines have sidecars that report their load.
        engines: Properties of the engines.
        traffic: Requests of each route.
        links: Network and registry delays.
        faults: Faults that are injected.
        bounds: Retry and slow-start bounds of the routers.
    """

    name: str
    seconds: _Positive
    domains: Annotated[list[str], Meta(min_length=1)]
    routers: _PositiveInt
    engines: Engines
    traffic: Annotated[list[Traffic], Meta(min_length=1)]
    start_s: _NonNegative = 0.7
    sidecars: bool = True
    links: Links = msgspec.field(default_factory=Links)
    faults: list[Fault] = []
    bounds: Bounds = msgspec.field(default_factory=Bounds)


def load_deployment(path: str) -> Deployment:
    """Read and validate a deployment file.

    Raises:
        LacewingdockError: BAD_SETTING, naming key and value.
    """
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, ValueError) as error:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING, f"{path}: {error}"
        ) from error
    deployment = convert_toml(parse_toml(text, path), Deployment, path)
    for fault in deployment.faults:
        if fault.domain and fault.domain not in deployment.domains:
            raise LacewingdockError(
                ErrorKind.BAD_SETTING,
                f"{path}: faults.domain is none of domains,"
                f" not {fault.domain!r}",
            )
    return deployment
