"""Tests for attempts abandoned by their entry, over in-memory links."""

import contextlib
import threading
from types import SimpleNamespace

import pytest

from lacewingdock.components import runs as runs_module
from lacewingdock.components.quarantine import QuarantineVerdict
from lacewingdock.const import RAN_NO
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.clock import stamp_ms
from lacewingdock.links.messages import Cancel, Finish, Refusal
from tests.memory_links import Pair, attempt_of

TARGET = "drafter-1"


@pytest.fixture
def reached_upstream(monkeypatch):
    """Collect the ids of the attempts that reached the upstream."""
    ids = []
    monkeypatch.setattr(
        runs_module,
        "call_upstream",
        lambda _url, run, *_, **__: ids.append(run.attempt.attempt),
    )
    return ids


class Sidecar:
    """A sidecar whose tasks are queued until the test runs them."""

    def __init__(self):
        self.pair = Pair()
        self.tasks = []
        runs = self.pair.runs
        runs.targets = [TARGET]
        runs.configuration = SimpleNamespace(
            loaded=threading.Event(),
            revision=0,
            world=SimpleNamespace(
                workspaces={"retail": SimpleNamespace(versions=[TARGET])},
                offered=lambda _: True,
            ),
        )
        runs.configuration.loaded.set()
        runs.quarantine = SimpleNamespace(
            check=lambda _: QuarantineVerdict.CLEAR,
            check_blast_radius=lambda *_: None,
        )
        runs.crashes = SimpleNamespace(call=lambda *_: contextlib.nullcontext())
        self.pair.daemon.spawn = lambda *task: self.tasks.append(task)
        self.link = self.pair.links[0].other

    def receive(self, attempt):
        """Deliver an attempt as read from the link."""
        self.link.delay.record_stamp(attempt.sent_ms)
        self.pair.peers.deliver(self.link, attempt)

    def run(self):
        """Run the queued tasks."""
        tasks, self.tasks = self.tasks, []
        for function, *arguments in tasks:
            function(*arguments)

    def refusals(self):
        """Return the refusals sent to the entry."""
        return [m for m in self.link.sent if isinstance(m, Refusal)]


@pytest.mark.parametrize(
    ("late_s", "repeatable", "begins"),
    [
        (0.0, True, True),
        (0.3, True, True),
        (0.6, True, False),
        (3.0, True, False),
        # A non-repeatable attempt was sent nowhere else, and its entry still
        # waits for it.
        (3.0, False, True),
    ],
)
def test_attempt_that_comes_late_is_not_begun(
    reached_upstream, late_s, repeatable, begins
):
    """Guards against running an attempt that its entry has sent elsewhere.

    A sidecar is paused with attempts in its sockets. Frames read after the
    pause look newly sent unless their age is checked, and a crashing request
    takes down one more upstream for each pause.
    """
    sidecar = Sidecar()
    now_ms = stamp_ms()
    sidecar.link.delay.record_stamp(now_ms)
    attempt = attempt_of(repeatable=repeatable)
    attempt.sent_ms = now_ms - int(late_s * 1000)
    sidecar.receive(attempt)
    sidecar.run()
    assert reached_upstream == (["a1"] if begins else [])
    refused = [(r.code, r.ran) for r in sidecar.refusals()]
    assert refused == ([] if begins else [(ErrorKind.NO_UPSTREAM, RAN_NO)])


@pytest.mark.parametrize("late_s", [0.0, 3.0])
def test_deadline_counts_from_when_it_was_sent(monkeypatch, late_s):
    """Guards against work for a caller whose deadline passed in transit."""
    deadlines = []
    monkeypatch.setattr(
        runs_module,
        "call_upstream",
        lambda _url, run, deadline, **_: deadlines.append(
            deadline - run.idle_since
        ),
    )
    sidecar = Sidecar()
    now_ms = stamp_ms()
    sidecar.link.delay.record_stamp(now_ms)
    attempt = attempt_of(repeatable=False, deadline_ms=10_000)
    attempt.sent_ms = now_ms - int(late_s * 1000)
    sidecar.receive(attempt)
    sidecar.run()
    assert deadlines == [pytest.approx(10.0 - late_s, abs=0.1)]


@pytest.mark.parametrize(
    ("lapsed", "closed", "resumable", "repeatable", "begins"),
    [
        (False, False, False, True, True),
        (True, False, False, True, False),
        (False, True, False, True, False),
        (True, True, True, True, False),
        # The caller may resume it through another entry.
        (False, True, True, True, True),
        # The entry resumes it, as a non-repeatable attempt runs nowhere else.
        (True, True, False, False, True),
    ],
)
def test_what_waited_while_its_entry_turned_elsewhere_is_not_begun(
    reached_upstream, lapsed, closed, resumable, repeatable, begins
):
    """Guards against running a queued attempt that its entry abandoned.

    The sidecar is paused, or its link closes, while the attempt waits for a
    slot. If the attempt starts without a check for subscribers, an engine
    works without a reader, or a suspect request runs in two places.
    """
    sidecar = Sidecar()
    sidecar.receive(attempt_of(resumable=resumable, repeatable=repeatable))
    sidecar.link.lapsed = lapsed
    if closed:
        sidecar.pair.close(sidecar.link)
    sidecar.run()
    assert reached_upstream == (["a1"] if begins else [])


def test_attempt_that_its_entry_came_back_for_is_begun(reached_upstream):
    sidecar = Sidecar()
    sidecar.receive(attempt_of())
    sidecar.pair.close(sidecar.link)
    newer = sidecar.pair.connect().other
    (run,) = sidecar.pair.runs.run_store.runs()
    run.attach(newer, "a2", 0)
    sidecar.run()
    assert reached_upstream == ["a1"]


@pytest.mark.parametrize(
    ("state", "told", "cancelled"),
    [
        ("never came", "no", False),
        ("waits", None, True),
        ("waits, kept", None, False),
        ("waits, awaited", None, False),
        ("refused", "no", False),
        ("ran", "unknown", False),
    ],
)
def test_entry_is_told_once_a_lost_attempt_can_not_run_any_more(
    state, told, cancelled
):
    """Guards against an entry that gets no outcome of an abandoned attempt.

    A sidecar continues after its links were closed as silent. An abandoned
    attempt has no subscriber that could receive its outcome, so a request was
    held back for a minute after a pause of seconds.
    """
    sidecar = Sidecar()
    runs = sidecar.pair.runs
    run = None
    if state != "never came":
        sidecar.receive(attempt_of())
        (run,) = runs.run_store.runs()
        sidecar.pair.close(sidecar.link)
    newer = sidecar.pair.connect().other
    match state:
        case "waits, kept":
            run.resume_announced = True
        case "waits, awaited":
            run.attach(newer, "a2", 0)
        case "refused":
            run.refuse(LacewingdockError(ErrorKind.OVERLOADED, "", RAN_NO))
        case "ran":
            run.executed = True
            run.end(Finish("a1", 0))
    sidecar.pair.peers.deliver(newer, Cancel("a1", settle=True))
    refusals = [m for m in newer.sent if isinstance(m, Refusal)]
    assert [r.ran for r in refusals] == ([] if told is None else [told])
    if run is not None:
        assert run.cancelled.is_set() is cancelled
    # The attempt is fenced, as its frame may still arrive.
    if state == "never came":
        sidecar.receive(attempt_of())
        assert not sidecar.tasks
