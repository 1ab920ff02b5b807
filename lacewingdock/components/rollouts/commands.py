"""Support for what operators order of roll-outs, as changed records."""

from dataclasses import replace

from lacewingdock.components.rollouts.const import (
    STATE_RETURNED,
    STATE_RETURNING,
    STATE_UNLOADING,
)
from lacewingdock.components.rollouts.record import (
    Rollout,
    check_steps,
    decode_rollout,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.store import Stored
from lacewingdock.world.objects import Model, Version


def begin_rollout(
    present: Stored, model: Model, version: Version, wanted: Rollout
) -> Rollout:
    """Return the record that starts a roll-out.

    Args:
        present: The model's roll-out object as it is.
        model: The model as the platform has it.
        version: The version to bring in.
        wanted: What the operator asked for.

    Raises:
        LacewingdockError: CONFLICT when one is under way; BAD_COMMAND or
            VERSION_WITHDRAWN when it can't be.
    """
    _refuse_another(present)
    if version.state != "offered":
        raise LacewingdockError(
            ErrorKind.VERSION_WITHDRAWN, f"{wanted.version} is withdrawn"
        )
    if fault := check_steps(wanted.steps):
        raise LacewingdockError(ErrorKind.BAD_COMMAND, fault)
    return replace(wanted, old_shares=dict(model.shares))


def begin_unload(present: Stored, version: Version, wanted: Rollout) -> Rollout:
    """Return the record that takes a version out of the engines.

    Raises:
        LacewingdockError: CONFLICT when a roll-out of the model is under
            way or the version is offered.
    """
    _refuse_another(present)
    if version.state == "offered":
        raise LacewingdockError(
            ErrorKind.CONFLICT,
            f"{wanted.version} is offered: withdraw it first",
        )
    return replace(wanted, state=STATE_UNLOADING, steps=[0.0])


def _refuse_another(present: Stored) -> None:
    known = decode_rollout(present)
    if known is not None and known.active:
        raise LacewingdockError(
            ErrorKind.CONFLICT,
            f"{known.by} has a roll-out of {known.version} under way "
            f"({known.state}, revision {present.revision})",
        )


def change_rollout(
    present: Stored, verb: str, operator: str, model: Stored
) -> Rollout:
    """Return the record that a pause, resume or abort makes.

    Args:
        present: The model's roll-out object as it is.
        verb: "pause", "resume" or "abort".
        operator: Who orders it.
        model: The model as the platform has it.

    Raises:
        LacewingdockError: NOT_FOUND when there is none; CONFLICT when it is
            over or returning already, naming who did it.
    """
    rollout = decode_rollout(present)
    if rollout is None:
        raise LacewingdockError(
            ErrorKind.NOT_FOUND, f"no roll-out of {present.name}"
        )
    if not rollout.active or rollout.state == STATE_RETURNING:
        raise LacewingdockError(
            ErrorKind.CONFLICT,
            f"the roll-out of {rollout.version} is {rollout.state}, "
            f"last ordered by {rollout.by} (revision {present.revision})",
        )
    match verb:
        case "pause":
            return replace(
                rollout, paused=True, by=operator, reason="paused by operator"
            )
        case "resume":
            return _resume(rollout, operator, model)
        case _:
            unloading = rollout.state == STATE_UNLOADING
            return replace(
                rollout,
                state=STATE_RETURNED if unloading else STATE_RETURNING,
                paused=False,
                by=operator,
                reason="aborted by operator",
            )


def _resume(rollout: Rollout, operator: str, model: Stored) -> Rollout:
    """Go on, from another's newer shares if the model has them."""
    resumed = replace(rollout, paused=False, by=operator, reason="")
    ours = model.writer.startswith(f"{rollout.id}:")
    if ours or model.revision == rollout.model_revision:
        return resumed
    return replace(
        resumed,
        old_shares=dict(model.value["shares"]),
        model_revision=model.revision,
    )
