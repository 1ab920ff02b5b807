"""Tests of router processes beside writes that the store does seconds late."""

import contextlib
import os
import signal
import threading
import time

import pytest

from lacewingdock.helpers.http_client import get as get_bytes
from tests.components.gateway.fakes import Upstream
from tests.daemons.router_site import Router, free_port, server
from tests.waiting import wait

# Seconds: the routers' drain bound, and how long the last write is observed.
DRAIN_S = 2.0
WATCHED_S = 1.5
# Seconds within which an instance whose entry lapsed is used again: three
# heartbeats, without which the entry is gone again, and the way to the routers.
BACK_S = 3 * 1.2 + 1.5


class Registered:
    """An upstream with its entry, as the instance itself writes it.

    Attributes:
        upstream: The upstream.
        name: Id of the instance.
        sequence: Number of its last heartbeat.
    """

    def __init__(self, api, name):
        self.api = api
        self.name = name
        self.upstream = Upstream()
        self.upstream.named = name.encode()
        self.sequence = 0
        self.write(self.heartbeat())

    def heartbeat(self, state="ready"):
        """Return the entry of the next heartbeat, without writing it."""
        self.sequence += 1
        changes = {"state": state, "sequence": self.sequence}
        return server(self.upstream.port) | changes

    def write(self, spec):
        """Write an entry regardless of the stored one."""
        found = self.api.read("servers", self.name, "test")
        expect = found.revision if found else 0
        assert self.api.write("servers", self.name, spec, expect, "test")[0]

    def remove(self):
        """Remove the entry."""
        found = self.api.read("servers", self.name, "test")
        assert self.api.remove("servers", self.name, found.revision, "test")


class Callers:
    """Callers that send requests to some routers until they are stopped."""

    def __init__(self, *routers):
        self.until = threading.Event()
        self.threads = [
            threading.Thread(target=self._send, args=(one,), daemon=True)
            for one in routers
        ]
        for one in self.threads:
            one.start()

    def _send(self, router):
        sock = router.connect()
        with contextlib.suppress(OSError):
            while not self.until.wait(0.02):
                assert router.call(sock, path="/r/x")[0] == 200

    def stop(self):
        """Stop, and wait for the last answers."""
        self.until.set()
        for one in self.threads:
            one.join()


@pytest.fixture
def instance(site):
    """Two ready routers with callers, and a second instance."""
    found = Registered(site.api, "i-2")
    routers = site.first, site.second
    for router in routers:
        router.start()
    for router in routers:
        wait(router.is_ready)
    callers = Callers(*routers)
    wait(lambda: found.upstream.requests)
    yield found
    callers.stop()
    found.upstream.close()


def leave_by_report(instance):
    """Report that the instance is draining."""
    instance.write(instance.heartbeat("draining"))


def leave_by_removal(instance):
    """Remove the entry of an instance that serves on."""
    instance.remove()


@pytest.mark.parametrize("late", [1, 2], ids=["once", "twice"])
@pytest.mark.parametrize("leave", [leave_by_report, leave_by_removal])
# A health check may be wrong.
@pytest.mark.parametrize("says_healthy", [False, True])
def test_late_heartbeat_does_not_reopen_a_leaving_instance(
    site, instance, leave, late, says_healthy
):
    """Guards against: bookings that a leaving instance takes down with it."""
    heartbeats = [instance.heartbeat() for _ in range(late)]
    instance.upstream.healthy = says_healthy
    leave(instance)
    time.sleep(DRAIN_S)
    before = len(instance.upstream.requests)
    # A router that reads its settings again forgets nothing.
    os.kill(site.first.popen.pid, signal.SIGHUP)
    for spec in heartbeats:
        instance.write(spec)
        time.sleep(WATCHED_S)
    assert len(instance.upstream.requests) == before


def test_router_that_starts_after_the_removal_does_not_use_the_instance(
    site, tmp_path
):
    """Guards against: a restarted router that uses an instance that left."""
    port, peer = int(site.url.rsplit(":", 1)[1]), free_port()
    # Routers send each other datagrams at one port of different addresses.
    stays, starts = (
        Router(tmp_path, port, f"r-{host}", host=f"127.0.0.{host}", peer=peer)
        for host in (2, 3)
    )
    instance = Registered(site.api, "i-2")
    try:
        stays.start()
        wait(stays.is_ready)
        wait(lambda: '"upstream":"i-2"' in stays.log.read_text())
        late = instance.heartbeat()
        instance.upstream.healthy = False
        leave_by_removal(instance)
        wait(lambda: "upstream gone" in stays.log.read_text())
        starts.start()
        wait(starts.is_ready)
        # Both know each other's addresses.
        wait(lambda: "127.0.0.3" in stays.log.read_text())
        instance.write(late)
        wait(lambda: "upstream left" in starts.log.read_text(), DRAIN_S)
        before = len(instance.upstream.requests)
        for _ in range(20):
            assert starts.call(path="/r/x")[0] == 200
        assert len(instance.upstream.requests) == before
    finally:
        for router in (stays, starts):
            router.stop()
        instance.upstream.close()


def test_instance_whose_entry_lapsed_is_used_again_soon(site, instance):
    """Guards against: a healthy instance that stays unused for seconds."""
    instance.remove()
    time.sleep(DRAIN_S)
    before = len(instance.upstream.requests)
    instance.write(instance.heartbeat())
    wait(lambda: len(instance.upstream.requests) > before, BACK_S)
    url = f"http://127.0.0.1:{site.first.metrics}/metrics"
    metrics = get_bytes(url).decode()
    assert "lacewingdock_router_returned_confirmed_total 1.0" in metrics


def test_instance_that_answers_no_health_check_is_used_again(instance):
    """Guards against: an instance held back for good by its health check."""
    instance.upstream.healthy = False
    instance.remove()
    time.sleep(DRAIN_S)
    before = len(instance.upstream.requests)
    instance.write(instance.heartbeat())
    wait(lambda: len(instance.upstream.requests) > before)
