"""Tests for entry and sidecar checks on different configurations."""

import random
import threading
from types import SimpleNamespace

import pytest

from lacewingdock.components.callers.chat import Chat
from lacewingdock.components.callers.relay import Relay
from lacewingdock.components.callers.requests import Caller, read_chat
from lacewingdock.components.callers.steps import Steps
from lacewingdock.components.cascades import Cascades
from lacewingdock.components.routing.choice import choose_upstream
from lacewingdock.components.runs import Runs
from lacewingdock.components.sessions import Session
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.keys import KeyRing
from lacewingdock.links.messages import Pull
from lacewingdock.world.objects import Model, Version, Workspace
from lacewingdock.world.world import World

BODY = (
    b'{"model": "m", "stream": true,'
    b' "messages": [{"role": "user", "content": "x"}]}'
)
CALLER = Caller("r", "", "", "", "", 1, "", 1e9)
VERSIONS = ["m-1", "m-2"]


def build_world(offered, allowed=VERSIONS):
    """Build a world in which new sessions prefer m-1 if it is offered."""
    return World(
        versions={
            v: Version(
                model="m", state="offered" if v in offered else "withdrawn"
            )
            for v in VERSIONS
        },
        models={"m": Model(shares={"m-1": 1.0, "m-2": 1e-9})},
        workspaces={
            "w": Workspace(keys=[], models=["m"], versions=list(allowed))
        },
    )


class FakeConfiguration:
    """A configuration, and the link that pulls a newer one from its source."""

    def __init__(self, revision, world, source=None):
        self.revision = revision
        self.world = world
        self.source = source
        self.loaded = threading.Event()
        self.loaded.set()

    def in_force(self, revision):
        """Return whether a revision is in force."""
        return self.revision >= revision

    def send(self, message):
        """Apply the source's configuration, as after a pull from the peer."""
        assert isinstance(message, Pull)
        if self.source and self.source.revision > self.revision:
            self.world = self.source.world
            self.revision = self.source.revision


class FakeSidecar:
    """The sidecar's real checks behind a link that always works."""

    name = "worker-0"

    def __init__(self, configuration, entry):
        self.runs = Runs.__new__(Runs)
        self.runs.configuration = configuration
        self.runs.daemon = SimpleNamespace(leaving=threading.Event())
        self.runs.targets = VERSIONS
        self.runs.settings = SimpleNamespace(service="")
        self.link = entry
        self.ran = []

    def load(self):
        """Return a constant load."""
        return 0.0

    def ask(self, attempt):
        """Check an attempt, and record its target as run if permitted."""
        try:
            self.runs.check_attempt(attempt, self.runs.configuration)
        except LacewingdockError as error:
            error.revision = self.runs.configuration.revision
            raise
        self.ran.append(attempt.target)


class FakeQuarantine:
    """A quarantine that permits every request."""

    def choose(self, _, candidates, tried, source, deadline):
        """Choose an upstream without restrictions."""
        return choose_upstream(candidates, tried, source)

    def track_attempt(self, *_):
        """Return a context manager without effect on the request."""
        return threading.Lock()

    def record_success(self, _):
        """Ignore a success."""


def ask(entry, sidecar, session=None):
    """Send a chat request as a caller; returns the plan that was executed."""

    def take_attempt(_, attempt):
        takes = iter([lambda: sidecar.ask(attempt) or [b"{}"], list])
        return SimpleNamespace(
            take=lambda: next(takes)(),
            finish=None,
            in_doubt=False,
            has_begun=True,
            divert=lambda _: None,
            attempt=attempt,
        )

    relay = Relay(
        SimpleNamespace(ask=take_attempt, drop=lambda *_: None),
        SimpleNamespace(placeable=lambda _: [sidecar], configuration=entry),
        FakeQuarantine(),
        random.Random(1),
    )
    workspace = entry.world.workspaces["w"]
    daemon = SimpleNamespace(random=random.Random(1))
    steps = Steps(relay, Cascades(daemon, None))
    budgets = SimpleNamespace(
        admit_chat=lambda *_: None, set_final_answer=lambda *_: None
    )
    budgets.close = lambda _request: None
    chat = Chat(entry, relay, KeyRing(""), steps, budgets)
    begun = chat.begin(read_chat(BODY), CALLER, "w", workspace, session)
    return begun.asked.plan


@pytest.mark.parametrize(
    ("entry", "sidecar", "session", "ran"),
    [
        # The entry has not received the withdrawal: it catches up.
        ((1, VERSIONS), (2, ["m-2"]), "", "m-2"),
        ((1, VERSIONS), (2, ["m-2"]), "m-1", "m-2"),
        ((1, VERSIONS), (2, ["m-2"]), "m-2", "m-2"),
        ((1, VERSIONS), (2, []), "", ErrorKind.VERSION_WITHDRAWN),
        # The sidecar has not received the withdrawal.
        ((2, ["m-2"]), (1, VERSIONS), "m-1", "m-2"),
        ((2, []), (1, VERSIONS), "", ErrorKind.VERSION_WITHDRAWN),
        # The sidecar has not received that the version is offered again.
        ((2, VERSIONS), (1, ["m-2"]), "", "m-1"),
        ((2, VERSIONS), (1, []), "m-1", "m-1"),
        ((1, VERSIONS), (1, VERSIONS), "", "m-1"),
    ],
)
def test_whoever_is_behind_catches_up(entry, sidecar, session, ran):
    """Guards against refusals due to an outdated configuration.

    A version is withdrawn or offered; the entry plans on one revision and the
    sidecar checks on another. If both only wait for the update, the caller is
    refused although another version may answer, or a version just offered is
    refused as withdrawn.
    """
    old = FakeConfiguration(entry[0], build_world(entry[1]))
    new = FakeConfiguration(sidecar[0], build_world(sidecar[1]), old)
    old.source = new
    fake_sidecar = FakeSidecar(new, old)
    token = Session("w", "m", session) if session else None
    try:
        plan = ask(old, fake_sidecar, token)
        assert fake_sidecar.ran == [ran]
        assert plan.moved_from == (session if session not in ("", ran) else "")
    except LacewingdockError as error:
        assert (error.kind, error.ran, fake_sidecar.ran) == (ran, "no", [])


@pytest.mark.parametrize(
    ("allowed", "ran"), [(["m-2"], "m-2"), ([], ErrorKind.MODEL_NOT_ALLOWED)]
)
def test_a_permission_taken_away(allowed, ran):
    old = FakeConfiguration(1, build_world(VERSIONS))
    new = FakeConfiguration(2, build_world(VERSIONS, allowed), old)
    old.source = new
    fake_sidecar = FakeSidecar(new, old)
    try:
        ask(old, fake_sidecar)
        assert fake_sidecar.ran == [ran]
    except LacewingdockError as error:
        assert (error.kind, error.ran, fake_sidecar.ran) == (ran, "no", [])


def test_an_entry_that_can_not_catch_up_says_so():
    """Guards against endless retries, or a refusal with another cause.

    The link fails after the refusal: the entry receives the refusal, but not
    the configuration that explains it.
    """
    old = FakeConfiguration(1, build_world(VERSIONS))
    fake_sidecar = FakeSidecar(FakeConfiguration(2, build_world(["m-2"])), old)
    with pytest.raises(LacewingdockError) as refused:
        ask(old, fake_sidecar)
    assert refused.value.kind is ErrorKind.VERSION_WITHDRAWN
    assert (refused.value.ran, fake_sidecar.ran) == ("no", [])
