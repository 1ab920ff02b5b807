"""Support for saying where a request would go and why."""

from typing import Any, Final

from lacewingdock.components.language.statements import CommandError, Explain
from lacewingdock.components.language.views import Sources
from lacewingdock.exceptions import ErrorKind
from lacewingdock.world.objects import Workspace
from lacewingdock.world.world import World

COLUMNS: Final = ("step", "version", "share", "upstreams", "verdict", "reason")


def explain_route(statement: Explain, sources: Sources) -> list[dict[str, Any]]:
    """Return a row for each version that the name stands for.

    Raises:
        CommandError: NOT_FOUND or UNKNOWN_MODEL at the word's place.
    """
    world = sources.configuration.world
    workspace = world.workspaces.get(statement.workspace.text)
    if workspace is None:
        raise CommandError(
            f"no workspace {statement.workspace.text!r}",
            statement.workspace.column,
            ErrorKind.NOT_FOUND,
        )
    name = statement.model.text
    steps = _steps(world, name)
    if steps is None:
        raise CommandError(
            f"no model, cascade or version {name!r}",
            statement.model.column,
            ErrorKind.UNKNOWN_MODEL,
        )
    return [
        _row(sources, workspace, name, number, version, share)
        for number, version, share in steps
    ]


def _steps(world: World, name: str) -> list[tuple[int, str, float]] | None:
    """Return (cascade step, version, share) of all that a name stands for."""
    if name in world.versions:
        return [(1, name, 1.0)]
    if cascade := world.cascades.get(name):
        return [(n, s.version, 1.0) for n, s in enumerate(cascade.steps, 1)]
    if model := world.models.get(name):
        return [(1, version, share) for version, share in model.shares.items()]
    return None


def _row(
    sources: Sources,
    workspace: Workspace,
    name: str,
    step: int,
    version: str,
    share: float,
) -> dict[str, Any]:
    world = sources.configuration.world
    serving = [u.name for u in sources.membership.serving(version)]
    named = name in workspace.models or name in world.versions
    if not named:
        reason = f"{name} is not among the workspace's models"
    elif version not in workspace.versions:
        reason = "the version is not among the workspace's versions"
    elif version not in world.versions:
        reason = "the version is not configured"
    elif not world.offered(version):
        reason = "the version is withdrawn"
    elif share <= 0:
        reason = "its share of new sessions is 0; sessions on it stay"
    elif not serving:
        reason = "no upstream linked here has it loaded"
    else:
        reason = ""
    return {
        "step": step,
        "version": version,
        "share": share,
        "upstreams": serving,
        "verdict": "refused" if reason else "taken",
        "reason": reason,
    }
