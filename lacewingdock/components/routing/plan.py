"""Support for planning which versions a request may run on, in order."""

import random
from dataclasses import dataclass

from lacewingdock.components.sessions import Session
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.world.objects import Cascade, Model, Step, Workspace
from lacewingdock.world.world import World


@dataclass(slots=True)
class VersionPlan:
    """The versions that a request tries, in order.

    Attributes:
        name: Model, cascade or version that the caller asked for.
        steps: The steps; the answer of the last step is returned whatever its
            rating.
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
    """Return the versions that a request tries.

    Args:
        world: The configuration in force.
        workspace: The caller's workspace.
        name: Model, cascade or version asked for.
        session: The caller's session, if it has one.
        rng: Source of the draw among a model's versions.

    Raises:
        LacewingdockError: UNKNOWN_MODEL, MODEL_NOT_ALLOWED or
            VERSION_WITHDRAWN; not run.
    """
    _check_name(world, workspace, name)
    if session is None or session.name != name:
        return VersionPlan(name, _resolve_steps(world, workspace, name, rng))
    # Checked before the versions of the name: the session's version may still
    # be offered when new sessions would get another version or none.
    if session.version in workspace.versions and world.offered(session.version):
        return VersionPlan(name, [Step(version=session.version)])
    # Withdrawal overrides session affinity; a header reports the move.
    steps = _resolve_steps(world, workspace, name, rng)
    return VersionPlan(name, steps, moved_from=session.version)


def _check_name(world: World, workspace: Workspace, name: str) -> None:
    """Raise for a name that is unknown or not allowed to the workspace."""
    if name in workspace.models:
        return
    if name in workspace.versions and name in world.versions:
        return
    exists = name in world.models or name in world.cascades
    exists = exists or name in world.versions
    raise LacewingdockError(
        ErrorKind.MODEL_NOT_ALLOWED if exists else ErrorKind.UNKNOWN_MODEL,
        f"model {name!r}",
    )


def _resolve_steps(
    world: World, workspace: Workspace, name: str, rng: random.Random
) -> list[Step]:
    """Return the steps of a name that are allowed and offered now."""
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
    """Return the steps whose version is offered; raise if there is none."""
    offered = [step for step in steps if world.offered(step.version)]
    if not offered:
        raise LacewingdockError(
            ErrorKind.VERSION_WITHDRAWN,
            f"every version of {name!r} is withdrawn",
        )
    return offered


def _draw_version(
    world: World,
    workspace: Workspace,
    shares: dict[str, float],
    rng: random.Random,
) -> list[Step]:
    """Draw a version by its share among those allowed and offered.

    If none is offered with a share above 0, the draw is among all allowed
    versions; `_offered_steps` then refuses a withdrawn one.
    """
    allowed = {v: s for v, s in shares.items() if v in workspace.versions}
    offered = {v: s for v, s in allowed.items() if world.offered(v) and s > 0}
    candidates = offered or allowed
    if not candidates:
        return []
    weights = [share or 1e-9 for share in candidates.values()]
    (version,) = rng.choices(list(candidates), weights)
    return [Step(version=version)]
