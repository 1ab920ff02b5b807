"""Client of an engine's load report."""

import http.client

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.sockets import has_unread
from lacewingdock.world.engine_load import EngineLoad

PATH = "/report"
# Maximum size of a report, in bytes; a longer one is cut off.
MAX_BYTES = 1024 * 1024


class _Report(msgspec.Struct):
    active: int
    queued: int
    # Each run is (request id, tokens in memory, events produced, priority).
    runs: list[tuple[str, int, int, int]] = []


def decode_report(body: bytes) -> EngineLoad:
    """Decode a load report.

    Raises:
        LacewingdockError: UPSTREAM_FAILED if the body is not a valid report.
    """
    try:
        found = msgspec.json.decode(body, type=_Report)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise _report_error(str(error)) from error
    if found.active < 0 or found.queued < 0:
        raise _report_error("negative number of requests")
    events = {request: events for request, _, events, _ in found.runs}
    return EngineLoad(found.active, found.queued, events)


class ReportReader:
    """Reads the engine's load report over a connection that is kept open.

    Attributes:
        host: IP address of the engine.
        port: Port of the engine.
        timeout_s: Timeout of a read, in seconds.
    """

    __slots__ = ("_connection", "host", "port", "timeout_s")

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        """Set up a reader of the engine at an address; `read` connects."""
        self.host = host
        self.port = port
        self.timeout_s = timeout_s
        self._connection: http.client.HTTPConnection | None = None

    def read(self) -> EngineLoad:
        """Read the current report.

        Raises:
            LacewingdockError: UPSTREAM_FAILED if the engine does not answer
                with a valid report.
        """
        connection = self._open_connection()
        try:
            connection.request("GET", PATH)
            answer = connection.getresponse()
            body = answer.read(MAX_BYTES)
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise _report_error(repr(error)) from error
        if answer.status != http.HTTPStatus.OK:
            self.close()
            raise _report_error(f"status {answer.status}")
        return decode_report(body)

    def _open_connection(self) -> http.client.HTTPConnection:
        """Return the open connection, or a new one if bytes wait on it.

        They are a second answer to an earlier read, and would be taken for the
        answer to this one: from then on, all reports would be out of date.
        """
        kept = self._connection
        if kept and kept.sock and has_unread(kept.sock.fileno()):
            self.close()
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self.host, self.port, timeout=self.timeout_s
            )
        return self._connection

    def close(self) -> None:
        """Close the connection; the next read opens another one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _report_error(detail: str) -> LacewingdockError:
    return LacewingdockError(ErrorKind.UPSTREAM_FAILED, f"report: {detail}")
