"""Support for querying the status of the upstream."""

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
    """Status that a model engine reports.

    Attributes:
        versions: Versions loaded.
        leaving: Whether the engine is draining and accepts no new work.
        incarnation: Unique to each start of the process; empty when the
            upstream does not report it.
    """

    versions: list[str] = msgspec.field(default_factory=list)
    leaving: bool = False
    incarnation: str = ""


def fetch_engine_report(url: str) -> EngineReport:
    """Fetch the status report of an upstream.

    Raises:
        pycurl.error: The upstream does not answer.
        msgspec.DecodeError: The answer is not a valid report.
    """
    reply = send(f"{url}/status", timeout_s=TIMEOUT_S, fail_on_error=True)
    report: EngineReport = decode_json(reply.body, EngineReport)
    return report


def probe_upstream(url: str) -> str | None:
    """Return an upstream's incarnation, or None when its port is closed.

    A process that is just ending may accept a connection and drop it, so a
    dropped connection is retried.

    Raises:
        LacewingdockError: UPSTREAM_FAILED, not run, when the state can't be
            determined: an upstream that hangs has not crashed.
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
