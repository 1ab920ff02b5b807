"""Decoding of the documents in the platform's store.

Other modules use the decoded types of `world` instead of the documents.
"""

import socket
from collections.abc import Iterable
from typing import Any, Final, Literal

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.unknown_names import UnknownNames
from lacewingdock.platform.history import format_revision
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.backend import ShiftOrder, ShiftState, UpstreamEntry
from lacewingdock.world.route import (
    Caller,
    CallerLimits,
    Repeat,
    Route,
    RoutingTable,
    ServiceLimits,
    Target,
)

KIND_CONFIGURATION: Final = "config"
KIND_INSTANCES: Final = "servers"
KIND_SHIFTS: Final = "rollouts"
# Each is named after the failure domain whose instances get no requests.
KIND_CORDONS: Final = "evacuations"
CONFIGURATION_NAME: Final = "main"

# Highest port number.
MAX_PORT: Final = 65535
# Longest time, in seconds, for which an entry may declare its instance cold and
# so keep it from its full load.
MAX_COLD_S: Final = 60.0

_IDEMPOTENT: Final = "idempotent"
_STREAMING: Final = "streaming"
_DRAINING: Final = "draining"

log = get_logger("platform")

# Fields of the platform's objects that are not decoded here.
unknown_fields: Final = UnknownNames("object")


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    goal_ms: float = 1000.0
    gap_target_ms: float = 0.0
    priority: int = 5
    # Names of the models, despite the field's name; smallest model first.
    sizes: list[str] = []
    service: str = ""
    split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Model(msgspec.Struct):
    name: str
    cost: float = 0.0


class _Engine(msgspec.Struct):
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 0
    # Seconds for which a started instance is cold, and requests a second that
    # it can serve meanwhile.
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    health_path: str = ""
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: Literal["ready", "draining"]
    sequence: int
    cold_left_ms: float
    # Start time of the instance, in Unix milliseconds.
    born: int = 0


class _Rollout(msgspec.Struct):
    service: str
    target: str
    duration_s: float


class _RolloutStatus(msgspec.Struct):
    state: str = ""
    target: str = ""


# Known fields that are deliberately ignored. docs/platform-words.md gives the
# reasons.
_IGNORED_FIELDS: Final[dict[type[Any], frozenset[str]]] = {
    _Route: frozenset({"sticky", "protocol"}),
    _Service: frozenset({"protocol", "tls"}),
    _Engine: frozenset(
        {
            "backups",
            "handle_s",
            "hold_ms",
            "kv_cache_tokens",
            "kv_token_bytes",
            "link_mbps",
            "most",
            "moves",
            "pin_ms",
            "slots",
            "stride",
        }
    ),
}

_KNOWN_FIELDS: Final[dict[type[Any], frozenset[str]]] = {
    cls: _IGNORED_FIELDS.get(cls, frozenset()).union(cls.__struct_fields__)
    for cls in (
        _Configuration,
        _Engine,
        _Limits,
        _Rollout,
        _Route,
        _Server,
        _Service,
        _Tenant,
    )
}


def read_configuration(stored: StoredObject) -> RoutingTable:
    """Decode the operator's configuration.

    Raises:
        LacewingdockError: BAD_MANIFEST, naming the invalid field.
    """
    found = _decode_spec(stored, _Configuration)
    _record_unknown_in_parts(stored)
    callers = None
    if found.tenants is not None:
        callers = {
            key: Caller(tenant.name, tenant.priority)
            for tenant in found.tenants
            for key in tenant.api_keys
        }
    limits = found.limits or _Limits()
    return RoutingTable(
        found.version,
        [_to_route(route) for route in found.routes],
        callers,
        CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            read_s=limits.header_timeout_ms / 1000,
            idle_s=limits.idle_timeout_ms / 1000,
        ),
        {
            service.name: _to_service_limits(service)
            for service in found.services
        },
    )


def read_instance(stored: StoredObject) -> UpstreamEntry:
    """Decode the entry of an upstream instance, whose id is its name.

    Other programs may write entries too. An entry is therefore accepted only
    in the form that instances write: with all fields, and without conversion
    of types.

    Raises:
        LacewingdockError: BAD_MANIFEST, naming the invalid field.
    """
    found = _decode_spec(stored, _Server, strict=True)
    host, port = _parse_address(stored, found.address)
    return UpstreamEntry(
        id=stored.name,
        service=found.service,
        host=host,
        port=port,
        failure_domain=found.zone,
        version=found.version,
        slots=max(found.slots, 1),
        leaving=found.state == _DRAINING,
        born=found.born,
        cold_left_s=min(max(found.cold_left_ms / 1000, 0.0), MAX_COLD_S),
        created=stored.created,
        sequence=found.sequence,
    )


def _parse_address(stored: StoredObject, text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
        number = int(port) if port.isascii() and port.isdigit() else 0
    except (OSError, ValueError):
        number = 0
    if not 0 < number <= MAX_PORT:
        raise _invalid_document(
            stored, f"address: expected IPv4:PORT, got {text!r}"
        )
    return host, number


def read_shift(stored: StoredObject) -> ShiftOrder:
    """Decode an order to roll out a version, together with its state.

    Raises:
        LacewingdockError: BAD_MANIFEST, naming the invalid field.
    """
    found = _decode_spec(stored, _Rollout)
    status = _RolloutStatus()
    if stored.status:
        try:
            status = msgspec.convert(stored.status, _RolloutStatus)
        except msgspec.ValidationError as error:
            raise _invalid_document(stored, f"status: {error}") from error
    state = ShiftState.ORDERED
    # The object keeps the status of an earlier order until that of this order
    # is written.
    if status.target == found.target and status.state in list(ShiftState):
        state = ShiftState(status.state)
    return ShiftOrder(
        name=stored.name,
        revision=stored.revision,
        service=found.service,
        target=found.target,
        duration_s=found.duration_s,
        state=state,
    )


def shift_status(order: ShiftOrder, state: ShiftState) -> dict[str, Any]:
    """Encode the state of an order as the status of its object."""
    return {"state": state.value, "target": order.target}


def _decode_spec(
    stored: StoredObject, cls: type[Any], *, strict: bool = False
) -> Any:
    try:
        found = msgspec.convert(stored.spec, cls, strict=strict)
    except msgspec.ValidationError as error:
        raise _invalid_document(stored, str(error)) from error
    _record_unknown_fields(stored.name, cls, [stored.spec])
    return found


def _record_unknown_in_parts(stored: StoredObject) -> None:
    """Record the unknown fields in all parts of a valid configuration."""
    spec = stored.spec
    services = spec.get("services") or []
    engines = [one["engine"] for one in services if one.get("engine")]
    _record_unknown_fields(stored.name, _Route, spec["routes"])
    _record_unknown_fields(stored.name, _Service, services)
    _record_unknown_fields(stored.name, _Engine, engines)
    _record_unknown_fields(stored.name, _Limits, [spec.get("limits") or {}])
    _record_unknown_fields(stored.name, _Tenant, spec.get("tenants") or [])


def _record_unknown_fields(
    source: str, cls: type[Any], found: Iterable[dict[str, Any]]
) -> None:
    """Record unknown fields, each with the name of its part of the object.

    Args:
        source: Name of the object.
        cls: Type that the object, or some of its parts, was decoded to.
        found: The object or parts before decoding.
    """
    names = {name for one in found for name in one.keys() - _KNOWN_FIELDS[cls]}
    part = cls.__name__.strip("_").lower()
    unknown_fields.count_names(
        source, sorted(f"{part}.{name}" for name in names)
    )


def _invalid_document(stored: StoredObject, detail: str) -> LacewingdockError:
    return LacewingdockError(
        ErrorKind.BAD_MANIFEST,
        f"{stored.name} at revision"
        f" {format_revision(stored.revision)}: {detail}",
    )


def _to_route(found: _Route) -> Route:
    targets = [Target(one.service, one.weight) for one in found.split]
    return Route(
        name=found.name,
        host=found.host,
        prefix=found.path_prefix,
        targets=tuple(targets or [Target(found.service)]),
        repeat=_repeat_policy(found),
        streaming=found.kind == _STREAMING,
        timeout_s=found.timeout_ms / 1000,
        goal_s=found.goal_ms / 1000,
        gap_s=found.gap_target_ms / 1000,
        priority=found.priority,
        models=tuple(found.sizes),
        max_attempts=max(found.max_attempts, 1),
        public=found.public,
    )


def _repeat_policy(found: _Route) -> Repeat:
    """Return whether requests may be repeated; an unknown kind runs once."""
    if found.kind == _IDEMPOTENT:
        return Repeat.IDEMPOTENT
    if found.kind == _STREAMING and found.resumable:
        return Repeat.RESUMABLE
    return Repeat.ONCE


def _to_service_limits(found: _Service) -> ServiceLimits:
    models = found.engine.models if found.engine else []
    return ServiceLimits(
        name=found.name,
        max_connections=found.max_conns,
        cold_start_s=max(found.cold_start_s, 0.0),
        cold_per_s=max(found.cold_per_s, 0.0),
        model_costs={model.name: model.cost for model in models},
        health_path=found.health_path,
    )
