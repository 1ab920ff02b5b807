"""Tests for attempts that their entry has given up, over links in memory."""

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
def begun(monkeypatch):
    """Ids of the attempts that reached the upstream."""
    ids = []
    monkeypatch.setattr(
        runs_module,
        "call_upstream",
        lambda _url, run, *_, **__: ids.append(run.attempt.attempt),
    )
    return ids


class Sidecar:
    """A sidecar whose tasks wait until the test lets them run."""

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

    def take(self, attempt):
        """Read an attempt's frame."""
        self.link.delay.note(attempt.sent_ms)
        self.pair.peers.deliver(self.link, attempt)

    def run(self):
        """Let what waits go on."""
        tasks, self.tasks = self.tasks, []
        for function, *arguments in tasks:
            function(*arguments)

    def refusals(self):
        """Return what the entry was refused."""
        return [m for m in self.link.sent if isinstance(m, Refusal)]


@pytest.mark.parametrize(
    ("late_s", "repeatable", "begins"),
    [
        (0.0, True, True),
        (0.3, True, True),
        (0.6, True, False),
        (3.0, True, False),
        # It was sent nowhere else, and its entry still waits for it.
        (3.0, False, True),
    ],
)
def test_attempt_that_comes_late_is_not_begun(
    begun, late_s, repeatable, begins
):
    """A frame is read seconds after its entry has sent it elsewhere.

    Symptom: a crashing request takes one upstream more for each pause.
    Events: a sidecar is paused with attempts in its sockets.
    Cause: what is read after the pause looks as if it had just come.
    """
    sidecar = Sidecar()
    now_ms = stamp_ms()
    sidecar.link.delay.note(now_ms)
    attempt = attempt_of(repeatable=repeatable)
    attempt.sent_ms = now_ms - int(late_s * 1000)
    sidecar.take(attempt)
    sidecar.run()
    assert begun == (["a1"] if begins else [])
    told = [(r.code, r.ran) for r in sidecar.refusals()]
    assert told == ([] if begins else [(ErrorKind.NO_UPSTREAM, RAN_NO)])


@pytest.mark.parametrize("late_s", [0.0, 3.0])
def test_deadline_counts_from_when_it_was_sent(monkeypatch, late_s):
    """Symptom: an upstream works on for a caller that has long left."""
    deadlines = []
    monkeypatch.setattr(
        runs_module,
        "call_upstream",
        lambda _url, run, deadline, **_: deadlines.append(
            deadline - run.changed
        ),
    )
    sidecar = Sidecar()
    now_ms = stamp_ms()
    sidecar.link.delay.note(now_ms)
    attempt = attempt_of(repeatable=False, deadline_ms=10_000)
    attempt.sent_ms = now_ms - int(late_s * 1000)
    sidecar.take(attempt)
    sidecar.run()
    assert deadlines == [pytest.approx(10.0 - late_s, abs=0.1)]


@pytest.mark.parametrize(
    ("lapsed", "closed", "resumable", "repeatable", "begins"),
    [
        (False, False, False, True, True),
        (True, False, False, True, False),
        (False, True, False, True, False),
        (True, True, True, True, False),
        # Its caller may come back for it through another entry.
        (False, True, True, True, True),
        # The entry comes back for it; nobody else has it.
        (True, True, False, False, True),
    ],
)
def test_what_waited_while_its_entry_turned_elsewhere_is_not_begun(
    begun, lapsed, closed, resumable, repeatable, begins
):
    """A request waits for a slot while the link to its entry is given up.

    Symptom: an engine works for nobody, or a suspect runs in two places.
    Events: the sidecar is paused, or its link closes, while it queues.
    Cause: what queues is begun without a look at who still waits.
    """
    sidecar = Sidecar()
    sidecar.take(attempt_of(resumable=resumable, repeatable=repeatable))
    sidecar.link.lapsed = lapsed
    if closed:
        sidecar.pair.close(sidecar.link)
    sidecar.run()
    assert begun == (["a1"] if begins else [])


def test_attempt_that_its_entry_came_back_for_is_begun(begun):
    sidecar = Sidecar()
    sidecar.take(attempt_of())
    sidecar.pair.close(sidecar.link)
    newer = sidecar.pair.connect().other
    (run,) = sidecar.pair.runs.shelf.runs()
    run.attach(newer, "a2", 0)
    sidecar.run()
    assert begun == ["a1"]


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
    """An entry never hears what became of what it gave up.

    Symptom: a request is held back for a minute after a pause of seconds.
    Events: a sidecar goes on after its links were closed as silent.
    Cause: what was given up has no watcher that could be told.
    """
    sidecar = Sidecar()
    runs = sidecar.pair.runs
    run = None
    if state != "never came":
        sidecar.take(attempt_of())
        (run,) = runs.shelf.runs()
        sidecar.pair.close(sidecar.link)
    newer = sidecar.pair.connect().other
    match state:
        case "waits, kept":
            run.kept = True
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
    # It is fenced: the frame itself may still come.
    if state == "never came":
        sidecar.take(attempt_of())
        assert not sidecar.tasks
