"""Tests of the gossip about roll-outs."""

from lacewingdock.components.gossip import Message, PinnedSession
from lacewingdock.components.traffic_shifting.pins import SessionPins
from lacewingdock.components.traffic_shifting.shift import SESSION_WAIT_S
from tests.components.traffic_shifting.fakes import (
    Store,
    call,
    router,
    share_of_new,
)


def test_router_that_started_late_keeps_the_others_sessions(clock):
    """Guards against a session that changes its version early in a roll-out.

    The session runs on the old version through one router. Its next request
    reaches a router that was restarted since and selects it for the new
    version, as only the first router has the session's version. With 26
    routers restarted in turn, four requests were affected.
    """
    first, second = router(Store()), router(Store())
    drawn = [
        f"s-{n}" for n in range(400) if first.running["svc"].selects(f"s-{n}")
    ]
    assert drawn
    for name in [*drawn, "another"]:
        first.pins.pin("svc", name, "v1")
    clock.now += SESSION_WAIT_S
    told = first.sessions_to_keep()
    assert {one.session for one in told} == set(drawn)
    second.receive_message(Message("r-1", 1, 1, [], told))
    for name in drawn:
        assert not second.version("svc", call(1, name)).allows("v2")
    # Received sessions are gossiped on, and keep their age.
    assert {one.session for one in second.sessions_to_keep()} == set(drawn)


def test_router_waits_for_the_others_before_it_moves_a_session(clock):
    shifts = router(Store())
    shift = shifts.running["svc"]
    drawn = next(f"s-{n}" for n in range(999) if shift.selects(f"s-{n}"))
    assert not shifts.version("svc", call(1, drawn)).allows("v2")
    clock.now += SESSION_WAIT_S
    assert shifts.version("svc", call(1, drawn)).allows("v2")


def test_older_gossip_does_not_replace_own_session():
    shifts = router(Store())
    shifts.pins.pin("svc", "s", "v2")
    shifts.pins.receive(PinnedSession("svc", "s", "v1", 3))
    assert shifts.pins.version("svc", "s") == "v2"


def test_version_reported_bad_by_another_router_gets_nothing(clock):
    """Guards against requests to a version seconds after it was found bad.

    One router finds the version bad, and the other routers may read its report
    three seconds later.
    """
    first, second = router(Store()), router(Store())
    clock.now += SESSION_WAIT_S
    assert share_of_new(second) > 0
    first.running["svc"].found_bad = "answers"
    bad = first.found_bad()
    second.receive_message(
        Message("r-1", 1, 1, bad=[("svc", "v9"), ("x", "v2")])
    )
    assert not second.running["svc"].found_bad
    second.receive_message(Message("r-1", 1, 2, bad=bad))
    assert share_of_new(second) == 0.0
    assert second.found_bad() == bad == [("svc", "v2")]


def test_session_gossiped_in_turn_grows_older(monkeypatch):
    """Guards against gossip messages full of sessions that have ended.

    Two routers report a session to each other in turn. When its age was rounded
    down each time, it never expired.
    """
    now = [500.0]
    monkeypatch.setattr(
        "lacewingdock.components.traffic_shifting.pins.time.monotonic",
        lambda: now[0],
    )
    pins = [SessionPins(lambda: 5.0) for _ in range(2)]
    pins[0].pin("svc", "s", "v1")
    for turn in range(40):
        now[0] += 0.33
        for one in pins[turn % 2].of_service("svc"):
            pins[1 - turn % 2].receive(one)
    assert not any(one.of_service("svc") for one in pins)
