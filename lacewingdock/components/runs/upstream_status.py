"""Support for asking the upstream for its state."""

import time
from typing import Final

import msgspec
import pycurl

from lacewingdock.const import RAN_NO
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.http_client import send
from lacewingdock.helpers.json import decode_json

TIMEOUT_S: Final = 1.0
PROBES: Final = 3
PROBE_PAUSE_S: Final = 0.05


class EngineReport(msgspec.Struct):
    """What a model engine says of itself.

    Attributes:
        versions: Versions loaded.
        leaving: Whether it takes no new work.
        incarnation: Unique to each start of the process; empty when the
            upstream does not tell.
    """

    versions: list[str] = msgspec.field(default_factory=list)
    leaving: bool = False
    incarnation: str = ""


def fetch_engine_report(url: str) -> EngineReport:
    """Ask an upstream for its state.

    Raises:
        pycurl.error: It does not answer.
        msgspec.DecodeError: The answer is not understood.
    """
    reply = send(f"{url}/status", timeout_s=TIMEOUT_S, fail_on_error=True)
    report: EngineReport = decode_json(reply.body, EngineReport)
    return report


def probe_upstream(url: str) -> str | None:
    """Return an upstream's incarnation, or None when nothing listens.

    A process that is just ending may take a connection and drop it, so a
    dropped one is tried again.

    Raises:
        LacewingdockError: UPSTREAM_FAILED, not run, when it can't be told:
            what hangs has not crashed.
    """
    detail = ""
    for _ in range(PROBES):
        try:
            return fetch_engine_report(url).incarnation
        except pycurl.error as error:
            if error.args[0] == pycurl.E_COULDNT_CONNECT:
                return None
            detail = str(error.args[1])
        except msgspec.DecodeError as error:
            detail = str(error)
        time.sleep(PROBE_PAUSE_S)
    raise LacewingdockError(ErrorKind.UPSTREAM_FAILED, detail, RAN_NO)
