"""Support for consistent snapshots of all configured objects."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field, fields
from typing import Any, Final

import msgspec

from lacewingdock.const import (
    KIND_CASCADE,
    KIND_MODEL,
    KIND_OPERATOR,
    KIND_QUARANTINE,
    KIND_SERVICE,
    KIND_VERSION,
    KIND_WORKSPACE,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.json import decode_json
from lacewingdock.world.objects import (
    Cascade,
    ConfigObject,
    Model,
    Operation,
    Operator,
    Quarantine,
    Service,
    Version,
    Workspace,
)

CLASSES: Final[dict[str, type]] = {
    KIND_CASCADE: Cascade,
    KIND_MODEL: Model,
    KIND_OPERATOR: Operator,
    KIND_QUARANTINE: Quarantine,
    KIND_SERVICE: Service,
    KIND_VERSION: Version,
    KIND_WORKSPACE: Workspace,
}


@dataclass(slots=True)
class World:
    """Snapshot of all configured objects by name, immutable once built.

    Attributes:
        cascades: Cascades by name.
        models: Models by name.
        operators: Operators by name.
        quarantines: Quarantined requests by fingerprint.
        services: Plain services by name.
        versions: Model versions by name.
        workspaces: Workspaces by name.
        key_owners: Workspace names by digest of the bearer key.
        suspended: Versions that currently receive no new requests from this
            entry, based on its own observations.
    """

    cascades: dict[str, Cascade] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)
    operators: dict[str, Operator] = field(default_factory=dict)
    quarantines: dict[str, Quarantine] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    versions: dict[str, Version] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    key_owners: dict[str, str] = field(default_factory=dict)
    suspended: set[str] = field(default_factory=set)

    def add(self, name: str, item: ConfigObject) -> None:
        """Add an object; only valid while building the snapshot."""
        match item:
            case Cascade():
                self.cascades[name] = item
            case Model():
                self.models[name] = item
            case Operator():
                self.operators[name] = item
            case Quarantine():
                self.quarantines[name] = item
            case Service():
                self.services[name] = item
            case Version():
                self.versions[name] = item
            case Workspace():
                self.workspaces[name] = item
                for digest in item.keys:
                    self.key_owners[digest] = name

    def authenticate(self, key: str) -> tuple[str, Workspace]:
        """Return the name and workspace that a bearer key belongs to.

        Raises:
            LacewingdockError: UNAUTHORIZED when no workspace has the key.
        """
        digest = hashlib.sha256(key.encode()).hexdigest()
        name = self.key_owners.get(digest)
        if name is None:
            raise LacewingdockError(
                ErrorKind.UNAUTHORIZED, "no workspace has this bearer key"
            )
        return name, self.workspaces[name]

    def operator(self, key: str) -> tuple[str, Operator]:
        """Return the name and operator that a bearer key belongs to.

        Raises:
            LacewingdockError: UNAUTHORIZED when no operator has the key.
        """
        digest = hashlib.sha256(key.encode()).hexdigest()
        for name, operator in self.operators.items():
            if digest in operator.keys:
                return name, operator
        raise LacewingdockError(
            ErrorKind.UNAUTHORIZED, "no operator has this bearer key"
        )

    def offered(self, version: str) -> bool:
        """Return whether a version may receive new requests."""
        found = self.versions.get(version)
        return (
            found is not None
            and found.state == "offered"
            and version not in self.suspended
        )

    def operation(self, service: str, method: str, path: str) -> Operation:
        """Return the contract of a service call.

        Raises:
            LacewingdockError: UNKNOWN_SERVICE if no operation matches.
        """
        found = self.services.get(service)
        for operation in found.operations if found else ():
            if (operation.method, operation.path) == (method, path):
                return operation
        raise LacewingdockError(
            ErrorKind.UNKNOWN_SERVICE, f"{method} {path} of {service}"
        )


def decode_item(key: str, value: Any) -> tuple[str, ConfigObject]:
    """Validate an item and build its object.

    Args:
        key: "KIND/NAME".
        value: JSON bytes, or the decoded value.

    Returns:
        The name and the object.

    Raises:
        LacewingdockError: BAD_MANIFEST naming the key and the invalid value.
    """
    kind, _, name = key.partition("/")
    cls = CLASSES.get(kind)
    if cls is None or not name:
        raise LacewingdockError(
            ErrorKind.BAD_MANIFEST,
            f"{key}: kind must be one of {', '.join(sorted(CLASSES))}",
        )
    try:
        if isinstance(value, bytes):
            value = decode_json(value)
        _reject_unknown_fields(cls, value)
        return name, msgspec.convert(value, cls)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise LacewingdockError(
            ErrorKind.BAD_MANIFEST, f"{key}: {error}"
        ) from error


def _reject_unknown_fields(cls: type, value: Any) -> None:
    """Reject unknown fields: a misspelt field would keep its default."""
    if isinstance(value, dict):
        unknown = set(value) - {field.name for field in fields(cls)}
        if unknown:
            raise msgspec.ValidationError(
                f"unknown field: {', '.join(sorted(map(str, unknown)))}"
            )


def build_world(items: Iterable[tuple[str, bytes]]) -> tuple[World, list[str]]:
    """Build a snapshot from items.

    Returns:
        The snapshot without invalid items, and an error message per invalid
        item.
    """
    world = World()
    faults = []
    for key, value in items:
        try:
            world.add(*decode_item(key, value))
        except LacewingdockError as error:
            faults.append(error.detail)
    return world, faults
