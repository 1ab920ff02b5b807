"""Support for stand-ins that speak HTTP."""

import os
import signal
import threading
from collections.abc import Callable, Iterable
from typing import Any, Final

import msgspec
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from lacewingdock.const import THREAD_STACK_BYTES
from lacewingdock.helpers.http_server import build_server

THREADS: Final = 320

Handler = Callable[..., Response]


def json_response(value: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(
        msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


class App:
    """A WSGI application made of routes.

    Attributes:
        rules: Where each path leads.
        handlers: What answers, by endpoint.
        headers: Returns what each answer bears.
    """

    __slots__ = ("handlers", "headers", "rules")

    def __init__(self, headers: Callable[[], dict[str, str]] = dict) -> None:
        """Start without routes."""
        self.headers = headers
        self.rules = Map()
        self.handlers: dict[str, Handler] = {}

    def route(self, method: str, path: str, handler: Handler) -> None:
        """Let a handler answer a path; it gets the request and the parts."""
        endpoint = f"{method} {path}"
        self.rules.add(Rule(path, methods=[method], endpoint=endpoint))
        self.handlers[endpoint] = handler

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request (WSGI)."""
        request = Request(environ)
        try:
            endpoint, parts = self.rules.bind_to_environ(environ).match()
            response: Any = self.handlers[endpoint](request, **parts)
        except HTTPException as error:
            response = error.get_response()
        response.headers.extend(self.headers())
        return response(environ, start_response)


def serve(app: App, port: int, threads: int = THREADS) -> None:
    """Serve on loopback until SIGTERM or SIGINT."""
    threading.stack_size(THREAD_STACK_BYTES)
    server = build_server("127.0.0.1", port, app, threads=threads)
    for number in (signal.SIGTERM, signal.SIGINT):
        # A stand-in has nothing to finish, and a waiting watch would hold
        # an orderly stop up.
        signal.signal(number, lambda *_: os._exit(0))
    server.serve()
