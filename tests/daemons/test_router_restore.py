"""Tests of router processes whose store is restored from an older copy."""

import os
import signal
import time

import pytest

from bench.http import call
from lacewingdock.helpers.http_client import get as get_bytes
from lacewingdock.world.router_entry import KIND_ROUTERS
from tests.components.gateway.fakes import Upstream
from tests.daemons.router_site import configuration, server
from tests.waiting import wait

# Seconds: the contact time of the routers' settings, and two default bounds.
CONTACT_S = 1.5
APPLY_S = 2.0
DRAIN_S = 2.0


def configure(site, version, **routes):
    """Overwrite the stored configuration, as an operator does."""
    found = site.api.read("config", "main", "test")
    spec = configuration(version, r="idempotent", **routes)
    written, _ = site.api.write("config", "main", spec, found.revision, "test")
    assert written


def apply_changes(site, routers):
    """Start routers and apply five changes that a restored copy may lack."""
    for router in routers:
        router.start()
    for router in routers:
        wait(router.is_ready)
    for version in range(4, 9):
        configure(site, version, lost="idempotent")
    for router in routers:
        wait(lambda r=router: r.call(path="/lost/x")[0] == 200, APPLY_S)


def restore_store(site, lost):
    """Restore the store from a copy that lacks the last changes."""
    call("POST", f"{site.url}/restore", {"lost": lost})


@pytest.mark.parametrize("rewritten", [0, 1, 4, 6])
def test_configuration_after_the_stores_return_from_a_copy_is_in_force(
    site, rewritten
):
    """Symptom: a change that was acknowledged is not in force for seconds.

    Sequence: the store is restored from a copy that lacks five changes, some
    are written again, and the operator writes the next configuration.

    Cause: the store assigned the same revisions again, and the router compared
    them with those of the lost history.
    """
    router = site.first
    apply_changes(site, [router])
    restore_store(site, 5)
    for number in range(rewritten):
        # Changes of other writers increase the revision, too.
        site.api.write("routers-of-others", f"o-{number}", {}, 0, "test")
    time.sleep(CONTACT_S)
    configure(site, 20, new="idempotent")
    wait(lambda: router.call(path="/new/x")[0] == 200, APPLY_S)
    assert router.call(path="/lost/x")[0] == 404


@pytest.mark.parametrize("rewritten", [0, 1, 4, 6])
def test_instance_that_leaves_after_the_stores_return_from_a_copy_gets_nothing(
    site, rewritten
):
    """Symptom: an instance that announced its stop gets requests for seconds.

    Sequence: the store is restored from a copy that lacks five changes, the
    entry of an instance among them; some are written again, and another
    instance announces that it is leaving.

    Cause: the revision of this announcement had been assigned before, so the
    router's watch continued beyond it.
    """
    other = Upstream()
    site.api.write("servers", "i-2", server(other.port), 0, "test")
    router = site.first
    router.start()
    wait(router.is_ready)
    for version in range(4, 8):
        configure(site, version)
    lost = server(other.port) | {"version": "lost"}
    site.api.write("servers", "i-3", lost, 0, "test")
    wait(lambda: '"upstream":"i-3"' in router.log.read_text())
    restore_store(site, 5)
    for number in range(rewritten):
        site.api.write("routers-of-others", f"o-{number}", {}, 0, "test")
    time.sleep(CONTACT_S)
    found = site.api.read("servers", "i-1", "test")
    leaving = server(site.upstream.port) | {"state": "draining", "sequence": 2}
    assert site.api.write("servers", "i-1", leaving, found.revision, "test")[0]
    time.sleep(DRAIN_S)
    before = len(site.upstream.requests)
    for _ in range(10):
        assert router.call(path="/r/x")[0] == 200
    assert len(site.upstream.requests) == before
    other.close()


def announced(site):
    """Return the names of the routers whose entries the store has."""
    return set(site.api.list_kind(KIND_ROUTERS, "test").objects)


def test_routers_entries_that_the_copy_lacks_are_written_again(site):
    """Symptom: after a restore of the store a router has no entry for minutes.

    Cause: it announced itself again only ten minutes later.
    """
    routers = site.first, site.second
    for router in routers:
        router.start()
    for router in routers:
        wait(router.is_ready)
    wait(lambda: announced(site) == {"r-1", "r-2"})
    restore_store(site, 2)
    assert announced(site) == set()
    wait(lambda: announced(site) == {"r-1", "r-2"}, CONTACT_S + APPLY_S)


def test_router_that_was_frozen_over_the_return_goes_by_the_new_history(site):
    """Symptom: a router that resumes brings back objects that the store lost.

    Sequence: one router freezes, the store is restored from a copy, the
    operator writes again, and the router resumes. Cause: it holds higher
    revisions than the others, so its copy would count as the newest.
    """
    routers = site.first, site.second
    apply_changes(site, routers)
    os.kill(site.second.popen.pid, signal.SIGSTOP)
    restore_store(site, 5)
    time.sleep(CONTACT_S)
    configure(site, 20, new="idempotent")
    wait(lambda: site.first.call(path="/new/x")[0] == 200, APPLY_S)
    os.kill(site.second.popen.pid, signal.SIGCONT)
    time.sleep(CONTACT_S)
    for router in routers:
        wait(lambda r=router: r.call(path="/new/x")[0] == 200, APPLY_S)
        assert router.call(path="/lost/x")[0] == 404


def test_several_returns_in_a_row_leave_the_last_configuration_in_force(site):
    """Guards against watches that miss changes after repeated restores.

    Symptom: a router receives no changes after two restores in a second.
    """
    router = site.first
    apply_changes(site, [router])
    for lost in (2, 3, 1):
        restore_store(site, lost)
        site.api.write("routers-of-others", f"o-{lost}", {}, 0, "test")
        # The configuration in force stays, whatever the copy holds.
        assert router.call(path="/lost/x")[0] == 200
        time.sleep(0.3)
    configure(site, 20, new="idempotent")
    wait(lambda: router.call(path="/new/x")[0] == 200, CONTACT_S + APPLY_S)
    metrics = get_bytes(f"http://127.0.0.1:{router.metrics}/metrics").decode()
    assert "lacewingdock_router_store_era 4.0" in metrics
    assert "lacewingdock_router_store_restored_total 3.0" in metrics


def test_router_that_starts_in_the_return_serves(site):
    """Symptom: a router that starts during restores never becomes ready."""
    site.first.start()
    wait(site.first.is_ready)
    site.second.start()
    for _ in range(3):
        restore_store(site, 1)
        time.sleep(0.05)
    found = site.api.read("config", "main", "test")
    if found is None:
        spec = configuration(20, r="idempotent")
        site.api.write("config", "main", spec, 0, "test")
    wait(site.second.is_ready)
    wait(lambda: announced(site) >= {"r-2"})
