"""Support for a stand-in of the platform: object API and instance list.

The instance list is a kind of objects like any other, shown with a lag. It
keeps objects in memory with one growing revision, counts every call by
purpose (a waiting watch is one call) and can be told to fail, or to come back
from an older copy of itself.
"""

import dataclasses
import gzip
import socket
import threading
import time
from dataclasses import dataclass
from typing import Any, Final

import fire
import msgspec
from werkzeug.exceptions import ServiceUnavailable
from werkzeug.wrappers import Request, Response

from lacewingdock.helpers.http_server import ENVIRON_SOCKET
from lacewingdock.platform.store import KIND_INSTANCES
from standins.http import App, json_response, serve

MAX_WAIT_S: Final = 30.0
# Objects in a page of a listing, as on the platform.
PAGE: Final = 500
# Changes kept for watches; the oldest half is dropped beyond.
MAX_HISTORY: Final = 20_000


@dataclass(slots=True)
class Stored:
    """An object; `removed_at` is the revision of its removal, or 0."""

    kind: str
    name: str
    revision: int
    created: int
    spec: Any = None
    status: Any = None
    removed_at: int = 0

    def shown(self) -> dict[str, Any]:
        """Return the object as the API shows it."""
        metadata = {
            "name": self.name,
            "revision": self.removed_at or self.revision,
            "created": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return {"metadata": metadata, "spec": self.spec, "status": self.status}


@dataclass(slots=True)
class Faults:
    """How the platform misbehaves now.

    Attributes:
        down: Answers nothing but 503.
        hang: Takes calls and never answers while set.
        delay_s: Seconds before each call takes effect.
        lose_answers: Writes whose connection is cut without an answer after
            they took effect.
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
        objects: Objects by kind and name.
        log: Every change in order, by which watches go on.
        base: The objects as they were before the first change of the log.
        revision: The last revision given.
        era: Grows by one each time that it comes back from a copy.
        shown: The instance list that the launcher gave last.
        forgotten: The revision up to which history was dropped.
        changed: Notified on each write.
        faults: How it misbehaves.
        calls: Calls by purpose.
        lag_s: Age of the instance list that is shown.
    """

    __slots__ = (
        "base",
        "calls",
        "changed",
        "era",
        "faults",
        "forgotten",
        "lag_s",
        "log",
        "objects",
        "revision",
        "shown",
    )

    def __init__(self, lag_s: float) -> None:
        """Start empty."""
        self.objects: dict[str, dict[str, Stored]] = {}
        self.log: list[Stored] = []
        self.base: dict[str, dict[str, Stored]] = {}
        self.revision = 0
        self.era = 1
        self.shown: list[Any] = []
        self.forgotten = 0
        self.changed = threading.Condition()
        self.faults = Faults()
        self.calls: dict[str, int] = {}
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

    def get(self, request: Request, kind: str, name: str) -> Response:
        """Answer with an object."""
        self.enter(request)
        with self.changed:
            stored = self.objects.get(kind, {}).get(name)
            if stored is None:
                return json_response({"error": "not found"}, 404)
            return json_response(stored.shown())

    def find(self, request: Request, kind: str) -> Response:
        """Answer with a page of a kind, or wait for its changes."""
        self.enter(request)
        if "watch" in request.args:
            return self._watch(request, kind)
        after = request.args.get("since_rev", "")
        with self.changed:
            objects = self.objects.get(kind, {})
            names = sorted(name for name in objects if name > after)
            page = {
                "items": [objects[name].shown() for name in names[:PAGE]],
                "has_more": len(names) > PAGE,
                "current_rev": self.revision,
            }
        return _compressed(request, json_response(page))

    def _watch(self, request: Request, kind: str) -> Response:
        after = int(request.args["watch"])
        wait_s = int(request.args.get("wait_ms", 0)) / 1000
        end = time.monotonic() + min(wait_s, MAX_WAIT_S)
        with self.changed:
            if not self.forgotten <= after <= self.revision:
                return json_response({"error": "history is gone"}, 410)
            era = self.era
            found = self._after(kind, after)
            while not found and not self.faults.down:
                left = end - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(left)
                if era != self.era:
                    raise ServiceUnavailable("back from a copy")
                found = self._after(kind, after)
            if self.faults.down:
                raise ServiceUnavailable("down")
            events = [
                {"object": stored.shown(), "removed": bool(stored.removed_at)}
                for stored in found
            ]
            revision = self.revision
        return json_response({"events": events, "current_rev": revision})

    def _after(self, kind: str, after: int) -> list[Stored]:
        found = []
        for stored in reversed(self.log):
            if (stored.removed_at or stored.revision) <= after:
                break
            if stored.kind == kind:
                found.append(stored)
        return found[::-1]

    def create(self, request: Request, kind: str) -> Response:
        """Create an object that is not there yet."""
        self.enter(request)
        body = msgspec.json.decode(request.get_data())
        name = body["metadata"]["name"]
        with self.changed:
            if known := self.objects.get(kind, {}).get(name):
                return json_response(known.shown(), 409)
            revision = self.revision + 1
            stored = Stored(kind, name, revision, revision, body["spec"])
            self._store(stored)
        return self._answer(request, stored)

    def put(self, request: Request, kind: str, name: str) -> Response:
        """Replace an object's spec if its revision is as expected."""
        return self._replace(request, kind, name, "spec")

    def put_status(self, request: Request, kind: str, name: str) -> Response:
        """Replace an object's status if its revision is as expected."""
        return self._replace(request, kind, name, "status")

    def _replace(
        self, request: Request, kind: str, name: str, part: str
    ) -> Response:
        self.enter(request)
        body = msgspec.json.decode(request.get_data())
        expect = body["metadata"].get("revision")
        with self.changed:
            known = self.objects.get(kind, {}).get(name)
            if known is None:
                return json_response({"error": "not found"}, 404)
            if expect not in (None, known.revision):
                return json_response(known.shown(), 409)
            if getattr(known, part) == body[part]:
                return json_response(known.shown())
            stored = dataclasses.replace(
                known, **{part: body[part], "revision": self.revision + 1}
            )
            self._store(stored)
        return self._answer(request, stored)

    def remove(self, request: Request, kind: str, name: str) -> Response:
        """Remove an object."""
        self.enter(request)
        with self.changed:
            known = self.objects.get(kind, {}).get(name)
            if known is None:
                return json_response({"error": "not found"}, 404)
            expect = request.args.get("revision", known.revision, type=int)
            if expect != known.revision:
                return json_response(known.shown(), 409)
            self._remove(known)
        return json_response(known.shown())

    def _store(self, stored: Stored) -> None:
        self.revision = stored.revision
        self.objects.setdefault(stored.kind, {})[stored.name] = stored
        self._record(stored)

    def _remove(self, known: Stored) -> None:
        del self.objects[known.kind][known.name]
        self.revision += 1
        self._record(dataclasses.replace(known, removed_at=self.revision))

    def _record(self, stored: Stored) -> None:
        self.log.append(stored)
        if len(self.log) > MAX_HISTORY:
            gone = self.log[: -MAX_HISTORY // 2]
            self.log = self.log[len(gone) :]
            self.forgotten = gone[-1].removed_at or gone[-1].revision
            _replay(self.base, gone)
        self.changed.notify_all()

    def _answer(self, request: Request, stored: Stored) -> Response:
        if self.faults.late_s:
            time.sleep(self.faults.late_s)
        if self._loses(stored.kind):
            caller = request.environ[ENVIRON_SOCKET]
            caller.shutdown(socket.SHUT_RDWR)
        return json_response(stored.shown())

    def _loses(self, kind: str) -> bool:
        faults = self.faults
        if faults.lose_answers <= 0:
            return False
        if faults.lose_collection not in ("", kind):
            return False
        faults.lose_answers -= 1
        return True

    def set_instances(self, request: Request) -> Response:
        """Take a new state of the instance list (from the launcher)."""
        state = msgspec.json.decode(request.get_data())
        self.shown = state
        if self.lag_s:
            timer = threading.Timer(self.lag_s, self._show_instances, [state])
            timer.daemon = True
            timer.start()
        else:
            self._show_instances(state)
        return json_response({})

    def _show_instances(self, state: list[Any]) -> None:
        with self.changed:
            shown = self.objects.setdefault(KIND_INSTANCES, {})
            for name in shown.keys() - {entry["name"] for entry in state}:
                self._remove(shown[name])
            for entry in state:
                name, known = entry["name"], shown.get(entry["name"])
                if known and known.spec == entry:
                    continue
                revision = self.revision + 1
                created = known.created if known else revision
                self._store(
                    Stored(KIND_INSTANCES, name, revision, created, entry)
                )

    def set_faults(self, request: Request) -> Response:
        """Take how to misbehave (from tests)."""
        self.faults = msgspec.json.decode(request.get_data(), type=Faults)
        with self.changed:
            self.changed.notify_all()
        return json_response({})

    def forget(self, request: Request) -> Response:
        """Drop the history: watches from before have to list again."""
        with self.changed:
            self.forgotten = self.revision
            _replay(self.base, self.log)
            self.log = []
        return json_response({})

    def restore(self, request: Request) -> Response:
        """Come back from a copy that lacks the last changes.

        The launcher's instance list is written again; what else was lost is
        for its writers to write.
        """
        lost = msgspec.json.decode(request.get_data())["lost"]
        with self.changed:
            self.log = self.log[: max(len(self.log) - lost, 0)]
            objects: dict[str, dict[str, Stored]] = {
                kind: dict(found) for kind, found in self.base.items()
            }
            _replay(objects, self.log)
            self.objects = objects
            last = self.log[-1] if self.log else None
            self.revision = self.forgotten
            if last is not None:
                self.revision = last.removed_at or last.revision
            self.era += 1
            self.changed.notify_all()
        if self.shown:
            self._show_instances(self.shown)
        return json_response({})

    def show_calls(self, request: Request) -> Response:
        """Answer with the calls counted so far."""
        return json_response(self.calls)


def _replay(objects: dict[str, dict[str, Stored]], log: list[Stored]) -> None:
    """Apply changes to the objects as they were before them."""
    for stored in log:
        kind = objects.setdefault(stored.kind, {})
        if stored.removed_at:
            kind.pop(stored.name, None)
        else:
            kind[stored.name] = stored


def _compressed(request: Request, response: Response) -> Response:
    if "gzip" in request.accept_encodings:
        response.set_data(gzip.compress(response.get_data(), 1))
        response.content_encoding = "gzip"
    return response


def main(port: int, lag_s: float = 0.0) -> None:
    """Serve the platform's stand-in on loopback."""
    platform = Platform(lag_s)
    app = App(lambda: {"Store-Era": str(platform.era)})
    kind, name = "/objects/<kind>", "/objects/<kind>/<path:name>"
    app.route("GET", kind, platform.find)
    app.route("POST", kind, platform.create)
    app.route("GET", name, platform.get)
    app.route("PUT", name, platform.put)
    app.route("PUT", f"{name}/status", platform.put_status)
    app.route("DELETE", name, platform.remove)
    app.route("POST", "/instances", platform.set_instances)
    app.route("POST", "/forget", platform.forget)
    app.route("POST", "/restore", platform.restore)
    app.route("POST", "/faults", platform.set_faults)
    app.route("GET", "/calls", platform.show_calls)
    serve(app, port)


if __name__ == "__main__":
    fire.Fire(main)
