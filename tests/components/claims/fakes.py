"""Fakes at the interfaces: the platform's store and one home of claims."""

import random
import threading
import urllib.parse
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
from types import SimpleNamespace
from typing import Any

import msgspec
import prometheus_client

from lacewingdock.components.claims import Claims
from lacewingdock.components.claims.takeover import Takeover
from lacewingdock.const import RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.messages import Attempt, Finish, Hello
from lacewingdock.platform.object_api import Reply
from lacewingdock.platform.store import ObjectStore, Stored
from lacewingdock.world.objects import Operation, Service
from lacewingdock.world.run import Run
from lacewingdock.world.world import World

SERVICE = "booking"
PATH = "/slots/confirm"


class PlatformStore(ObjectStore):
    """The real client, before a platform in memory.

    Other than `tests.fakes.FakeStore`, which stands in the client's place, it
    runs the client's own reading and settling: what a claim rests on after a
    lost answer.

    Attributes:
        objects: Object by collection and name.
        revision: The last revision given.
        plan: What happens to the next writes: "ok", "fail" (no effect),
            "lost" (effect, no answer) or "late" (no answer; the effect comes
            with `deliver_late`).
        late: Writes under way.
        down: Whether nothing is answered.
        before_write: Called once before the next write takes effect.
        writes: Writes asked for.
        living: Incarnations that answer probes.
    """

    def __init__(self) -> None:
        super().__init__("")
        self.objects: dict[tuple[str, str], Stored] = {}
        self.revision = 0
        self.plan: list[str] = []
        self.late: list[Callable[[], Any]] = []
        self.down = False
        self.before_write: Callable[[], None] | None = None
        self.writes: Counter[str] = Counter()
        self.living: set[str] = set()

    def _call(self, method, path, purpose, body=None, accepted=(), **_):
        status, answer = self._answer(method, path, purpose, body)
        if status not in (HTTPStatus.OK, *accepted):
            raise _unavailable(f"status {status}")
        return Reply(status, msgspec.json.encode(answer))

    def _answer(self, method, path, purpose, body):
        self.calls[purpose] = self.calls.get(purpose, 0) + 1
        if self.down:
            raise _unavailable("down")
        path = path.removeprefix("/objects/").partition("?")[0]
        collection, _, name = urllib.parse.unquote(path).partition("/")
        if method in ("POST", "PUT"):
            return self._take_write(collection, body["metadata"]["name"], body)
        if name:
            found = self.objects.get((collection, name))
            return (200, _plain(found)) if found else (404, {})
        found = [
            _plain(stored)
            for (where, _), stored in self.objects.items()
            if where == collection
        ]
        return 200, {"current_rev": self.revision, "items": found}

    def instances(self):
        """Return an empty list of instances."""
        return []

    def _take_write(self, collection: str, name: str, body: Any):
        hook, self.before_write = self.before_write, None
        if hook is not None:
            hook()
        self.writes[collection] += 1
        fate = self.plan.pop(0) if self.plan else "ok"
        body = msgspec.json.decode(msgspec.json.encode(body))
        if fate == "fail":
            raise _unavailable("failed")
        if fate == "late":
            self.late.append(lambda: self._effect(collection, name, body))
            raise _unavailable("late")
        answer = self._effect(collection, name, body)
        if fate == "lost":
            raise _unavailable("answer lost")
        return answer

    def _effect(self, collection: str, name: str, body: Any):
        known = self.objects.get((collection, name))
        revision = known.revision if known else 0
        if revision != body["metadata"].get("revision", 0):
            return 409, _plain(known)
        self.revision += 1
        spec = body["spec"]
        stored = Stored(name, self.revision, spec["value"], spec["writer"])
        self.objects[collection, name] = stored
        return 200, _plain(stored)

    def deliver_late(self) -> None:
        """Let the oldest write under way take effect, if it still can."""
        if self.late:
            self.late.pop(0)()


class ProbedTakeover(Takeover):
    """A takeover whose probes ask the store which processes live."""

    def _probe(self, head) -> int:
        return int(head.incarnation not in self.claims.daemon.store.living)


class FakeHome:
    """One sidecar's claims, its tasks run at once, and its runs in steps.

    Attributes:
        claims: The real claims.
        granted: Runs that hold a claim and have not reached the upstream.
    """

    def __init__(self, store: PlatformStore, name: str, start: int = 0) -> None:
        operation = Operation(
            method="POST", path=PATH, on_outage="tickets", timeout_s=10
        )
        world = World(
            services={SERVICE: Service(operations=[operation], partitions=1)}
        )
        daemon: Any = SimpleNamespace(
            me=Hello(name, f"{name}-{start}", "sidecar", "hall", b""),
            store=store,
            settings=SimpleNamespace(host="127.0.0.1", grace_s=1.0),
            metrics=prometheus_client.CollectorRegistry(),
            leaving=threading.Event(),
            spawn=lambda function, *args: function(*args),
            keys=None,
            random=random.Random(name),
        )
        peers: Any = SimpleNamespace(port=1)
        configuration: Any = SimpleNamespace(world=world)
        self.claims = Claims(daemon, peers, configuration, SERVICE)
        self.claims.takeover = ProbedTakeover(self.claims)
        self.claims.count = 1
        store.living.add(daemon.me.incarnation)
        self.granted: list[Run] = []

    @property
    def partition(self):
        """The one partition; None when it is not held."""
        return self.claims.partitions.get(0)

    def die(self) -> None:
        """End without a word."""
        self.claims.daemon.store.living.discard(
            self.claims.daemon.me.incarnation
        )

    def take(self) -> None:
        """Take the partition over, whoever has it."""
        store = self.claims.daemon.store
        name = f"{SERVICE}/0"
        self.claims.takeover.take(0, store.get("claims", name, "test"))

    def send(self, key: str, slot: str = "slot") -> Any:
        """Ask for a run; returns the run, or what it repeats, or an error.

        A refused run is finished here, as the gate does it, and its error
        says of the key only what the claims vouch for.
        """
        run = Run(new_attempt(key, slot))
        try:
            result = self.claims.admit(run)
        except LacewingdockError as error:
            if error.ran == "no" and not (
                error.kind is ErrorKind.KEY_REUSED or self.claims.vouches(run)
            ):
                error.ran = "unknown"
            self.claims.finish(run)
            return error
        if result is not None:
            return result
        self.granted.append(run)
        return run

    def run(self, run: Run, booked: Counter[str], outcome: str = "done"):
        """Let a granted run reach the booking service, or fail to."""
        self.granted.remove(run)
        if outcome != "not_run":
            run.executed = True
            booked[run.attempt.key] += 1
        if outcome == "done":
            run.add(b"{}")
            run.end(Finish(run.attempt.attempt, 1))
        else:
            run.refuse(LacewingdockError(ErrorKind.UPSTREAM_FAILED, "test"))
        self.claims.finish(run)


def new_attempt(key: str, slot: str = "slot") -> Attempt:
    """Return an attempt at a booking."""
    return Attempt(
        attempt=f"attempt-{key}",
        request="request",
        workspace="retail",
        target=SERVICE,
        method="POST",
        path=PATH,
        body=slot.encode(),
        key=key,
        repeatable=False,
    )


def _plain(stored: Stored) -> Any:
    metadata = {"name": stored.name, "revision": stored.revision}
    spec = {"value": stored.value, "writer": stored.writer}
    plain = {"metadata": metadata, "spec": spec}
    return msgspec.json.decode(msgspec.json.encode(plain))


def _unavailable(detail: str) -> LacewingdockError:
    return LacewingdockError(
        ErrorKind.PLATFORM_UNAVAILABLE, detail, RAN_UNKNOWN
    )
