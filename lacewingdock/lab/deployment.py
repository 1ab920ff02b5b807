"""Support for the deployments that the laboratory plays."""

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
    """Delays of one way, and of an instance's entry.

    Attributes:
        within_ms: Within a failure domain.
        between_ms: Between two.
        callers_ms: From a caller to a router.
        entry_late_s: From an instance's start to its entry at the routers.
        entry_stays_s: For how long the entry of a lost instance stays.
    """

    within_ms: _NonNegative = 0.1
    between_ms: _NonNegative = 1.0
    callers_ms: _NonNegative = 1.0
    entry_late_s: _NonNegative = 0.9
    entry_stays_s: _NonNegative = 3.6


class Model(msgspec.Struct, forbid_unknown_fields=True):
    """A size of model that engines have.

    Attributes:
        name: Its name.
        pace: Time for reading a token, in times that of `read_tokens_per_ms`.
        quality: Part of the requests that are not too hard for it.
        cost: Price of 1,000 generated tokens.
    """

    name: str
    pace: _Positive = 1.0
    quality: _Share = 1.0
    cost: _NonNegative = 0.0


class Engines(msgspec.Struct, forbid_unknown_fields=True):
    """The model engines.

    Attributes:
        per_domain: Engines in each failure domain.
        slots: Requests that one runs at once.
        queue: Requests that wait there at most.
        step_ms: Time of a step, which makes a token for each that runs.
        step_ms_per_running: What each that runs adds to it.
        read_tokens_per_ms: Tokens of a prompt that are read in a ms.
        chunk_tokens: Tokens of a prompt that are read in a step.
        event_tokens: Tokens of an event of a stream.
        memory_tokens: Tokens that fit, of those that run and of kept parts.
        cold_s: Seconds for which one is cold after a start.
        cold_per_s: Requests a second that it bears then; 0 for any number.
        models: Its models, smallest first.
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
        mean: Its mean.
        sigma: Standard deviation of the logarithm.
    """

    mean: _Positive
    sigma: _NonNegative = 0.0


class Traffic(msgspec.Struct, forbid_unknown_fields=True):
    """Requests of one route.

    Attributes:
        name: The route.
        per_s: Requests a second.
        tokens_in: Tokens of the prompt that are its own.
        tokens_out: Tokens of the answer.
        shared_tokens: Tokens of the prompt that it shares with others.
        subjects: How many such shared parts there are.
        goal_s: Time to the first event that is on time.
        gap_s: Longest pause between events that is on time.
        timeout_s: Time that callers wait.
        worth: Credit of an answer on time.
        late_worth: Credit of a later one.
        priority: Rank; 0 is first.
        attempts: Instances that it may be sent to.
        retries: Times that a caller comes again.
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
    """What goes wrong.

    Attributes:
        ENGINES_LOST: A share of the engines lose power.
        ALL_LOST: All engines and routers do.
        ROUTERS_LOST: All routers do.
        CORDON: A failure domain is cordoned; its engines come back cold.
        BURST: More requests come, by a factor.
        ENGINES_LIMITED: A share of the engines name a limit.
        ENGINES_RESTING: A share of the engines turn all away and want rest.
        ENGINES_LEAVING: A share of the engines say that they leave, which the
            routers' lists do not, and lose power at the end.
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
    """One thing that goes wrong.

    Attributes:
        kind: What.
        at_s: When.
        for_s: For how long.
        share: Of the engines, how many.
        factor: Of the requests, how many times.
        domain: Which failure domain.
        per_s: Requests a second that a limited engine takes of all routers.
        rest_s: Seconds of rest that a resting engine wants of each router.
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
    """What the routers are held to; see `world.host.Bounds`."""

    retry_ratio: _NonNegative = 0.9
    retry_extra: _NonNegative = 96.0
    retry_window_s: _Positive = 10.0
    cold_overage: _NonNegative = 1.5
    cold_extra: _NonNegative = 5.0


class Deployment(msgspec.Struct, forbid_unknown_fields=True):
    """A deployment and its day.

    Attributes:
        name: Its name.
        seconds: Length of the day.
        domains: The failure domains.
        routers: Routers in each of them.
        start_s: From a router's start to its first request.
        sidecars: Whether engines can be asked for their load.
        engines: The engines.
        traffic: The requests.
        links: Delays.
        faults: What goes wrong.
        bounds: What the routers are held to.
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
    """Read and check a deployment.

    Raises:
        LacewingdockError: BAD_SETTING, naming key and value.
    """
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, ValueError) as error:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING, f"{path}: {error}"
        ) from error
    found = convert_toml(parse_toml(text, path), Deployment, path)
    for fault in found.faults:
        if fault.domain and fault.domain not in found.domains:
            raise LacewingdockError(
                ErrorKind.BAD_SETTING,
                f"{path}: faults.domain is none of domains,"
                f" not {fault.domain!r}",
            )
    return found
