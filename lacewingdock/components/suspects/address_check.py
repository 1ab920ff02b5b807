"""Support for asking at an instance's address which start answers there."""

import time
from dataclasses import dataclass

from lacewingdock.components.suspects.const import ADDRESS_CHECK_TIMEOUT_S
from lacewingdock.components.suspects.crash_verdict import Responder
from lacewingdock.components.upstreams.connection import (
    TimedOut,
    UpstreamConnection,
    connect,
)
from lacewingdock.exceptions import UpstreamLost
from lacewingdock.platform.wire import question_headers
from lacewingdock.world.backend import UpstreamEntry
from lacewingdock.world.call import AnswerHead


@dataclass(slots=True, frozen=True)
class AddressCheck:
    """What was found at an address.

    Attributes:
        look: Who answered.
        answered_by: Id of the other instance, where it said it.
    """

    responder: Responder
    answered_by: str = ""


def check_address(entry: UpstreamEntry, path: str) -> AddressCheck:
    """Ask at an instance's address, naming the instance.

    Args:
        entry: The start that is asked for.
        path: Path of a question that needs no right to be run.
    """
    until = time.monotonic() + ADDRESS_CHECK_TIMEOUT_S
    try:
        sock = connect(entry.host, entry.port, ADDRESS_CHECK_TIMEOUT_S)
    except UpstreamLost:
        return AddressCheck(Responder.NOTHING)
    connection = UpstreamConnection(sock, 0.0)
    try:
        left_s = until - time.monotonic()
        headers = question_headers(entry.host, entry.id)
        connection.send("", b"GET", path.encode(), headers, b"", left_s)
        return _identify_responder(connection.read_head(until), entry)
    except (UpstreamLost, TimedOut):
        return AddressCheck(Responder.UNCLEAR)
    finally:
        connection.close()


def _identify_responder(head: AnswerHead, entry: UpstreamEntry) -> AddressCheck:
    if head.is_by_other(entry.id):
        return AddressCheck(Responder.ANOTHER, head.instance)
    return AddressCheck(Responder.ITSELF)
