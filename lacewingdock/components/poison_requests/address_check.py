"""Support for checking which instance answers at an address."""

import time
from dataclasses import dataclass
from http import HTTPStatus

from lacewingdock.components.poison_requests.const import (
    ADDRESS_CHECK_TIMEOUT_S,
)
from lacewingdock.components.poison_requests.crash_verdict import Responder
from lacewingdock.components.upstreams.connection import (
    TimedOut,
    UpstreamConnection,
    connect,
)
from lacewingdock.exceptions import UpstreamLost
from lacewingdock.platform.wire import query_headers
from lacewingdock.world.backend import UpstreamEntry
from lacewingdock.world.call import ResponseHead


@dataclass(slots=True, frozen=True)
class AddressCheck:
    """Result of a request to an instance's address.

    Attributes:
        responder: Who answered.
        answered_by: Id of the other instance that answered; empty if it sent
            none, or if no other instance answered.
        serving: Whether the expected instance named itself, and answered that
            it is healthy and not leaving.
    """

    responder: Responder
    answered_by: str = ""
    serving: bool = False


def check_address(
    entry: UpstreamEntry,
    path: str,
    timeout_s: float = ADDRESS_CHECK_TIMEOUT_S,
) -> AddressCheck:
    """Send a request to an instance's address that names the expected instance.

    Args:
        entry: The expected instance and its address.
        path: Path of a request that instances answer without running anything,
            such as a health check.
        timeout_s: Timeout of the check, in seconds.
    """
    until = time.monotonic() + timeout_s
    try:
        sock = connect(entry.host, entry.port, timeout_s)
    except UpstreamLost:
        return AddressCheck(Responder.NOTHING)
    connection = UpstreamConnection(sock, 0.0)
    try:
        left_s = until - time.monotonic()
        headers = query_headers(entry.host, entry.id)
        connection.send("", b"GET", path.encode(), headers, b"", left_s)
        return _identify_responder(connection.read_head(until), entry)
    except (UpstreamLost, TimedOut):
        return AddressCheck(Responder.UNCLEAR)
    finally:
        connection.close()


def _identify_responder(
    head: ResponseHead, entry: UpstreamEntry
) -> AddressCheck:
    if head.is_from_other_instance(entry.id):
        return AddressCheck(Responder.ANOTHER, head.instance)
    serving = (
        head.status == HTTPStatus.OK
        and head.instance == entry.id
        and not head.leaving
    )
    return AddressCheck(Responder.ITSELF, serving=serving)
