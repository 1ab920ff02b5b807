"""Support for turning an order into the one write that carries it out."""

from dataclasses import dataclass, replace
from typing import Any

import msgspec

from lacewingdock.components.language.statements import (
    Change,
    CommandError,
    Release,
    RollOut,
    SetState,
    Unload,
    Word,
)
from lacewingdock.components.quarantine.storage import released_value
from lacewingdock.components.rollouts.commands import (
    begin_rollout,
    begin_unload,
    change_rollout,
)
from lacewingdock.components.rollouts.const import DEFAULT_PARALLEL
from lacewingdock.components.rollouts.record import Rollout
from lacewingdock.const import (
    COLLECTION_COMMANDS,
    COLLECTION_CONFIG,
    COLLECTION_ROLLOUTS,
    KIND_MODEL,
    KIND_QUARANTINE,
    KIND_VERSION,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.platform.store import Stored
from lacewingdock.world.objects import Model, Version

PURPOSE = "language"


@dataclass(slots=True, frozen=True)
class Plan:
    """One conditional update, and what it does in words.

    Attributes:
        collection: Where the object is.
        name: Its name.
        expect: Revision that it must have.
        value: What it becomes; None when it is so already.
        summary: What that does, for people.
    """

    collection: str
    name: str
    expect: int
    value: Any
    summary: str


def plan_order(
    order: RollOut | Unload | Change | SetState | Release,
    operator: str,
    store: Any,
) -> Plan:
    """Plan an order on the platform's present objects.

    Args:
        order: The order.
        operator: Who gives it.
        store: The platform.

    Raises:
        LacewingdockError: CONFLICT, naming who was first; NOT_FOUND at the
            word's place; PLATFORM_UNAVAILABLE.
    """
    match order:
        case RollOut():
            return _plan_rollout(order, operator, store)
        case Unload():
            return _plan_unload(order, operator, store)
        case Change(verb=verb, model=model):
            return _plan_change(order, verb, model, operator, store)
        case SetState(version=version, state=state):
            return _plan_state(order, version, state, store)
        case Release(fingerprint=fingerprint):
            return _plan_release(order, fingerprint, store)


def _plan_rollout(order: RollOut, operator: str, store: Any) -> Plan:
    _, value = _item(store, KIND_VERSION, order.version)
    version = msgspec.convert(value, Version)
    model_word = Word(version.model, order.version.column)
    model_stored, model_value = _item(store, KIND_MODEL, model_word)
    if order.tail.if_revision is not None:
        check_revision(store, model_stored, order.tail.if_revision)
    wanted = Rollout(
        id=f"r-{new_id()}",
        model=version.model,
        version=order.version.text,
        old_shares={},
        by=operator,
        model_revision=model_stored.revision,
    )
    given = {
        "steps": order.steps,
        "dwell_s": order.dwell_s,
        "parallel": order.parallel,
        "pool": order.pool,
        "evidence": order.evidence,
    }
    chosen: dict[str, Any] = {k: v for k, v in given.items() if v is not None}
    wanted = replace(wanted, **chosen)
    present = store.get(COLLECTION_ROLLOUTS, version.model, PURPOSE)
    model = msgspec.convert(model_value, Model)
    begun = begin_rollout(present, model, version, wanted)
    shares = ", ".join(f"{share:g}" for share in begun.steps)
    return Plan(
        COLLECTION_ROLLOUTS,
        version.model,
        present.revision,
        msgspec.to_builtins(begun),
        f"roll out {begun.version} of {begun.model}: {shares}, "
        f"{begun.dwell_s:g} s each",
    )


def _plan_unload(order: Unload, operator: str, store: Any) -> Plan:
    stored, value = _item(store, KIND_VERSION, order.version)
    if order.tail.if_revision is not None:
        check_revision(store, stored, order.tail.if_revision)
    version = msgspec.convert(value, Version)
    wanted = Rollout(
        id=f"r-{new_id()}",
        model=version.model,
        version=order.version.text,
        old_shares={},
        by=operator,
        pool=order.pool or "",
        parallel=order.parallel or DEFAULT_PARALLEL,
    )
    present = store.get(COLLECTION_ROLLOUTS, version.model, PURPOSE)
    return Plan(
        COLLECTION_ROLLOUTS,
        version.model,
        present.revision,
        msgspec.to_builtins(begin_unload(present, version, wanted)),
        f"unload {order.version.text} from the engines",
    )


def _plan_change(
    order: Change, verb: str, model: Word, operator: str, store: Any
) -> Plan:
    present = store.get(COLLECTION_ROLLOUTS, model.text, PURPOSE)
    if order.tail.if_revision is not None:
        check_revision(store, present, order.tail.if_revision)
    if not present.value:
        raise CommandError(
            f"no roll-out of {model.text!r}", model.column, ErrorKind.NOT_FOUND
        )
    config = store.get(COLLECTION_CONFIG, f"{KIND_MODEL}/{model.text}", PURPOSE)
    changed = change_rollout(present, verb, operator, config)
    return Plan(
        COLLECTION_ROLLOUTS,
        model.text,
        present.revision,
        msgspec.to_builtins(changed),
        f"{verb} the roll-out of {changed.version} of {model.text}",
    )


def _plan_state(order: SetState, version: Word, state: str, store: Any) -> Plan:
    stored, value = _item(store, KIND_VERSION, version)
    if order.tail.if_revision is not None:
        check_revision(store, stored, order.tail.if_revision)
    key = stored.name
    if value.get("state", "offered") == state:
        return Plan(
            COLLECTION_CONFIG,
            key,
            stored.revision,
            None,
            f"{version.text} is {state} already, by "
            f"{who_wrote(store, stored)} at revision {stored.revision}",
        )
    return Plan(
        COLLECTION_CONFIG,
        key,
        stored.revision,
        {**value, "state": state},
        f"{version.text} is {state}",
    )


def _plan_release(order: Release, fingerprint: Word, store: Any) -> Plan:
    stored, value = _item(store, KIND_QUARANTINE, fingerprint)
    if order.tail.if_revision is not None:
        check_revision(store, stored, order.tail.if_revision)
    return Plan(
        COLLECTION_CONFIG,
        stored.name,
        stored.revision,
        released_value(value),
        f"{fingerprint.text} of {value['workspace']} may run again",
    )


def _item(store: Any, kind: str, word: Word) -> tuple[Stored, dict[str, Any]]:
    """Read a configuration item that must exist."""
    stored: Stored = store.get(
        COLLECTION_CONFIG, f"{kind}/{word.text}", PURPOSE
    )
    if not stored.value:
        raise CommandError(
            f"no {kind} {word.text!r}", word.column, ErrorKind.NOT_FOUND
        )
    return stored, stored.value


def check_revision(store: Any, stored: Stored, wanted: int) -> None:
    """Refuse an order whose operator saw another revision.

    Raises:
        LacewingdockError: CONFLICT, naming who wrote the present one.
    """
    if stored.revision != wanted:
        raise LacewingdockError(
            ErrorKind.CONFLICT,
            f"{stored.name} is at revision {stored.revision}, not {wanted}; "
            f"written by {who_wrote(store, stored)}",
        )


def who_wrote(store: Any, stored: Stored) -> str:
    """Name who wrote an object last, from the audit trail."""
    if stored.writer.startswith("r-"):
        return "the roll-outs' controller"
    command = store.get(COLLECTION_COMMANDS, stored.writer or "-", PURPOSE)
    if command.value:
        return f"{command.value['operator']} (command {stored.writer})"
    return "an apply of a manifest"
