"""Support for what `show` can show."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any, Final

import msgspec

from lacewingdock.components.answers import Answers
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.leases.lease import decode_lease
from lacewingdock.components.membership import Membership
from lacewingdock.components.rollouts.record import decode_rollout
from lacewingdock.const import (
    COLLECTION_COMMANDS,
    COLLECTION_LEASES,
    COLLECTION_ROLLOUTS,
)

PURPOSE: Final = "language"
Rows = list[dict[str, Any]]


@dataclass(slots=True)
class Sources:
    """Where rows come from.

    Attributes:
        configuration: The configuration in force at this entry.
        membership: Upstreams and instances as this entry knows them.
        answers: Requests open at this entry.
        store: The platform, for what is only there.
    """

    configuration: Configuration
    membership: Membership
    answers: Answers
    store: Any

    def revision(self, key: str) -> int:
        """Return the revision in force here of a configuration item."""
        item = self.configuration.table.items.get(key)
        return item.revision if item else 0


@dataclass(slots=True, frozen=True)
class View:
    """One thing to show.

    Attributes:
        columns: Its columns, in order.
        rows: Makes the rows.
        local: Whether this entry knows it all by itself, so that it can be
            shown while the platform is down.
    """

    columns: tuple[str, ...]
    rows: Callable[[Sources], Rows]
    local: bool = True


def _workspaces(sources: Sources) -> Rows:
    return [
        {
            "name": name,
            "models": list(w.models),
            "versions": list(w.versions),
            "services": list(w.services),
            "quality_target": w.quality_target,
            "budget": w.budget,
            "revision": sources.revision(f"workspace/{name}"),
        }
        for name, w in sources.configuration.world.workspaces.items()
    ]


def _versions(sources: Sources) -> Rows:
    world = sources.configuration.world
    rows = []
    for name, version in world.versions.items():
        model = world.models.get(version.model)
        rows.append(
            {
                "name": name,
                "model": version.model,
                "state": version.state,
                "share": model.shares.get(name, 0.0) if model else 0.0,
                "upstreams": len(sources.membership.serving(name)),
                "input_price": version.input_price,
                "output_price": version.output_price,
                "revision": sources.revision(f"version/{name}"),
            }
        )
    return rows


def _models(sources: Sources) -> Rows:
    return [
        {
            "name": name,
            "shares": dict(model.shares),
            "revision": sources.revision(f"model/{name}"),
        }
        for name, model in sources.configuration.world.models.items()
    ]


def _cascades(sources: Sources) -> Rows:
    return [
        {
            "name": name,
            "steps": [step.version for step in cascade.steps],
            "accept": [step.accept for step in cascade.steps],
            "revision": sources.revision(f"cascade/{name}"),
        }
        for name, cascade in sources.configuration.world.cascades.items()
    ]


def _services(sources: Sources) -> Rows:
    return [
        {
            "name": name,
            "operations": [f"{o.method} {o.path}" for o in service.operations],
            "partitions": service.partitions,
            "upstreams": len(sources.membership.serving(name)),
            "revision": sources.revision(f"service/{name}"),
        }
        for name, service in sources.configuration.world.services.items()
    ]


def _operators(sources: Sources) -> Rows:
    return [
        {
            "name": name,
            "role": operator.role,
            "keys": len(operator.keys),
            "revision": sources.revision(f"operator/{name}"),
        }
        for name, operator in sources.configuration.world.operators.items()
    ]


def _quarantine(sources: Sources) -> Rows:
    world = sources.configuration.world
    return [
        {
            "fingerprint": fingerprint,
            "workspace": found.workspace,
            "target": found.target,
            "state": found.state,
            "reason": found.reason,
            "crashes": list(found.crashes),
            "expires": _when(found.expires),
            "revision": sources.revision(f"quarantine/{fingerprint}"),
        }
        for fingerprint, found in world.quarantines.items()
    ]


def _when(unix_s: float) -> str:
    return datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="seconds")


def _upstreams(sources: Sources) -> Rows:
    return [
        {
            "name": u.name,
            "pool": u.instance.pool,
            "failure_domain": u.instance.failure_domain,
            "linked": u.link is not None and not u.link.closed,
            "leaving": u.status.leaving or u.instance.state == "leaving",
            "targets": list(u.status.targets),
            "running": u.status.running,
            "queued": u.status.queued,
            "capacity": u.status.capacity,
            "in_flight": u.in_flight.value,
        }
        for u in tuple(sources.membership.upstreams.values())
    ]


def _instances(sources: Sources) -> Rows:
    return [
        {
            "name": i.name,
            "role": i.role,
            "failure_domain": i.failure_domain,
            "pool": i.pool,
            "state": i.state,
            "address": i.address,
        }
        for i in sources.membership.instances
    ]


def _sessions(sources: Sources) -> Rows:
    """Count the open requests; a session itself is only a caller's token."""
    counts: dict[tuple[str, str, str], int] = {}
    for answer in tuple(sources.answers.open.values()):
        attempt = answer.attempt
        key = (attempt.workspace, attempt.target, answer.upstream.name)
        counts[key] = counts.get(key, 0) + 1
    return [
        {
            "workspace": workspace,
            "version": version,
            "upstream": upstream,
            "requests": count,
        }
        for (workspace, version, upstream), count in counts.items()
    ]


def _revisions(sources: Sources) -> Rows:
    """Say what is in force here and at each linked peer, lowest first."""
    configuration = sources.configuration
    me = configuration.daemon.me
    shown = {me.instance: (me.role, configuration.revision)}
    for link, revision in tuple(configuration.shown.items()):
        shown[link.peer.instance] = (link.peer.role, revision)
    newest = max(revision for _, revision in shown.values())
    return [
        {
            "instance": name,
            "role": role,
            "revision": revision,
            "behind": newest - revision,
        }
        for name, (role, revision) in sorted(
            shown.items(), key=lambda item: item[1][1]
        )
    ]


def _items(sources: Sources) -> Rows:
    table = sources.configuration.table
    return [
        {"key": i.key, "revision": i.revision, "deleted": not i.value}
        for i in tuple(table.items.values())
    ]


def _rollouts(sources: Sources) -> Rows:
    rows = []
    for stored in sources.store.list_all(COLLECTION_ROLLOUTS, PURPOSE).objects:
        rollout = decode_rollout(stored)
        if rollout is not None:
            row = msgspec.to_builtins(rollout)
            row["share"] = rollout.share if rollout.state != "loading" else 0.0
            row["revision"] = stored.revision
            rows.append({c: row[c] for c in VIEWS["rollouts"].columns})
    return rows


def _leases(sources: Sources) -> Rows:
    rows = []
    for stored in sources.store.list_all(COLLECTION_LEASES, PURPOSE).objects:
        row = msgspec.to_builtins(decode_lease(stored))
        rows.append({"name": stored.name, **row, "revision": stored.revision})
    return rows


def _commands(sources: Sources) -> Rows:
    found = sources.store.list_all(COLLECTION_COMMANDS, PURPOSE).objects
    rows = []
    for stored in found:
        if stored.value:
            row = {c: stored.value.get(c) for c in VIEWS["commands"].columns}
            rows.append({**row, "at": _when(stored.value["at"])})
    return rows


VIEWS: Final[dict[str, View]] = {
    "cascades": View(("name", "steps", "accept", "revision"), _cascades),
    "commands": View(
        ("id", "at", "operator", "text", "state", "detail"),
        _commands,
        local=False,
    ),
    "instances": View(
        ("name", "role", "failure_domain", "pool", "state", "address"),
        _instances,
    ),
    "leases": View(
        (
            "name",
            "holder",
            "incarnation",
            "address",
            "fencing",
            "renewals",
            "revision",
        ),
        _leases,
        local=False,
    ),
    "models": View(("name", "shares", "revision"), _models),
    "operators": View(("name", "role", "keys", "revision"), _operators),
    "items": View(("key", "revision", "deleted"), _items),
    "quarantine": View(
        (
            "fingerprint",
            "workspace",
            "target",
            "state",
            "reason",
            "crashes",
            "expires",
            "revision",
        ),
        _quarantine,
    ),
    "revisions": View(("instance", "role", "revision", "behind"), _revisions),
    "rollouts": View(
        (
            "model",
            "version",
            "state",
            "paused",
            "share",
            "step",
            "loaded",
            "engines",
            "by",
            "reason",
            "fencing",
            "revision",
        ),
        _rollouts,
        local=False,
    ),
    "services": View(
        ("name", "operations", "partitions", "upstreams", "revision"),
        _services,
    ),
    "sessions": View(
        ("workspace", "version", "upstream", "requests"), _sessions
    ),
    "upstreams": View(
        (
            "name",
            "pool",
            "failure_domain",
            "linked",
            "leaving",
            "targets",
            "running",
            "queued",
            "capacity",
            "in_flight",
        ),
        _upstreams,
    ),
    "versions": View(
        (
            "name",
            "model",
            "state",
            "share",
            "upstreams",
            "input_price",
            "output_price",
            "revision",
        ),
        _versions,
    ),
    "workspaces": View(
        (
            "name",
            "models",
            "versions",
            "services",
            "quality_target",
            "budget",
            "revision",
        ),
        _workspaces,
    ),
}
