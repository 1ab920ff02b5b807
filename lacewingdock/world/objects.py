"""Support for the configured objects: versions, models, workspaces."""

import ipaddress
from dataclasses import dataclass, field
from typing import Annotated, Final, Literal

from msgspec import Meta

from lacewingdock.helpers.address import split_address
from lacewingdock.world.names import Name

MAX_PORT: Final = 65535

Digest = Annotated[
    str,
    Meta(pattern=r"^[0-9a-f]{64}\Z", description="64 hex digits"),
]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Price = Annotated[float, Meta(ge=0.0)]


@dataclass(slots=True, kw_only=True)
class Version:
    """A version of a model that engines can load.

    Attributes:
        model: Name of the model it is a version of.
        state: "offered", or "withdrawn" for no new work.
        input_price: Cost of a thousand tokens read.
        output_price: Cost of a thousand tokens generated.
    """

    model: Name
    state: Literal["offered", "withdrawn"] = "offered"
    input_price: Price = 0.0
    output_price: Price = 0.0


@dataclass(slots=True, kw_only=True)
class Model:
    """A model name that callers use.

    Attributes:
        shares: Part of new sessions for each version; parts need not sum
            to one.
        incoming: Version that a roll-out brings in or brought in last;
            empty when there was none.
    """

    shares: dict[Name, Share]
    incoming: str = ""


@dataclass(slots=True, kw_only=True)
class Step:
    """One step of a cascade.

    Attributes:
        version: The version tried.
        accept: Lowest rating at which its answer is given; ignored on the
            last step.
    """

    version: Name
    accept: Share = 0.0


@dataclass(slots=True, kw_only=True)
class Cascade:
    """Versions to try in order, cheaper before dearer.

    Attributes:
        steps: The versions, at most eight; the last one's answer is given
            whatever its rating.
    """

    steps: Annotated[list[Step], Meta(min_length=1, max_length=8)]


@dataclass(slots=True, kw_only=True)
class Objective:
    """A service-level objective of a workspace.

    Attributes:
        measure: What is counted.
        target: Part of events that must be good.
        limit_s: Latency limit, for latency measures.
    """

    measure: Literal[
        "availability", "first_token", "inter_token", "quality", "whole_answer"
    ]
    target: Annotated[float, Meta(gt=0.0, lt=1.0)]
    limit_s: Annotated[float, Meta(gt=0.0)] | None = None


@dataclass(slots=True, kw_only=True)
class Workspace:
    """A brand's workspace.

    Attributes:
        keys: SHA-256 digests, in hex, of the bearer keys.
        models: Model and cascade names its callers may ask for.
        versions: Versions its requests may run on.
        services: Plain services its callers may use.
        quality_target: Part of answers that must be good.
        budget: Cost allowed a day (UTC); None for no limit.
        at_limit: What happens once the budget is used up: "refuse" new
            work, go on with the "cheapest" step, or go on and "alert".
        objectives: Service-level objectives.
    """

    keys: list[Digest]
    models: list[Name] = field(default_factory=list)
    versions: list[Name] = field(default_factory=list)
    services: list[Name] = field(default_factory=list)
    quality_target: Share = 0.0
    budget: Price | None = None
    at_limit: Literal["refuse", "cheapest", "alert"] = "refuse"
    objectives: list[Objective] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class Operation:
    """A contract for one call of a plain service.

    Attributes:
        method: HTTP method.
        path: Path of the call, without the service's prefix.
        repeatable: Whether running it twice does no harm.
        timeout_s: Seconds the call may take.
        on_outage: What happens to a call that may not be repeated while
            the platform is down: "refuse" it, or take "tickets", which need
            no platform but are lost with the process that they name.
        price: Cost of a call.
    """

    method: Literal["GET", "POST", "PUT", "DELETE", "PATCH"]
    path: Annotated[str, Meta(pattern=r"^/")]
    repeatable: bool = False
    timeout_s: Annotated[float, Meta(gt=0.0, le=600.0)] = 10.0
    on_outage: Literal["refuse", "tickets"] = "refuse"
    price: Price = 0.0


@dataclass(slots=True, kw_only=True)
class Service:
    """A plain service beside the model engines.

    Attributes:
        operations: The calls that may be made; no other passes.
        partitions: Parts that the idempotency keys are spread over.
        key_window_s: Seconds that an idempotency key is remembered; a key
            sent again later counts as new.
    """

    operations: Annotated[list[Operation], Meta(min_length=1)]
    partitions: Annotated[int, Meta(ge=1, le=64)] = 8
    key_window_s: Annotated[float, Meta(ge=3600.0)] = 86_400.0


@dataclass(slots=True, kw_only=True)
class Operator:
    """Someone who may ask and order in the operators' language.

    Attributes:
        keys: SHA-256 digests, in hex, of the bearer keys.
        role: "viewer" may ask, "operator" may also order roll-outs and
            withdrawals, "admin" may also stop instances.
    """

    keys: list[Digest]
    role: Literal["viewer", "operator", "admin"] = "viewer"


@dataclass(slots=True, kw_only=True)
class Quarantine:
    """A request that is refused because it crashes upstreams.

    Its name is the request's fingerprint.

    Attributes:
        workspace: Whose request it is.
        target: The version or service that it crashes.
        state: "quarantined", or "released" by an operator.
        reason: Why, for people.
        crashes: Ids of the crashes that convicted it; a release excuses it
            of these, and of no later one.
        expires: Unix time, in seconds, after which it is not refused.
    """

    workspace: Name
    target: Name
    state: Literal["quarantined", "released"] = "quarantined"
    reason: str = ""
    crashes: list[str] = field(default_factory=list)
    expires: Annotated[int, Meta(ge=0)] = 0


ConfigObject = (
    Cascade | Model | Operator | Quarantine | Service | Version | Workspace
)


@dataclass(slots=True, kw_only=True)
class Instance:
    """An instance as the platform's lagging list shows it.

    Attributes:
        name: Name of the instance.
        role: "entry" or "sidecar".
        failure_domain: Where it stands.
        address: "IP:PORT" of its link port.
        pool: Versions' model or service that its upstream serves; empty
            for entries.
        state: "live" or "leaving".
        admin: "IP:PORT" of its admin port; empty where the platform's list
            does not show it.
    """

    name: Name
    role: Literal["entry", "sidecar"]
    failure_domain: Name
    address: Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}\Z")]
    pool: str = ""
    state: Literal["live", "leaving"] = "live"
    admin: Annotated[str, Meta(pattern=r"^([0-9.]+:[0-9]{1,5})?\Z")] = ""

    def __post_init__(self) -> None:
        """Refuse an address that can't be dialed.

        Raises:
            ValueError: The IP number or the port is out of range.
        """
        host, port = split_address(self.address)
        ipaddress.IPv4Address(host)
        if port > MAX_PORT:
            raise ValueError(f"no such port: {port}")
