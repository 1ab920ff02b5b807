"""Tests of the router process with a simulated platform and upstreams."""

import os
import signal
import socket
import subprocess
import sys
import threading
import time

import msgspec
import pytest

from bench.http import call
from lacewingdock.helpers.http_client import get as get_bytes
from tests.components.gateway.fakes import (
    END,
    LINGER_NONE,
    Upstream,
    event,
    stream_head,
)
from tests.daemons.router_site import ROOT, configuration, server, start
from tests.waiting import wait


def get(url):
    return get_bytes(url).decode()


def _faults(site, **faults):
    call("POST", f"{site.url}/faults", faults)


def test_configuration_and_planned_stop(site):
    router = site.first
    router.start()
    wait(router.is_ready)
    assert router.call(path="/r/x")[0] == 200
    assert router.call(path="/new/x")[0] == 404
    spec = configuration(9, r="idempotent", s="streaming", new="idempotent")
    site.api.write("config", "main", spec, site.revision, "test")
    wait(lambda: router.call(path="/new/x")[0] == 200, 2.0)

    def long_stream(sock, call_id, _):
        sock.sendall(stream_head(call_id) + event(1))
        time.sleep(3.2)
        sock.sendall(event(2) + END)

    site.upstream.steps = [long_stream]
    found = {}
    sock = router.connect()
    thread = threading.Thread(
        target=lambda: found.update(answer=router.call(sock, path="/s/x"))
    )
    thread.start()
    wait(lambda: any("/s/x" in one for one in site.upstream.requests))
    kept = router.connect()
    os.kill(router.popen.pid, signal.SIGTERM)
    wait(lambda: not router.is_ready(), 1.0)
    # It serves until the load balancer stops sending, with `Connection: close`.
    status, headers, _ = router.call(kept, path="/r/x")
    assert (status, headers["connection"]) == (200, "close")
    thread.join()
    assert found["answer"][2] == b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
    assert router.popen.wait(5) == 0
    lines = router.log.read_text()
    for message in ("started", "ready", "leaving", "stopped"):
        assert f'"message":"{message}"' in lines


def test_changed_settings_are_applied_with_and_without_a_signal(site):
    """Symptom: the file has a longer grace time, yet running answers are cut.

    Cause: the settings file was read at start only.
    """
    router = site.first
    router.start()
    wait(router.is_ready)
    text = router.path.read_text()
    router.path.write_text(text.replace("grace_s = 5", "grace_s = 7"))
    wait(lambda: '"taken":["bounds"]' in router.log.read_text(), 3.0)
    router.path.write_text(text + "faulty")
    wait(lambda: "settings not read again" in router.log.read_text(), 3.0)
    router.path.write_text(text)
    os.kill(router.popen.pid, signal.SIGHUP)
    wait(lambda: '"asked":true' in router.log.read_text(), 3.0)
    assert router.call(path="/r/x")[0] == 200


def command(*arguments, text=""):
    """Run a command line; returns its exit status and output."""
    done = subprocess.run(
        [sys.executable, "-m", "lacewingdock", *arguments],
        cwd=ROOT,
        input=text,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


def test_show_prints_the_state_of_a_running_router(site):
    router = site.first
    router.start()
    wait(router.is_ready)
    assert router.call(path="/r/x")[0] == 200
    url = f"http://127.0.0.1:{router.metrics}"
    status, text = command("show", f"--router={url}")
    assert status == 0, text
    lines = [line.split() for line in text.splitlines()]
    assert ["configuration", "3"] in lines
    assert ["store_away", "no"] in lines
    assert ["i-1", "svc", "v1", "d1", "sound"] in [one[:5] for one in lines]
    status, text = command("show", f"--router={url}", "--json")
    assert msgspec.json.decode(text)["services"][0]["requests"] == 1
    assert "lacewingdock_gateway_requests_total" in get(f"{url}/metrics")
    status, text = command("check", str(router.path))
    first, *warnings = text.splitlines()
    assert status == 0
    assert first == f"{router.path}: settings of r-1 in d1, no faults"
    # The contact time of these settings is too short to notice an outage's end.
    assert len(warnings) == 2
    for line in warnings:
        assert line.startswith("bound too short: contact 1.5 s: ")
    router.path.write_text("ip = 3")
    assert command("check", str(router.path))[0] == 2


def test_a_failed_booking_is_explained_from_the_routers_own_log(site):
    """Tests that the log leads from a request's id to a connection reset."""

    def reset(sock, *_):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        return False

    router = site.first
    spec = configuration(9, b="unsafe")
    site.api.write("config", "main", spec, site.revision, "test")
    router.start()
    wait(router.is_ready)
    site.upstream.steps = [reset]
    assert router.call(path="/b/x", call_id="booking-17")[0] == 502
    assert router.call(path="/b/x", call_id="booking-18")[0] == 200
    # The line of an attempt is written before the answer, the one of its
    # request after it.
    wait(lambda: router.log.read_text().count('"message":"request"') == 2)
    log = router.log.read_text()
    status, text = command("explain", "booking-17", text=log)
    assert status == 0, text
    own = [line for line in text.splitlines() if line.startswith("*")]
    assert len(own) == 3
    for said in ("loss:", "upstream=i-1", "known=1"):
        assert said in own[0]
    for said in ("upstream=i-1", "result=Broken", "ConnectionReset"):
        assert said in own[1]
    assert "outcome=upstream_failed" in own[2]
    # The state of configuration and upstream that the router used.
    assert "configuration in force: version=9" in text
    assert "upstream: upstream=i-1 service=svc" in text
    status, text = command("explain", "--workspace=w-1", text=log)
    assert (status, text.count("request=booking-")) == (0, 2)


def test_request_that_crashes_instances_is_held_back_by_all_routers(site):
    """Symptom: a request crashes two instances through each router.

    Cause: the losses that one router observed were not known to the others.
    """

    def crashing(upstream):
        def step(*_):
            upstream.close()
            return False

        upstream.steps = [step]
        return upstream

    upstreams = [crashing(site.upstream)]
    for number in range(2, 7):
        upstreams.append(crashing(Upstream()))
        entry = server(upstreams[-1].port)
        site.api.write("servers", f"i-{number}", entry, 0, "test")
    for router in (site.first, site.second):
        router.start()
    for router in (site.first, site.second):
        wait(router.is_ready)
        wait(
            lambda r=router: r.log.read_text().count('"message":"upstream"') > 5
        )
    assert site.first.call(path="/r/x", body=b"bad")[0] == 502
    wait(lambda: "losses heard" in site.second.log.read_text(), 5.0)
    assert site.second.call(path="/r/x", body=b"bad")[0] == 502
    wait(lambda: "request held back" in site.first.log.read_text(), 5.0)
    for router in (site.first, site.second):
        assert router.call(path="/r/x", body=b"bad")[0] == 429
    assert sum(not one.steps for one in upstreams) == 3
    for upstream in upstreams[1:]:
        upstream.close()


def test_callers_wait_while_a_router_is_loaded(site):
    """Symptom: after a kill, callers are refused until the router is loaded.

    Sequence: all routers are killed; callers reconnect within a second.
    Cause: the router opened the port only after all modules were imported.
    """
    router = site.first
    env = {"LACEWINGDOCK_CONFIG": str(router.path)}
    begun = time.monotonic()
    with router.log.open("ab") as log:
        router.popen = start(
            "lacewingdock.daemons.start_router", env=env, log=log
        )
    socks = []

    def connected():
        try:
            socks.append(router.connect())
        except OSError:
            return False
        return True

    wait(connected)
    opened_s = time.monotonic() - begun
    wait(lambda: '"message":"started"' in router.log.read_text())
    assert opened_s < 0.6 * (time.monotonic() - begun)
    assert router.call(socks[0], path="/r/x")[0] == 200


@pytest.mark.parametrize("text", ["ip = 3", "= no toml", None])
def test_started_early_faulty_settings_end_with_their_fault(tmp_path, text):
    path = tmp_path / "boot.toml"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "lacewingdock.daemons.start_router"],
        cwd=ROOT,
        env={**os.environ, "LACEWINGDOCK_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert (done.returncode, "bad_setting" in done.stderr) == (2, True)


def test_router_that_starts_in_an_outage_copies_from_another(site):
    """Symptom: a restarted router refuses all requests during an outage.

    Cause: it had no address of another router to fetch copies from, since the
    addresses are in the store.
    """
    site.first.start()
    wait(site.first.is_ready)
    _faults(site, down=True)
    site.second.start()
    wait(site.second.is_ready)
    assert site.second.call(path="/r/x")[0] == 200
    _faults(site)


def test_store_outage_stops_nothing_and_dropped_history_is_read(site):
    router = site.first
    router.start()
    wait(router.is_ready)
    _faults(site, down=True)
    time.sleep(1.5)
    assert router.call(path="/r/x")[0] == 200
    _faults(site)
    spec = configuration(9, other="idempotent")
    site.api.write("config", "main", spec, site.revision, "test")
    call("POST", f"{site.url}/forget", {})
    wait(lambda: router.call(path="/other/x")[0] == 200, 4.0)
    assert router.call(path="/r/x")[0] == 404


def test_faulty_settings_end_with_their_fault(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text('node_name = "n"\n')
    done = subprocess.run(
        [sys.executable, "-m", "lacewingdock", "router", f"--config={path}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert (done.returncode, "bad_setting" in done.stderr) == (2, True)
