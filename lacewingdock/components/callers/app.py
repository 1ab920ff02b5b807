"""Support for the WSGI application that callers talk to."""

import contextlib
import socket
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
from werkzeug.wrappers import Request, Response

from lacewingdock.components.callers.chat import Chat
from lacewingdock.components.callers.departures import Departures
from lacewingdock.components.callers.requests import (
    Caller,
    read_body,
    read_caller,
)
from lacewingdock.components.callers.services import ServiceCalls
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.metrics.const import ENVIRON_WORKSPACE
from lacewingdock.const import HEADER_REQUEST_ID, RAN_NO, RAN_UNKNOWN
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.http_server import ENVIRON_REQUEST
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.problem_response import problem_response
from lacewingdock.helpers.tally import Tally
from lacewingdock.settings import EntrySettings
from lacewingdock.world.objects import Workspace

CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
SERVICES_PREFIX = "/services/"
_BODY_UNREAD = frozenset({ErrorKind.BODY_TOO_LARGE, ErrorKind.SLOW_CALLER})

log = get_logger("callers")


class CallersApp:
    """Routes callers' requests to what answers them.

    Attributes:
        daemon: The daemon.
        settings: The entry's settings.
        configuration: The configuration in force.
        chat: Answers chat completions.
        services: Answers calls of plain services.
        departures: Notices callers that leave.
        active: Callers being answered.
    """

    __slots__ = (
        "active",
        "chat",
        "configuration",
        "daemon",
        "departures",
        "services",
        "settings",
    )

    def __init__(
        self,
        daemon: Daemon,
        settings: EntrySettings,
        configuration: Configuration,
        chat: Chat,
        services: ServiceCalls,
        departures: Departures,
    ) -> None:
        """Take what it answers with."""
        self.departures = departures
        self.daemon = daemon
        self.settings = settings
        self.configuration = configuration
        self.chat = chat
        self.services = services
        self.active = Tally()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request (WSGI)."""
        self.active.add(1)
        request_id, sock = new_id(), environ[ENVIRON_REQUEST].conn.socket
        self.departures.watch(request_id, sock)
        response = self._answer(Request(environ), request_id)
        if self.daemon.leaving.is_set():
            # The balancer keeps connections open; without this it would go
            # on using one whose instance is about to end.
            response.headers["Connection"] = "close"
        body = response(environ, start_response)
        return _Counted(body, lambda: self._close(request_id, sock))

    def end_answers(self) -> None:
        """End what is still being answered with an error that says so."""
        self.departures.answers.unload()

    def _close(self, request_id: str, sock: socket.socket) -> None:
        self.departures.forget(request_id, sock)
        self.active.add(-1)

    def _answer(self, request: Request, request_id: str) -> Response:
        try:
            response = self._checked(request, request_id)
        except LacewingdockError as error:
            log.info(
                "refused",
                request_id=request_id,
                code=error.kind,
                ran=error.ran,
                detail=error.detail,
            )
            return self._refuse(error, request_id)
        response.headers[HEADER_REQUEST_ID] = request_id
        return response

    def _refuse(self, error: LacewingdockError, request_id: str) -> Response:
        response = problem_response(error, request_id)
        if error.kind in _BODY_UNREAD:
            # What is left of the body would be taken for the next request.
            response.headers["Connection"] = "close"
        return response

    def _checked(self, request: Request, request_id: str) -> Response:
        """Answer a request; whatever goes wrong is an error kind."""
        try:
            caller = read_caller(request, request_id, self.settings.deadline_s)
            return self._dispatch(request, caller)
        except LacewingdockError:
            raise
        except Exception as error:
            log.exception("request failed", request_id=request_id)
            raise LacewingdockError(
                ErrorKind.INTERNAL, "see the log"
            ) from error

    def _dispatch(self, request: Request, caller: Caller) -> Response:
        if not self.configuration.loaded.is_set():
            # A key may have run before it came here; who knows nothing yet
            # can't say that it did not.
            raise LacewingdockError(
                ErrorKind.NOT_READY,
                "no configuration yet",
                RAN_UNKNOWN if caller.key else RAN_NO,
            )
        name, workspace = self.configuration.world.authenticate(caller.bearer)
        request.environ[ENVIRON_WORKSPACE] = name
        path = request.path
        if path == CHAT_PATH and request.method == "POST":
            body = read_body(request, self.settings.max_body_bytes)
            return self.chat.answer(body, caller, name, workspace)
        if path == MODELS_PATH and request.method == "GET":
            return self._models(workspace)
        if path.startswith(SERVICES_PREFIX):
            body = read_body(request, self.settings.max_body_bytes)
            return self.services.answer(request, body, caller, name, workspace)
        raise LacewingdockError(ErrorKind.NOT_FOUND, f"{request.method} {path}")

    def _models(self, workspace: Workspace) -> Response:
        """List what the workspace may ask for."""
        world = self.configuration.world
        versions = [v for v in workspace.versions if world.offered(v)]
        names = dict.fromkeys([*workspace.models, *versions])
        data = [
            {
                "id": name,
                "object": "model",
                "created": 0,
                "owned_by": "lacewingdock",
            }
            for name in names
        ]
        return Response(
            msgspec.json.encode({"object": "list", "data": data}),
            content_type="application/json",
        )


class _Counted:
    """Counts the caller as being answered until the body is sent."""

    __slots__ = ("_body", "_done")

    def __init__(self, body: Iterable[bytes], done: Callable[[], None]) -> None:
        self._body = body
        self._done = done

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """End the answer, sent or not (called by the server)."""
        try:
            with contextlib.suppress(AttributeError):
                self._body.close()  # type: ignore[attr-defined]
        finally:
            self._done()
