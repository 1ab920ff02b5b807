"""Support for planning which versions a request may run on, in order."""

import random
from dataclasses import dataclass

from lacewingdock.components.sessions import Session
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.world.objects import Cascade, Model, Step, Workspace
from lacewingdock.world.world import World


@dataclass(slots=True)
class VersionPlan:
    """The versions to try, in order.

    Attributes:
        name: What the caller asked for.
        steps: The steps; the last one's answer is given whatever its rating.
        moved_from: Version that the session had to leave, or empty.
    """

    name: str
    steps: list[Step]
    moved_from: str = ""


def plan_request(
    world: World,
    workspace: Workspace,
    name: str,
    session: Session | None,
    rng: random.Random,
) -> VersionPlan:
    """Plan a request.

    Args:
        world: The configuration in force.
        workspace: The caller's workspace.
        name: Model, cascade or version asked for.
        session: The caller's session, if it has one.
        rng: Source of the draw among a model's versions.

    Raises:
        LacewingdockError: UNKNOWN_MODEL, MODEL_NOT_ALLOWED or
            VERSION_WITHDRAWN; none of them ran.
    """
    _check_name(world, workspace, name)
    if session is None or session.name != name:
        return VersionPlan(name, _resolve_steps(world, workspace, name, rng))
    # Before the name's own versions are looked at: the session's one may be
    # offered still when no new session would get it, nor any other.
    if session.version in workspace.versions and world.offered(session.version):
        return VersionPlan(name, [Step(version=session.version)])
    # Withdrawal goes before stickiness; the caller is told in a header.
    steps = _resolve_steps(world, workspace, name, rng)
    return VersionPlan(name, steps, moved_from=session.version)


def _check_name(world: World, workspace: Workspace, name: str) -> None:
    """Refuse a name that the workspace may not ask for."""
    if name in workspace.models:
        return
    if name in workspace.versions and name in world.versions:
        return
    known = name in world.models or name in world.cascades
    known = known or name in world.versions
    raise LacewingdockError(
        ErrorKind.MODEL_NOT_ALLOWED if known else ErrorKind.UNKNOWN_MODEL,
        f"model {name!r}",
    )


def _resolve_steps(
    world: World, workspace: Workspace, name: str, rng: random.Random
) -> list[Step]:
    """Return the steps of a name that the workspace allows now."""
    if name in world.versions and name in workspace.versions:
        return _offered_steps(world, name, [Step(version=name)])
    match world.cascades.get(name) or world.models.get(name):
        case Cascade(steps=steps):
            allowed = [s for s in steps if s.version in workspace.versions]
        case Model(shares=shares):
            allowed = _draw_version(world, workspace, shares, rng)
        case _:
            raise LacewingdockError(ErrorKind.UNKNOWN_MODEL, f"model {name!r}")
    if not allowed:
        raise LacewingdockError(
            ErrorKind.MODEL_NOT_ALLOWED, f"no version of {name!r} is allowed"
        )
    return _offered_steps(world, name, allowed)


def _offered_steps(world: World, name: str, steps: list[Step]) -> list[Step]:
    offered = [step for step in steps if world.offered(step.version)]
    if not offered:
        raise LacewingdockError(
            ErrorKind.VERSION_WITHDRAWN, f"every version of {name!r}"
        )
    return offered


def _draw_version(
    world: World,
    workspace: Workspace,
    shares: dict[str, float],
    rng: random.Random,
) -> list[Step]:
    """Draw one version by the shares, among those allowed and offered."""
    allowed = {v: s for v, s in shares.items() if v in workspace.versions}
    offered = {v: s for v, s in allowed.items() if world.offered(v) and s > 0}
    candidates = offered or allowed
    if not candidates:
        return []
    weights = [share or 1e-9 for share in candidates.values()]
    (version,) = rng.choices(list(candidates), weights)
    return [Step(version=version)]
