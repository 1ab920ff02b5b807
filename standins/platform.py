"""Support for a stand-in of the platform: object API and instance list.

It keeps objects in memory with one growing revision, counts every call by
purpose (a waiting watch is one call) and can be told to fail.
"""

import gzip
import threading
import time
from dataclasses import dataclass
from typing import Any, Final

import fire
import msgspec
from werkzeug.exceptions import ServiceUnavailable
from werkzeug.wrappers import Request, Response

from standins.http import App, json_response, serve

MAX_WAIT_S: Final = 60.0


@dataclass(slots=True)
class Stored:
    """An object; `value` is None for a tombstone."""

    name: str
    revision: int
    value: Any
    writer: str


@dataclass(slots=True)
class Faults:
    """How the platform misbehaves now.

    Attributes:
        down: Answers nothing but 503.
        hang: Takes calls and never answers while set.
        delay_s: Seconds before each call takes effect.
        lose_answers: Writes whose answer is lost after they took effect.
        lose_collection: Only writes to this collection lose answers; empty
            for any.
        late_s: Seconds between effect and answer.
    """

    down: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_collection: str = ""
    late_s: float = 0.0


class Platform:
    """The platform's state.

    Attributes:
        objects: Objects by collection and name.
        revision: The last revision given.
        heads: The last revision of each collection.
        changed: Notified on each write.
        faults: How it misbehaves.
        calls: Calls by purpose.
        instances: Every state of the instance list, with its time.
        lag_s: Age of the instance list that is shown.
    """

    __slots__ = (
        "calls",
        "changed",
        "faults",
        "heads",
        "instances",
        "lag_s",
        "objects",
        "revision",
    )

    def __init__(self, lag_s: float) -> None:
        """Start empty."""
        self.objects: dict[str, dict[str, Stored]] = {}
        self.revision = 0
        self.heads: dict[str, int] = {}
        self.changed = threading.Condition()
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self.instances: list[tuple[float, list[Any]]] = [(0.0, [])]
        self.lag_s = lag_s

    def enter(self, request: Request) -> None:
        """Count a call and fail it if it shall fail."""
        purpose = request.headers.get("Purpose", "other")
        with self.changed:
            self.calls[purpose] = self.calls.get(purpose, 0) + 1
        while self.faults.hang:
            time.sleep(0.02)
        if self.faults.down:
            raise ServiceUnavailable("down")
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)

    def get(self, request: Request, collection: str, name: str) -> Response:
        """Answer with an object."""
        self.enter(request)
        with self.changed:
            stored = self.objects.get(collection, {}).get(name)
        if stored is None:
            return json_response({"error": "not found"}, 404)
        return json_response(stored)

    def find(self, request: Request, collection: str) -> Response:
        """Answer with objects, or wait for those after a revision."""
        self.enter(request)
        prefix = request.args.get("prefix", "")
        after = int(request.args.get("after", -1))
        end = time.monotonic() + min(
            float(request.args.get("wait", 0)), MAX_WAIT_S
        )
        with self.changed:
            found = self._after(collection, prefix, after)
            while not found and after >= 0 and not self.faults.down:
                left = end - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(left)
                found = self._after(collection, prefix, after)
            if self.faults.down:
                raise ServiceUnavailable("down")
            head = self.heads.get(collection, 0)
            return json_response({"revision": head, "objects": found})

    def _after(self, collection: str, prefix: str, after: int) -> list[Stored]:
        return [
            stored
            for stored in self.objects.get(collection, {}).values()
            if stored.revision > after and stored.name.startswith(prefix)
        ]

    def put(self, request: Request, collection: str, name: str) -> Response:
        """Write an object if its revision is as expected."""
        self.enter(request)
        body = msgspec.json.decode(request.get_data())
        with self.changed:
            objects = self.objects.setdefault(collection, {})
            known = objects.get(name)
            revision = known.revision if known else 0
            if revision != body["expect"]:
                return json_response({"revision": revision}, 409)
            self.revision += 1
            objects[name] = Stored(
                name, self.revision, body["value"], body["writer"]
            )
            self.heads[collection] = written = self.revision
            self.changed.notify_all()
            lost = self._loses(collection)
        if self.faults.late_s:
            time.sleep(self.faults.late_s)
        if lost:
            raise ServiceUnavailable("answer lost")
        return json_response({"revision": written})

    def _loses(self, collection: str) -> bool:
        faults = self.faults
        if faults.lose_answers <= 0:
            return False
        if faults.lose_collection not in ("", collection):
            return False
        faults.lose_answers -= 1
        return True

    def show_instances(self, request: Request) -> Response:
        """Answer with the instance list as it was a while ago."""
        self.enter(request)
        at = time.monotonic() - self.lag_s
        shown = [pair for pair in self.instances if pair[0] <= at]
        when, state = shown[-1] if shown else (0.0, [])
        response = json_response(state)
        response.set_etag(f"{when}")
        if "gzip" in request.accept_encodings:
            response.set_data(gzip.compress(response.get_data(), 1))
            response.content_encoding = "gzip"
        return response.make_conditional(request)

    def set_instances(self, request: Request) -> Response:
        """Take a new state of the instance list (from the launcher)."""
        state = msgspec.json.decode(request.get_data())
        self.instances = [*self.instances[-50:], (time.monotonic(), state)]
        return json_response({})

    def set_faults(self, request: Request) -> Response:
        """Take how to misbehave (from tests)."""
        self.faults = msgspec.json.decode(request.get_data(), type=Faults)
        with self.changed:
            self.changed.notify_all()
        return json_response({})

    def show_calls(self, request: Request) -> Response:
        """Answer with the calls counted so far."""
        return json_response(self.calls)


def main(port: int, lag_s: float = 0.0) -> None:
    """Serve the platform's stand-in on loopback."""
    platform = Platform(lag_s)
    app = App()
    app.route("GET", "/objects/<collection>/<path:name>", platform.get)
    app.route("PUT", "/objects/<collection>/<path:name>", platform.put)
    app.route("GET", "/objects/<collection>", platform.find)
    app.route("GET", "/instances", platform.show_instances)
    app.route("POST", "/instances", platform.set_instances)
    app.route("POST", "/faults", platform.set_faults)
    app.route("GET", "/calls", platform.show_calls)
    serve(app, port)


if __name__ == "__main__":
    fire.Fire(main)
