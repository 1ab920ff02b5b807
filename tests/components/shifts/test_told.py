"""Tests of what routers tell each other of a roll-out."""

from lacewingdock.components.gossip import Message, PinnedSession
from lacewingdock.components.shifts.pins import SessionPins
from lacewingdock.components.shifts.shift import SETTLE_S
from tests.components.shifts.fakes import (
    Store,
    call,
    router,
    share_of_new,
)


def test_router_that_started_late_keeps_the_others_sessions(clock):
    """Symptom: a session changes its version early in a roll-out.

    Sequence: it runs on the old version at one router; its next request comes
    to a router that was restarted since, which draws it for the new version.
    Cause: which version it was on was known to the first router only. Found by
    the standard day trouble-2 of the thesis repository's larger size, 26
    routers restarted in turn: four such requests.
    """
    first, second = router(Store()), router(Store())
    drawn = [
        f"s-{n}" for n in range(400) if first.running["svc"].draws(f"s-{n}")
    ]
    assert drawn
    for name in [*drawn, "another"]:
        first.pins.keep("svc", name, "v1")
    clock.now += SETTLE_S
    told = first.sessions_to_keep()
    assert {one.session for one in told} == set(drawn)
    second.hear_message(Message("r-1", 1, 1, [], told))
    for name in drawn:
        assert not second.version("svc", call(1, name)).allows("v2")
    # What was heard is told on, no younger than it was.
    assert {one.session for one in second.sessions_to_keep()} == set(drawn)


def test_router_waits_for_the_others_before_it_moves_a_session(clock):
    shifts = router(Store())
    shift = shifts.running["svc"]
    drawn = next(f"s-{n}" for n in range(999) if shift.draws(f"s-{n}"))
    assert not shifts.version("svc", call(1, drawn)).allows("v2")
    clock.now += SETTLE_S
    assert shifts.version("svc", call(1, drawn)).allows("v2")


def test_heard_session_is_not_younger_than_the_own_one():
    shifts = router(Store())
    shifts.pins.keep("svc", "s", "v2")
    shifts.pins.hear(PinnedSession("svc", "s", "v1", 3))
    assert shifts.pins.version("svc", "s") == "v2"


def test_bad_version_is_left_at_another_routers_word(clock):
    """Symptom: a bad version gets requests seconds after it was found bad.

    Sequence: one router finds it; the others' reads of the reports may be
    three seconds behind. Cause: only the reports told it.
    """
    first, second = router(Store()), router(Store())
    clock.now += SETTLE_S
    assert share_of_new(second) > 0
    first.running["svc"].found_bad = "answers"
    bad = first.found_bad()
    second.hear_message(Message("r-1", 1, 1, bad=[("svc", "v9"), ("x", "v2")]))
    assert not second.running["svc"].found_bad
    second.hear_message(Message("r-1", 1, 2, bad=bad))
    assert share_of_new(second) == 0.0
    assert second.found_bad() == bad == [("svc", "v2")]


def test_session_told_to_and_fro_grows_older(monkeypatch):
    """Symptom: sessions that ended fill the messages of a whole roll-out.

    Sequence: two routers tell each other of a session, a little after each
    other. Cause: its age was rounded down each time.
    """
    now = [500.0]
    monkeypatch.setattr(
        "lacewingdock.components.shifts.pins.time.monotonic", lambda: now[0]
    )
    pins = [SessionPins(lambda: 5.0) for _ in range(2)]
    pins[0].keep("svc", "s", "v1")
    for turn in range(40):
        now[0] += 0.33
        for one in pins[turn % 2].of_service("svc"):
            pins[1 - turn % 2].hear(one)
    assert not any(one.of_service("svc") for one in pins)
