"""Support for orders that take effect once, and the trail they leave.

A command's record is written before its effect and names it in full: object,
expected revision and new value. Sending the command again, at any entry,
carries on from the record. The effect is one conditional update whose
writer is the command's id, so it can land once at most, and whether it did
is read off the object.
"""

import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Literal

import msgspec

from lacewingdock.components.language.plans import PURPOSE, Plan, who_wrote
from lacewingdock.const import COLLECTION_COMMANDS, RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.store import ABSENT


@dataclass(slots=True, kw_only=True)
class CommandRecord:
    """A command as the platform keeps it.

    Attributes:
        id: Its id; the record's name.
        operator: Who ordered it.
        text: What was ordered.
        collection: Where the object is that it changes.
        name: The object's name.
        expect: Revision that the object must have.
        value: What the object becomes.
        summary: What that does, for people.
        at: Wall-clock seconds of the order.
        state: "begun" until the effect is settled.
        detail: What came of it.
    """

    id: str
    operator: str
    text: str
    collection: str
    name: str
    expect: int
    value: Any
    summary: str
    at: float = field(default_factory=time.time)
    state: Literal["begun", "done", "refused", "unknown"] = "begun"
    detail: str = ""


Settle = Callable[[Any, CommandRecord, bool], CommandRecord]


def carry_out(
    store: Any,
    command: str,
    operator: str,
    text: str,
    plan: Callable[[], Plan],
    settle: Settle,
) -> CommandRecord:
    """Carry a command out, or carry on with it.

    Args:
        store: The platform.
        command: The command's id.
        operator: Who orders it.
        text: What is ordered.
        plan: Plans the effect; only called for a new command.
        settle: Lets the effect land; told whether the command is new.

    Returns:
        The settled record.

    Raises:
        LacewingdockError: CONFLICT when another was first or the id is
            another command's; PLATFORM_UNAVAILABLE, ran "unknown", when
            sending it again will tell; what `plan` raises.
    """
    stored = store.get(COLLECTION_COMMANDS, command, PURPOSE)
    fresh = stored.revision == ABSENT
    if fresh:
        stored, fresh = _begin(store, command, operator, text, plan())
    record = msgspec.convert(stored.value, CommandRecord)
    if (record.operator, record.text) != (operator, text):
        raise LacewingdockError(
            ErrorKind.CONFLICT,
            f"the id {command!r} is of {record.operator}'s {record.text!r}",
        )
    if record.state == "begun":
        record = settle(store, record, fresh)
        _note(store, record, stored.revision)
    if record.state != "done":
        ran = RAN_NO if record.state == "refused" else RAN_UNKNOWN
        raise LacewingdockError(ErrorKind.CONFLICT, record.detail, ran)
    return record


def _note(store: Any, record: CommandRecord, revision: int) -> None:
    """Keep what came of a command.

    The effect is settled whatever becomes of this write: without it the
    trail says "begun", and sending the command again reads the effect off.
    """
    with contextlib.suppress(LacewingdockError):
        store.put(
            COLLECTION_COMMANDS,
            record.id,
            msgspec.to_builtins(record),
            revision,
            PURPOSE,
        )


def _begin(
    store: Any, command: str, operator: str, text: str, plan: Plan
) -> tuple[Any, bool]:
    """Write a command's record; tell whether it is this call's own."""
    record = CommandRecord(
        id=command,
        operator=operator,
        text=text,
        collection=plan.collection,
        name=plan.name,
        expect=plan.expect,
        value=plan.value,
        summary=plan.summary,
    )
    try:
        stored = store.put(
            COLLECTION_COMMANDS,
            command,
            msgspec.to_builtins(record),
            ABSENT,
            PURPOSE,
        )
    except LacewingdockError as error:
        if error.kind is not ErrorKind.CONFLICT:
            raise
        # The same command was sent twice at once; the other's record counts,
        # and its effect may land at any moment.
        return store.get(COLLECTION_COMMANDS, command, PURPOSE), False
    return stored, True


def settle_write(
    store: Any, record: CommandRecord, fresh: bool
) -> CommandRecord:
    """Let a write land if it can, and tell whether it did."""
    if record.value is None:
        return replace(record, state="done", detail=record.summary)
    try:
        written = store.put(
            record.collection,
            record.name,
            record.value,
            record.expect,
            PURPOSE,
            record.id,
        )
    except LacewingdockError as error:
        if error.kind is not ErrorKind.CONFLICT:
            raise
        refused = fresh and error.ran == RAN_NO
    else:
        return _done(record, written.revision)
    # It landed before, or another was first; only the object tells.
    found = store.get(record.collection, record.name, PURPOSE)
    if found.writer == record.id:
        return _done(record, found.revision)
    detail = (
        f"{record.name} is at revision {found.revision}, not "
        f"{record.expect}; written by {who_wrote(store, found)}"
    )
    if refused:
        return replace(record, state="refused", detail=detail)
    # An earlier try may have landed and been overwritten since. It is not
    # tried again: the object has moved on.
    return replace(
        record, state="unknown", detail=f"it may have landed; now {detail}"
    )


def _done(record: CommandRecord, revision: int) -> CommandRecord:
    detail = f"{record.summary} (revision {revision})"
    return replace(record, state="done", detail=detail)
