"""Tests for the detection of crashes, with a fake upstream."""

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
    """An upstream with scripted probe results; the last one repeats."""

    def __init__(self, *found):
        self.found = list(found)
        self.reports = []
        self.unresolved = []

    def probe(self):
        """Return or raise the next probe result."""
        found = self.found.pop(0) if len(self.found) > 1 else self.found[0]
        if isinstance(found, Exception):
            raise found
        return found

    def detector(self):
        """Return a crash detector for this upstream."""
        return CrashDetector(
            "w",
            self.probe,
            lambda *report: self.reports.append(report),
            lambda *loss: self.unresolved.append(loss[1:]),
        )


@pytest.mark.parametrize(
    ("found", "error", "crashes"),
    [
        (["one", None], UpstreamLost("reset"), 1),
        (["one", "two"], UpstreamLost("reset"), 1),
        # The connection broke, but the upstream is still running.
        (["one", "one"], UpstreamLost("reset"), 0),
        (["one", HANGS], UpstreamLost("reset"), 0),
        (["", ""], UpstreamLost("reset"), 0),
        (["", None], UpstreamLost("reset"), 1),
        # A refusal or a deadline does not indicate a crash.
        (["one", None], LacewingdockError(ErrorKind.DEADLINE, "late"), 0),
    ],
)
def test_what_counts_as_a_crash(found, error, crashes):
    upstream = FakeUpstream(*found)
    detector = upstream.detector()
    with pytest.raises(LacewingdockError), detector.call("f", False):
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
    detector = upstream.detector()
    with contextlib.ExitStack() as stack:
        stack.enter_context(contextlib.suppress(UpstreamLost))
        for fingerprint, alone in calls:
            stack.enter_context(contextlib.suppress(UpstreamLost))
            stack.enter_context(detector.call(fingerprint, alone))
        stack.callback(_lose)
    ((_, reported_isolated, fingerprints),) = upstream.reports
    assert fingerprints == [f for f, _ in calls]
    assert reported_isolated is isolated


def _lose():
    raise UpstreamLost("reset")


def test_a_refused_connection_shows_the_crash_of_the_others():
    """Copies of a request arrive while the first copy crashes the upstream.

    Symptom: a copy is sent to the next upstream as if there were no evidence,
    and crashes that upstream too.
    Events: a later copy's connection is refused before the first copy's is
    reset; its refusal reaches the entry before the evidence.
    Cause: only a reset connection led to a crash check.
    """
    upstream = FakeUpstream("one", None)
    detector = upstream.detector()
    with detector.call("f", False):
        with pytest.raises(UpstreamLost), detector.call("g", False):
            raise UpstreamLost("refused", "no")
        assert [r[2] for r in upstream.reports] == [["f"]]


def test_no_call_while_the_upstream_is_down():
    """A request arrives between a crash and the upstream's restart.

    Symptom: the request counts as in flight at a crash that it did not cause.
    Cause: its failed connection looks like another crash.
    """
    upstream = FakeUpstream("one", None, None, "two")
    detector = upstream.detector()
    with contextlib.suppress(UpstreamLost), detector.call("f", False):
        raise UpstreamLost("reset")
    with (
        pytest.raises(LacewingdockError) as refused,
        detector.call("g", False),
    ):
        pytest.fail("it must not be called")
    assert refused.value.ran == "no"
    with detector.call("g", False):
        pass
    assert [r[2] for r in upstream.reports] == [["f"]]


def test_a_poll_sees_a_restart_that_no_call_noticed():
    """The upstream's machine fails, and its connections hang.

    Symptom: the requests in flight are not suspect until their calls time out.
    Cause: nothing resets the connections.
    """
    upstream = FakeUpstream("one")
    detector = upstream.detector()
    detector.observe_incarnation("one")
    with detector.call("f", False):
        detector.observe_incarnation("two")
        detector.observe_incarnation("two")
    assert [r[2] for r in upstream.reports] == [["f"]]


@pytest.mark.parametrize("seen_by", ["poll", "probe"])
@pytest.mark.parametrize(("later", "crashes"), [("one", 0), ("two", 1)])
def test_what_the_probe_can_not_tell_is_told_later(seen_by, later, crashes):
    """A crash is never reported if the restarted upstream hangs at first.

    Symptom: a crashing request crashes one more upstream for lack of evidence.
    Events: the upstream crashes; after its restart it listens, but does not
    answer yet.
    Cause: a probe without an answer was finally counted as no crash.
    """
    upstream = FakeUpstream("one", HANGS, later)
    detector = upstream.detector()
    with contextlib.suppress(UpstreamLost), detector.call("f", True):
        raise UpstreamLost("reset")
    assert upstream.unresolved == [("f", False)]
    assert not upstream.reports
    if seen_by == "poll":
        detector.observe_incarnation(later)
    else:
        with contextlib.suppress(UpstreamLost), detector.call("g", False):
            raise UpstreamLost("reset")
    assert upstream.unresolved == [("f", False), ("f", True)]
    assert len(upstream.reports) == crashes
    for _, isolated, fingerprints in upstream.reports:
        assert "f" in fingerprints
        assert isolated is (seen_by == "poll")
    # A resolved call is not reported with a later crash.
    detector.observe_incarnation("three")
    assert len(upstream.reports) == crashes
