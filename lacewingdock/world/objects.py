"""Support for configured objects such as versions, models and workspaces."""

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
        model: Name of the model that the version belongs to.
        state: "offered", or "withdrawn" to receive no new requests.
        input_price: Cost per thousand input tokens.
        output_price: Cost per thousand generated tokens.
    """

    model: Name
    state: Literal["offered", "withdrawn"] = "offered"
    input_price: Price = 0.0
    output_price: Price = 0.0


@dataclass(slots=True, kw_only=True)
class Model:
    """A model as requested by callers, with the versions that serve it.

    Attributes:
        shares: Share of new sessions by version; the shares need not sum to
            one.
        incoming: Version of the current or latest roll-out; empty if there was
            no roll-out.
    """

    shares: dict[Name, Share]
    incoming: str = ""


@dataclass(slots=True, kw_only=True)
class Step:
    """One step of a cascade.

    Attributes:
        version: Version to try.
        accept: Lowest rating at which the answer is accepted; ignored on the
            last step.
    """

    version: Name
    accept: Share = 0.0


@dataclass(slots=True, kw_only=True)
class Cascade:
    """Versions to try in order, from the cheapest to the most expensive.

    Attributes:
        steps: Steps in order, at most eight; the answer of the last step is
            accepted regardless of its rating.
    """

    steps: Annotated[list[Step], Meta(min_length=1, max_length=8)]


@dataclass(slots=True, kw_only=True)
class Objective:
    """A service-level objective of a workspace.

    Attributes:
        measure: Service-level indicator.
        target: Share of events that must be good.
        limit_s: Latency limit in seconds, for latency measures.
    """

    measure: Literal[
        "availability", "first_token", "inter_token", "quality", "whole_answer"
    ]
    target: Annotated[float, Meta(gt=0.0, lt=1.0)]
    limit_s: Annotated[float, Meta(gt=0.0)] | None = None


@dataclass(slots=True, kw_only=True)
class Workspace:
    """A tenant's workspace with its keys, permissions and budget.

    Attributes:
        keys: SHA-256 digests of the bearer keys, in hexadecimal.
        models: Models and cascades that callers may request.
        versions: Versions that may serve the requests.
        services: Plain services that callers may use.
        quality_target: Share of answers that must be good.
        budget: Maximum cost per day (UTC); None for no limit.
        at_limit: Action once the budget is exhausted: "refuse" new requests,
            continue with the "cheapest" step, or continue and "alert".
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
    """Contract of one operation of a plain service.

    Attributes:
        method: HTTP method.
        path: Request path without the prefix of the service.
        repeatable: Whether the operation is idempotent.
        timeout_s: Timeout of a call in seconds.
        on_outage: Handling of calls that are not idempotent while the platform
            is down: "refuse" them, or accept them with "tickets", which need
            no platform but are lost with the process that issued them.
        price: Cost per call.
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
        operations: Allowed operations; all other calls are rejected.
        partitions: Number of partitions of the idempotency keys.
        key_window_s: Seconds for which an idempotency key is stored; a key
            that is sent again later counts as new.
    """

    operations: Annotated[list[Operation], Meta(min_length=1)]
    partitions: Annotated[int, Meta(ge=1, le=64)] = 8
    key_window_s: Annotated[float, Meta(ge=3600.0)] = 86_400.0


@dataclass(slots=True, kw_only=True)
class Operator:
    """An operator who may query and send commands in the command language.

    Attributes:
        keys: SHA-256 digests of the bearer keys, in hexadecimal.
        role: "viewer" may query, "operator" may also start roll-outs and
            withdrawals, "admin" may also stop instances.
    """

    keys: list[Digest]
    role: Literal["viewer", "operator", "admin"] = "viewer"


@dataclass(slots=True, kw_only=True)
class Quarantine:
    """A poison request, rejected because it crashes upstreams.

    The name of the object is the fingerprint of the request.

    Attributes:
        workspace: Workspace that sent the request.
        target: Version or service that the request crashes.
        state: "quarantined", or "released" by an operator.
        reason: Explanation for operators.
        crashes: Ids of the crashes that led to the quarantine; a release
            discounts these crashes, but no later ones.
        expires: Unix time, in seconds, at which the quarantine ends.
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
    """An instance as listed by the platform; the list may be stale.

    Attributes:
        name: Name of the instance.
        role: "entry" or "sidecar".
        failure_domain: Failure domain of the instance.
        address: "IP:PORT" of the link port.
        pool: Model or service that the upstream serves; empty for entries.
        state: "live" or "leaving".
        admin: "IP:PORT" of the admin port; empty if the platform does not
            list it.
    """

    name: Name
    role: Literal["entry", "sidecar"]
    failure_domain: Name
    address: Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}\Z")]
    pool: str = ""
    state: Literal["live", "leaving"] = "live"
    admin: Annotated[str, Meta(pattern=r"^([0-9.]+:[0-9]{1,5})?\Z")] = ""

    def __post_init__(self) -> None:
        """Reject an address that cannot be dialed.

        Raises:
            ValueError: The IP address or the port is out of range.
        """
        host, port = split_address(self.address)
        ipaddress.IPv4Address(host)
        if port > MAX_PORT:
            raise ValueError(f"port {port} is out of range")
