"""Tests of router processes with slow links and a large configuration."""

import time
from pathlib import Path

import msgspec
import pytest

from tests.daemons.router_site import configuration
from tests.slow_link import SlowLink
from tests.waiting import wait

# Bandwidth of the slowest links, and length of the largest configuration.
LINK_MBPS = 5.0
LARGE_BYTES = 1_000_000
# Seconds within which a change is in force: the contact time, as a transfer
# disturbs nothing, and the bound of a configuration.
CONTACT_S, APPLY_S = 4.0, 3.0
# Memory that a daemon may take for control, in KB.
MEMORY_KB = 64 * 1024
# Versions and the pauses before them, in seconds.
SPACED = ((5, 4.4), (6, 4.4))
CLOSE = tuple((version, 0.4) for version in range(5, 11))


def grown(version, keys=("key-1", "key-2")):
    """Return a configuration with as many routes as the platform stores."""
    spec = configuration(version, r="idempotent", new="idempotent")
    spec["tenants"][0]["api_keys"] = list(keys)
    (more,) = configuration(version, more="idempotent")["routes"]
    count = LARGE_BYTES // (len(msgspec.json.encode(more)) + 8)
    spec["routes"] += [
        {**more, "name": f"r-{number}", "path_prefix": f"/more-{number}/"}
        for number in range(count)
    ]
    assert LARGE_BYTES * 0.9 < len(msgspec.json.encode(spec)) < 1_048_576
    return spec


def write(site, spec):
    """Write a configuration, as an operator does."""
    found = site.api.read("config", "main", "test")
    assert site.api.write("config", "main", spec, found.revision, "test")[0]


def connect_slowly(router):
    """Put a router behind a slow link to the store."""
    text = router.path.read_text()
    port = int(text.split('address = "127.0.0.1:')[1].split('"')[0])
    link = SlowLink(port, LINK_MBPS)
    text = text.replace(f"127.0.0.1:{port}", f"127.0.0.1:{link.port}")
    bounds = f"contact_ms = {CONTACT_S:.0f}000\n"
    bounds += f"config_apply_ms = {APPLY_S:.0f}000\n"
    router.path.write_text(text.replace("contact_ms = 1500\n", bounds))
    return link


@pytest.fixture
def routers(site):
    """Two routers behind slow links, not started yet."""
    found = site.first, site.second
    links = [connect_slowly(one) for one in found]
    yield found
    for link in links:
        link.close()


def start(routers):
    """Start routers, and wait until they are ready."""
    for router in routers:
        router.start()
    for router in routers:
        wait(router.is_ready, 10.0)


@pytest.mark.parametrize(
    "versions", [SPACED, CLOSE], ids=["spaced", "close together"]
)
def test_large_configuration_comes_into_force_on_a_slow_link(
    site, routers, versions
):
    """Guards against: a key that was taken away works for good."""
    start(routers)
    write(site, grown(4))
    for version, pause_s in versions:
        time.sleep(pause_s)
        write(site, grown(version))
    time.sleep(1.0)
    write(site, grown(20, keys=("key-2",)))
    until = time.monotonic() + CONTACT_S + APPLY_S
    for router in routers:
        left_s = until - time.monotonic()
        wait(lambda r=router: r.call(path="/new/x")[0] == 401, left_s)
    for router in routers:
        # The link is not taken for an outage of the store.
        assert '"message":"store lost"' not in router.log.read_text()


def test_many_versions_do_not_grow_the_memory(site):
    """Guards against: a router that its memory's limit ends."""
    router = site.first
    router.start()
    wait(router.is_ready)
    for version in range(4, 20):
        write(site, grown(version))
        time.sleep(0.4)
    status = Path(f"/proc/{router.popen.pid}/status").read_text()
    assert int(status.split("VmHWM:")[1].split()[0]) <= MEMORY_KB


def test_router_starts_with_a_large_configuration_on_a_slow_link(site, routers):
    """Guards against: a router that restarts is not ready for good."""
    write(site, grown(4))
    start(routers)
    for router in routers:
        assert router.call(path="/new/x")[0] == 200
