"""Tests of a load sidecar process with a simulated platform and engine."""

import http.server
import os
import random
import signal
import threading
import time

import msgspec
import pytest

from lacewingdock.cli import Commands
from lacewingdock.components.probes.const import MAX_SILENT_BACKOFF_S
from lacewingdock.components.probes.prober import Prober
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.object_api import ObjectApi
from lacewingdock.platform.profile import parse_sidecar_profile
from lacewingdock.world.router_entry import KIND_ROUTERS
from tests.daemons.router_site import answers, free_port, start
from tests.waiting import wait

PROFILE = """
node_name = "side-1"
ip = "127.0.0.2"
zone = "d1"
app = "{app}"
service = "svc"
port_range = [{first}, {last}]
[listen]
[platform]
address = "127.0.0.1:{platform}"
"""


def profile(app="127.0.0.1:9", first=7000, last=7010, platform=9):
    return PROFILE.format(app=app, first=first, last=last, platform=platform)


class Engine(http.server.ThreadingHTTPServer):
    """A fake engine that reports its load.

    Attributes:
        active: Number of running requests that it reports.
    """

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), Handler)
        self.active = 3
        threading.Thread(target=self.serve_forever, daemon=True).start()


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves the load report."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        """Send the report with the current load."""
        report = {"active": self.server.active, "queued": 1, "runs": []}
        body = msgspec.json.encode(report)
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        """Suppress the access log."""


@pytest.fixture
def site(tmp_path):
    """A platform with the entry of a router, an engine, and its sidecar."""
    platform_port, first = free_port(), free_port()
    platform = start("standins.platform", f"--port={platform_port}")
    api = ObjectApi(f"http://127.0.0.1:{platform_port}")
    wait(lambda: answers(api))
    entry = {"address": "127.0.0.1:7", "incarnation": "1", "seen_at": 0}
    api.write(KIND_ROUTERS, "r-1", entry, 0, "test")
    engine = Engine()
    path = tmp_path / "boot.toml"
    app = f"127.0.0.1:{engine.server_port}"
    path.write_text(profile(app, first, first + 5, platform_port))
    log_path = tmp_path / "log"
    with log_path.open("ab") as log:
        popen = start(
            "lacewingdock.daemons.load_sidecar",
            env={"LACEWINGDOCK_CONFIG": str(path)},
            log=log,
        )
    prober = Prober("127.0.0.1", first + 2, random.Random(1))
    stopping = threading.Event()
    threading.Thread(
        target=prober.listen, args=(stopping,), daemon=True
    ).start()
    found = type("Site", (), {})()
    found.engine, found.popen, found.prober = engine, popen, prober
    found.log, found.path = log_path, path
    yield found
    stopping.set()
    engine.shutdown()
    for one in (popen, platform):
        one.kill()
        one.wait()


def ask(site):
    """Return the load that the sidecar reports; None without an answer."""
    site.prober._silent.clear()
    return site.prober.ask(["127.0.0.2"]).get("127.0.0.2")


def test_sidecar_reports_its_engines_load_and_its_loss(site):
    wait(lambda: (found := ask(site)) and not found.lost)
    assert ask(site).running == 4
    site.engine.active = 9
    wait(lambda: (found := ask(site)) and found.running == 10)
    site.prober.announce("127.0.0.2", "c-1", 2.0)
    wait(lambda: (found := ask(site)) and found.running == 11)
    # An invalid report.
    site.engine.active = -1
    wait(lambda: (found := ask(site)) and found.lost)
    os.kill(site.popen.pid, signal.SIGTERM)
    assert site.popen.wait(5) == 0
    lines = site.log.read_text()
    for message in ("started", "engine lost", "stopped"):
        assert f'"message":"{message}"' in lines


def test_changed_settings_do_not_end_a_sidecar(site):
    """Symptom: all sidecars exit, twelve of twelve.

    Sequence: the settings files change and the platform sends SIGHUP.
    Cause: no handler was installed, and SIGHUP ends a process by default.
    """
    wait(lambda: ask(site) is not None)
    os.kill(site.popen.pid, signal.SIGHUP)
    wait(lambda: '"settings read again"' in site.log.read_text())
    site.path.write_text(site.path.read_text().replace("side-1", "side-9"))
    os.kill(site.popen.pid, signal.SIGHUP)
    wait(lambda: '"need_restart":["instance"]' in site.log.read_text())
    site.path.write_text("nonsense")
    os.kill(site.popen.pid, signal.SIGHUP)
    wait(lambda: '"settings not read again"' in site.log.read_text())
    assert site.popen.poll() is None
    assert ask(site) is not None


def test_sidecar_that_is_gone_is_left_alone(site):
    """Guards against a router that waits for a dead sidecar at each choice."""
    wait(lambda: ask(site) is not None)
    site.popen.kill()
    site.popen.wait()
    start_at = time.monotonic()
    for _ in range(2000):
        assert site.prober.ask(["127.0.0.2"]) == {}
    assert time.monotonic() - start_at < MAX_SILENT_BACKOFF_S


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (profile(app="nowhere"), "app"),
        (profile(first=7000, last=7001), "port_range"),
        ("nonsense", "boot.toml"),
    ],
)
def test_bad_settings_are_named(text, named):
    with pytest.raises(LacewingdockError) as caught:
        parse_sidecar_profile(text, "boot.toml")
    assert caught.value.kind is ErrorKind.BAD_SETTING
    assert named in caught.value.detail


def test_check_reads_a_sidecars_settings(tmp_path, capsys):
    path = tmp_path / "boot.toml"
    path.write_text(profile())
    Commands().check(str(path))
    assert "side-1 in d1, no faults" in capsys.readouterr().out
