"""Router processes that call a simulated platform and a fake upstream."""

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

from bench.http import call
from lacewingdock.platform.object_api import ObjectApi
from tests.components.gateway.fakes import Upstream, read_answer, request
from tests.waiting import wait

ROOT = Path(__file__).parents[2]

PROFILE = """
node_name = "{name}"
ip = "{host}"
zone = "d1"
port_range = [{peer}, {peer}]
seeds = ["127.0.0.1:{other}"]
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{peer}"
[platform]
address = "127.0.0.1:{platform}"
[bounds]
grace_s = 5
contact_ms = 1500
"""


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def start(*arguments, env=None, log=subprocess.DEVNULL):
    return subprocess.Popen(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        stdout=log,
        stderr=log,
        env={**os.environ, **(env or {})},
        process_group=0,
    )


class Router:
    """One router process and its ports.

    Attributes:
        host: IP address of the router. Gossip needs an address for each
            router, as its port is the same at all of them.
    """

    def __init__(
        self,
        tmp_path,
        platform,
        name="r-1",
        other=1,
        host="127.0.0.1",
        peer=None,
    ):
        self.host = host
        self.front, self.ready, self.peer, self.metrics = (
            free_port() for _ in range(4)
        )
        self.peer = peer or self.peer
        self.path = tmp_path / f"{name}.toml"
        self.path.write_text(
            PROFILE.format(
                name=name,
                host=host,
                peer=self.peer,
                front=self.front,
                ready=self.ready,
                platform=platform,
                other=other,
            )
        )
        self.log = tmp_path / f"{name}.log"
        self.popen = None

    def start(self):
        env = {
            "LACEWINGDOCK_CONFIG": str(self.path),
            "LACEWINGDOCK_METRICS_PORT": str(self.metrics),
        }
        with self.log.open("ab") as log:
            self.popen = start("lacewingdock", "router", env=env, log=log)

    def is_ready(self):
        try:
            url = f"http://{self.host}:{self.ready}/ready"
            return call("GET", url).status == 200
        except Exception:
            return False

    def connect(self):
        sock = socket.create_connection((self.host, self.front), 5)
        sock.settimeout(10)
        return sock

    def call(self, sock=None, **fields):
        sock = sock or self.connect()
        sock.sendall(request(deadline_ms=8000, **fields))
        return read_answer(sock)

    def stop(self):
        if self.popen and self.popen.poll() is None:
            os.kill(self.popen.pid, signal.SIGKILL)
            self.popen.wait()


def configuration(version, **routes):
    """Return a configuration with one route by path prefix for each keyword."""
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": "h.example",
                "path_prefix": f"/{name}/",
                "kind": kind,
                "resumable": True,
                "timeout_ms": 8000,
                "goal_ms": 2000,
                "gap_target_ms": 600,
                "service": "svc",
                "max_attempts": 2,
            }
            for name, kind in routes.items()
        ],
        "tenants": [{"name": "w-1", "api_keys": ["key-1"]}],
    }


def server(port):
    """Return an instance's entry in the form of the platform's store."""
    return {
        "service": "svc",
        "address": f"127.0.0.1:{port}",
        "zone": "d1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
        "cold_left_ms": 0,
    }


class Site:
    """A platform, an upstream and two routers that are not started yet.

    Attributes:
        url: Base URL of the platform.
        api: Client of the platform's store.
        upstream: The upstream.
        first: The first router.
        second: The second router, with the first one in its list of peers.
        revision: Revision of the stored configuration.
    """

    def __init__(self, tmp_path):
        port = free_port()
        self.platform = start("standins.platform", f"--port={port}")
        self.url = f"http://127.0.0.1:{port}"
        self.api = ObjectApi(self.url)
        wait(lambda: answers(self.api))
        self.upstream = Upstream()
        spec = configuration(3, r="idempotent", s="streaming")
        _, stored = self.api.write("config", "main", spec, 0, "test")
        self.revision = stored.revision
        entry = server(self.upstream.port)
        self.api.write("servers", "i-1", entry, 0, "test")
        self.first = Router(tmp_path, port)
        self.second = Router(tmp_path, port, "r-2", self.first.peer)

    def close(self):
        for router in (self.first, self.second):
            router.stop()
        self.platform.kill()
        self.platform.wait()
        self.upstream.close()


def answers(api):
    try:
        api.list_kind("config", "test")
    except Exception:
        return False
    return True
