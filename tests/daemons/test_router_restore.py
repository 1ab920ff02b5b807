"""Tests of a router whose platform's store comes back from an older copy."""

import time

import pytest

from bench.http import call
from tests.components.gateway.fakes import Upstream
from tests.daemons.router_site import configuration, server
from tests.waiting import wait

# As the routers' settings have it, and by default.
CONTACT_S = 1.5
APPLY_S = 2.0
DRAIN_S = 2.0


def configure(site, version, **routes):
    """Write a configuration over what is there, as an operator does."""
    found = site.api.read("config", "main", "test")
    spec = configuration(version, r="idempotent", **routes)
    written, _ = site.api.write("config", "main", spec, found.revision, "test")
    assert written


def come_back(site, lost):
    """Have the store come back from a copy that lacks the last changes."""
    call("POST", f"{site.url}/restore", {"lost": lost})


@pytest.mark.parametrize("rewritten", [0, 1, 4, 6])
def test_configuration_after_the_stores_return_from_a_copy_is_in_force(
    site, rewritten
):
    """Symptom: a change that was acknowledged is not in force for seconds.

    Sequence: the store comes back from a copy that lacks five changes, some
    are written again, and the operator writes the next configuration.

    Cause: its revisions were given out again, and were compared with those
    of the history that was lost.
    """
    router = site.first
    router.start()
    wait(router.is_ready)
    for version in range(4, 9):
        configure(site, version, lost="idempotent")
    wait(lambda: router.call(path="/lost/x")[0] == 200, APPLY_S)
    come_back(site, 5)
    for number in range(rewritten):
        # Other writers' changes count as well.
        site.api.write("routers-of-others", f"o-{number}", {}, 0, "test")
    time.sleep(CONTACT_S)
    configure(site, 20, new="idempotent")
    wait(lambda: router.call(path="/new/x")[0] == 200, APPLY_S)
    assert router.call(path="/lost/x")[0] == 404


@pytest.mark.parametrize("rewritten", [0, 1, 4, 6])
def test_instance_that_leaves_after_the_stores_return_from_a_copy_gets_nothing(
    site, rewritten
):
    """Symptom: an instance that says that it leaves gets requests for seconds.

    Sequence: the store comes back from a copy that lacks five changes, the
    entry of an instance among them; some are written again, and another
    instance says that it leaves.

    Cause: the revision of its word had been given out before, so that the
    router's watch went on beyond it.
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
    come_back(site, 5)
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
