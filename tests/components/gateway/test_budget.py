"""Tests that all routers' retries together stay within the fleet's bound."""

import pytest

from lacewingdock.components.gateway.cascade import CASCADE_RESERVE
from lacewingdock.components.host_watch import HostWatch
from lacewingdock.daemons.router import RouterDaemon
from lacewingdock.settings import RouterSettings
from lacewingdock.world.host import Bounds, HostProfile


def daemon_of(routers, bounds):
    """Return a router's daemon in a fleet of a number of routers."""
    host = HostProfile(
        instance="r-0",
        failure_domain="d",
        address="127.0.0.1",
        callers_address=("127.0.0.1", 0),
        ready_address=("127.0.0.1", 0),
        peer_address=("127.0.0.1", 0),
        platform="http://127.0.0.1:1",
        bounds=bounds,
    )
    found = RouterDaemon(HostWatch("x", "", host), RouterSettings(config="x"))
    for number in range(1, routers):
        found.routers.entries[f"r-{number}"] = found.routers.entry
    found._run_housekeeping()
    for port in (found.callers, found.ready, found.copies):
        port.listener.close()
    return found


@pytest.mark.parametrize("routers", [1, 4, 5, 27, 300])
@pytest.mark.parametrize("rate", [0, 1, 20, 100])
def test_retries_of_the_fleet_stay_within_the_bound(routers, rate):
    """Guards against a large fleet that exceeds the bound on retries.

    Each router saved up the share of one in six, so that a fleet of thirty made
    several times the retries allowed. In the worst window all budgets are full
    at its start, and every router retries whenever it can.
    """
    bounds = Bounds(retry_ratio=0.9, retry_extra=52.0, retry_window_s=10.0)
    daemon = daemon_of(routers, bounds)
    budget = daemon.gateway.budget("svc")
    for _ in range(30):
        for _ in range(rate):
            budget.count_request()
        daemon._run_housekeeping()
    taken = 0
    for _ in range(10):
        for _ in range(rate):
            budget.count_request()
            taken += budget.take()
        while budget.take():
            taken += 1
        daemon._run_housekeeping()
    allowed = bounds.retry_ratio * rate * 10 * routers + bounds.retry_extra
    assert taken * routers <= allowed


def test_changed_settings_change_the_budget():
    """Guards against a lower retry ratio that applies only after a restart.

    Each budget kept the ratio with which it was created.
    """
    daemon = daemon_of(6, Bounds(retry_ratio=0.9, retry_extra=60.0))
    budget = daemon.gateway.budget("svc")
    assert budget.saved == pytest.approx(0.85 * 10)
    daemon.host.bounds = Bounds(
        retry_ratio=0.1, retry_extra=24.0, retry_window_s=4.0
    )
    daemon._run_housekeeping()
    while budget.take():
        pass
    for _ in range(40):
        budget.count_request()
        daemon._run_housekeeping()
    taken = 0
    while budget.take():
        taken += 1
    # 24 extra retries for six routers, of each of which it may take 0.85.
    assert taken == 3


@pytest.mark.parametrize("routers", [1, 27, 300])
def test_large_fleets_can_ask_a_larger_model(routers):
    """Guards against large fleets that ask only the largest model.

    In a fleet of thirty a router's share of the saved retries was below the
    reserve that a cascade needs, whatever its traffic.
    """
    daemon = daemon_of(routers, Bounds(retry_ratio=0.9, retry_extra=52.0))
    budget = daemon.gateway.budget("svc")
    for _ in range(15):
        for _ in range(10):
            budget.count_request()
        daemon._run_housekeeping()
    assert budget.saved >= CASCADE_RESERVE
