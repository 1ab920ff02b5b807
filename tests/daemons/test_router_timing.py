"""Tests that the propagation paths fit in their bounds."""

import math
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.cli import Commands
from lacewingdock.daemons import router_timing
from lacewingdock.daemons.router_timing import paths_over_bound
from lacewingdock.world.host import Bounds

# Bounds of small deployments, and of those with 50 machines and more.
SMALL = Bounds(contact_s=3.0, drain_s=2.0, apply_s=2.0)
LARGE = Bounds(contact_s=4.0, drain_s=3.0, apply_s=3.0)
# The smallest bounds that the paths fit in; a router warns of smaller ones.
LEAST = Bounds(
    contact_s=2.8, drain_s=1.9, apply_s=0.5, revoke_s=0.5, rollback_s=2.7
)
PROFILE = """
node_name = "r"
ip = "127.0.0.1"
zone = "d"
port_range = [1, 2]
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[platform]
address = "127.0.0.1:3"
[bounds]
drain_ms = {drain_ms}
"""


def over(least):
    """Return a strategy of seconds from the least bound upwards."""
    return st.floats(least, 30.0)


CORDONS = replace(LARGE, cordon_s=5.0)


@pytest.mark.parametrize("bounds", [SMALL, LARGE, LEAST, Bounds(), CORDONS])
def test_paths_fit_in_the_bounds(bounds):
    assert paths_over_bound(bounds) == []


@given(
    contact_s=over(LEAST.contact_s),
    drain_s=over(LEAST.drain_s),
    apply_s=over(LEAST.apply_s),
    revoke_s=over(LEAST.revoke_s),
    rollback_s=over(LEAST.rollback_s),
    cordon_s=st.just(0.0) | over(LEAST.contact_s),
    renewal_s=st.floats(0.2, 10.0),
)
@settings(derandomize=True, deadline=None)
def test_paths_fit_in_any_bounds_from_the_least_on(**fields):
    assert paths_over_bound(Bounds(**fields)) == []


@pytest.mark.parametrize(
    ("field", "seconds", "broken"),
    [
        ("contact_s", 2.6, {"store answers again"}),
        (
            "drain_s",
            1.8,
            {"received after other routers were asked for a missing entry"},
        ),
        ("apply_s", 0.4, {"received by a watch"}),
        ("revoke_s", 0.4, {"received by a watch"}),
        ("rollback_s", 1.0, {"reports in the store"}),
        ("cordon_s", 0.6, {"received by a watch"}),
    ],
)
def test_bound_that_is_too_short_is_reported(field, seconds, broken):
    found = paths_over_bound(replace(Bounds(), **{field: seconds}))
    assert {path.name for path in found} == broken
    for path in found:
        assert path.bound == field.removesuffix("_s")
        assert f"{seconds:g} s" in str(path)


@pytest.mark.parametrize(
    ("constant", "more_s"),
    [
        ("CHANGES_PAUSE_S", 1.5),
        ("POLL_TIMEOUT_S", 0.4),
        ("ROUTERS_PER_PULL", 1),
        ("RETRY_LIMIT_S", 0.4),
        ("CONNECT_S", 1.2),
        ("ANSWER_S", 0.9),
        ("REPORT_BAD_S", 3.0),
    ],
)
def test_constant_that_breaks_a_bound_is_detected(
    monkeypatch, constant, more_s
):
    """Guards against a changed constant that makes a propagation path too slow.

    Symptom: a change is in force late, on a path that no other test covers.
    Cause: a constant was changed for an unrelated purpose.
    """
    known = getattr(router_timing, constant)
    monkeypatch.setattr(router_timing, constant, known + more_s)
    for name in ("_PAUSE", "_ANSWER"):
        part = getattr(router_timing, name)
        source = {"_PAUSE": "CHANGES_PAUSE_S", "_ANSWER": "ANSWER_S"}[name]
        seconds = getattr(router_timing, source)
        monkeypatch.setattr(router_timing, name, replace(part, seconds=seconds))
    parts = (router_timing._PAUSE, router_timing._ANSWER)
    monkeypatch.setattr(router_timing, "_WATCH_DELAYS", parts)
    assert paths_over_bound(SMALL)


@given(contact_s=st.floats(2.8, 30.0), renewal_s=st.floats(0.2, 10.0))
@settings(derandomize=True, deadline=None)
def test_watch_of_entries_ends_within_an_outage_in_which_they_expire(
    contact_s, renewal_s
):
    """Symptom: all requests are refused after an outage of three seconds.

    Cause: a watch lasted as long as the outage and hid it, so entries that had
    expired counted as instances that left.
    """
    bounds = Bounds(contact_s=contact_s, renewal_s=renewal_s)
    waits_s = router_timing.entries_watch_s(bounds)
    ends_s = waits_s + router_timing.WATCH_GRACE_S + router_timing.RETRY_S
    shortest_s = router_timing.MIN_WATCH_S + ends_s - waits_s
    assert ends_s <= max(2 * renewal_s, shortest_s) + 1e-9
    assert math.isfinite(waits_s)


@pytest.mark.parametrize(
    ("drain_ms", "said"),
    [(2000, "no faults"), (1700, "bound too short: drain")],
)
def test_check_reports_a_bound_that_is_too_short(
    tmp_path, capsys, drain_ms, said
):
    path = tmp_path / "boot.toml"
    path.write_text(PROFILE.format(drain_ms=drain_ms))
    Commands().check(str(path))
    assert said in capsys.readouterr().out
