"""Support for ordering an instance to stop gracefully."""

from dataclasses import replace
from typing import Any

from lacewingdock.components.language.audit import CommandRecord
from lacewingdock.components.language.plans import Plan
from lacewingdock.components.language.statements import CommandError, Stop
from lacewingdock.components.membership import Membership
from lacewingdock.components.orders import send_order
from lacewingdock.components.orders.const import ACTION_STOP
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.links.handshake import dial
from lacewingdock.links.messages import Order

COLLECTION_INSTANCES = "instances"


def plan_stop(order: Stop, daemon: Daemon, membership: Membership) -> Plan:
    """Plan a stop of the very process that runs now.

    Raises:
        CommandError: NOT_FOUND at the word's place.
        LacewingdockError: NO_UPSTREAM when it can't be reached.
    """
    name = order.instance.text
    for instance in membership.instances:
        if instance.name == name:
            break
    else:
        raise CommandError(
            f"no instance {name!r}", order.instance.column, ErrorKind.NOT_FOUND
        )
    try:
        link = dial(instance.address, daemon.me, daemon.keys)
    except OSError as error:
        raise LacewingdockError(
            ErrorKind.NO_UPSTREAM, f"{name} at {instance.address}: {error}"
        ) from error
    link.dispose()
    return Plan(
        COLLECTION_INSTANCES,
        name,
        0,
        {"incarnation": link.peer.incarnation, "address": instance.address},
        f"{name} stops gracefully",
    )


def settle_stop(
    daemon: Daemon, store: Any, record: CommandRecord, fresh: bool
) -> CommandRecord:
    """Order the stop; the process that replaces it is left alone."""
    target = record.value
    order = Order(new_id(), ACTION_STOP, incarnation=target["incarnation"])
    try:
        answer = send_order(daemon, target["address"], order)
    except LacewingdockError as error:
        if fresh:
            return replace(record, state="unknown", detail=error.detail)
        return replace(
            record, state="done", detail="the process is not there any more"
        )
    if answer.code and fresh:
        return replace(record, state="refused", detail=answer.detail)
    return replace(record, state="done", detail=answer.detail or record.summary)
