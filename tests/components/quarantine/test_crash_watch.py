"""Tests for noticing crashes, with a fake upstream."""

import contextlib

import pytest

from lacewingdock.components.quarantine.crash_detector import CrashDetector
from lacewingdock.exceptions import (
    ErrorKind,
    LacewingdockError,
    UpstreamLost,
)

HANGS = LacewingdockError(ErrorKind.UPSTREAM_FAILED, "hangs", "no")


class FakeUpstream:
    """What the next probes find, the last one from then on."""

    def __init__(self, *found):
        self.found = list(found)
        self.reports = []
        self.doubts = []

    def probe(self):
        """Answer one probe."""
        found = self.found.pop(0) if len(self.found) > 1 else self.found[0]
        if isinstance(found, Exception):
            raise found
        return found

    def watch(self):
        """Return a watch on this upstream."""
        return CrashDetector(
            "w",
            self.probe,
            lambda *report: self.reports.append(report),
            lambda *doubt: self.doubts.append(doubt[1:]),
        )


@pytest.mark.parametrize(
    ("found", "error", "crashes"),
    [
        (["one", None], UpstreamLost("reset"), 1),
        (["one", "two"], UpstreamLost("reset"), 1),
        # The connection broke and the upstream lives.
        (["one", "one"], UpstreamLost("reset"), 0),
        (["one", HANGS], UpstreamLost("reset"), 0),
        (["", ""], UpstreamLost("reset"), 0),
        (["", None], UpstreamLost("reset"), 1),
        # A refusal or a deadline proves nothing.
        (["one", None], LacewingdockError(ErrorKind.DEADLINE, "late"), 0),
    ],
)
def test_what_counts_as_a_crash(found, error, crashes):
    upstream = FakeUpstream(*found)
    watch = upstream.watch()
    with pytest.raises(LacewingdockError), watch.call("f", False):
        raise error
    assert len(upstream.reports) == crashes


@pytest.mark.parametrize(
    ("calls", "isolated"),
    [
        ([("f", True)], True),
        ([("f", False)], False),
        ([("f", False), ("g", False)], False),
        ([("f", True), ("g", False)], False),
    ],
)
def test_one_crash_is_told_once_with_all_in_flight(calls, isolated):
    upstream = FakeUpstream("one", None)
    watch = upstream.watch()
    with contextlib.ExitStack() as stack:
        stack.enter_context(contextlib.suppress(UpstreamLost))
        for fingerprint, alone in calls:
            stack.enter_context(contextlib.suppress(UpstreamLost))
            stack.enter_context(watch.call(fingerprint, alone))
        stack.callback(_lose)
    ((_, told_isolated, fingerprints),) = upstream.reports
    assert fingerprints == [f for f, _ in calls]
    assert told_isolated is isolated


def _lose():
    raise UpstreamLost("reset")


def test_a_refused_connection_shows_the_crash_of_the_others():
    """Copies come while the upstream crashes under the first of them.

    Symptom: one copy is sent on to the next upstream as if nothing were
    known, and takes it down too.
    Events: a later copy's connection is refused before the first copy's is
    reset; its refusal reaches the entry ahead of the evidence.
    Cause: only a reset connection was looked into.
    """
    upstream = FakeUpstream("one", None)
    watch = upstream.watch()
    with watch.call("f", False):
        with pytest.raises(UpstreamLost), watch.call("g", False):
            raise UpstreamLost("refused", "no")
        assert [r[2] for r in upstream.reports] == [["f"]]


def test_no_call_while_the_upstream_is_down():
    """A request comes between the crash and the upstream's return.

    Symptom: it counts as in flight at a crash that it had no part in.
    Cause: it failed to connect, which looks like another crash.
    """
    upstream = FakeUpstream("one", None, None, "two")
    watch = upstream.watch()
    with contextlib.suppress(UpstreamLost), watch.call("f", False):
        raise UpstreamLost("reset")
    with (
        pytest.raises(LacewingdockError) as refused,
        watch.call("g", False),
    ):
        pytest.fail("it must not be called")
    assert refused.value.ran == "no"
    with watch.call("g", False):
        pass
    assert [r[2] for r in upstream.reports] == [["f"]]


def test_a_poll_sees_a_restart_that_no_call_noticed():
    """The upstream's machine vanishes; its connections just hang.

    Symptom: what it ran is not suspect until the calls run out of time.
    Cause: nothing resets the connections.
    """
    upstream = FakeUpstream("one")
    watch = upstream.watch()
    watch.observe_incarnation("one")
    with watch.call("f", False):
        watch.observe_incarnation("two")
        watch.observe_incarnation("two")
    assert [r[2] for r in upstream.reports] == [["f"]]


@pytest.mark.parametrize("seen_by", ["poll", "probe"])
@pytest.mark.parametrize(("later", "crashes"), [("one", 0), ("two", 1)])
def test_what_the_probe_can_not_tell_is_told_later(seen_by, later, crashes):
    """A crash is never told where the upstream's next start hangs at first.

    Symptom: a crashing request takes an upstream more, without evidence.
    Events: the upstream crashes; its next start listens and does not answer.
    Cause: a probe without an answer counted as no crash, for good.
    """
    upstream = FakeUpstream("one", HANGS, later)
    watch = upstream.watch()
    with contextlib.suppress(UpstreamLost), watch.call("f", True):
        raise UpstreamLost("reset")
    assert upstream.doubts == [("f", False)]
    assert not upstream.reports
    if seen_by == "poll":
        watch.observe_incarnation(later)
    else:
        with contextlib.suppress(UpstreamLost), watch.call("g", False):
            raise UpstreamLost("reset")
    assert upstream.doubts == [("f", False), ("f", True)]
    assert len(upstream.reports) == crashes
    for _, isolated, fingerprints in upstream.reports:
        assert "f" in fingerprints
        assert isolated is (seen_by == "poll")
    # What is decided is not told with a later crash.
    watch.observe_incarnation("three")
    assert len(upstream.reports) == crashes
