"""Support for starting a whole deployment on loopback, for tests and demos."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from bench.http import Reply, call
from bench.ports import HOST, free_ports

START_TIMEOUT_S: Final = 30.0
STOP_TIMEOUT_S: Final = 15.0
LINK_KEYS: Final = "k1 a-link-key-for-loopback-only\n"
SESSION_KEYS: Final = "s1 a-session-key-for-loopback-only\n"


def wait_until(
    condition: Callable[[], bool],
    failure: str,
    timeout_s: float = START_TIMEOUT_S,
) -> None:
    """Wait for a condition.

    Raises:
        RuntimeError: It did not come about in time.
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise RuntimeError(failure)
        time.sleep(0.05)


@dataclass(slots=True)
class Process:
    """A process of the deployment.

    Attributes:
        name: Its name; its log is NAME.log.
        arguments: How it was started.
        popen: The process; only what was started here is ever ended.
        ports: Its ports by use.
    """

    name: str
    arguments: list[str]
    popen: "subprocess.Popen[bytes]"
    ports: dict[str, int]

    def url(self, use: str = "port") -> str:
        """Return the URL of one of its ports."""
        return f"http://{HOST}:{self.ports[use]}"

    def signal(self, number: int) -> None:
        """Send it a signal if it still runs."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGKILL)
        self.popen.wait(STOP_TIMEOUT_S)

    def stop(self) -> int:
        """End it gracefully and return its exit status."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S)


@dataclass(slots=True)
class Shape:
    """What a deployment is made of.

    Attributes:
        domains: Failure domains; instances go round them.
        entries: Number of entries.
        workers: Number of model engines with their sidecars.
        booking_workers: Number of booking workers with their sidecars.
        versions: Versions that each engine has loaded.
        weak: Versions that are unsure of hard requests.
        token_s: Seconds between tokens.
        first_s: Seconds to the first token.
        capacity: Requests that an engine runs at once.
        lag_s: Lag of the platform's instance list.
        entry_flags: More flags for each entry.
        sidecar_flags: More flags for each sidecar.
    """

    domains: list[str] = field(default_factory=lambda: ["hall-a", "hall-b"])
    entries: int = 1
    workers: int = 1
    booking_workers: int = 1
    versions: list[str] = field(
        default_factory=lambda: ["drafter-1", "planner-1"]
    )
    weak: list[str] = field(default_factory=lambda: ["drafter-1"])
    token_s: float = 0.005
    first_s: float = 0.02
    capacity: int = 64
    lag_s: float = 0.0
    entry_flags: list[str] = field(default_factory=list)
    sidecar_flags: list[str] = field(default_factory=list)


class Deployment:
    """A running deployment.

    Attributes:
        shape: What it is made of.
        folder: Where keys and logs are.
        processes: The processes by name.
        instances: The platform's list as the launcher keeps it.
    """

    __slots__ = ("folder", "instances", "processes", "shape")

    def __init__(self, shape: Shape) -> None:
        """Prepare the folder; `start` starts the processes."""
        self.shape = shape
        self.folder = Path(tempfile.mkdtemp(prefix="lacewingdock-"))
        self.processes: dict[str, Process] = {}
        self.instances: dict[str, dict[str, Any]] = {}
        (self.folder / "link.keys").write_text(LINK_KEYS)
        (self.folder / "session.keys").write_text(SESSION_KEYS)

    def __enter__(self) -> "Deployment":
        """Start everything."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """End everything."""
        self.stop()

    def start(self) -> None:
        """Start everything and wait until the platform answers."""
        shape = self.shape
        platform = self.run_module(
            "platform", "standins.platform", ["port"], f"--lag_s={shape.lag_s}"
        )
        ratings = self.run_module("ratings", "standins.ratings", ["port"])
        for process in (platform, ratings):
            self.wait_port(process)
        for index in range(shape.workers):
            self.add_worker(index)
        for index in range(shape.booking_workers):
            self.add_booking_worker(index)
        for index in range(shape.entries):
            self.add_entry(index)
        self.publish()

    def domain(self, index: int) -> str:
        """Return the failure domain of the instance with an index."""
        return self.shape.domains[index % len(self.shape.domains)]

    def add_worker(self, index: int) -> None:
        """Start a model engine and its sidecar."""
        shape = self.shape
        engine = self.run_module(
            f"engine-{index}",
            "standins.engine",
            ["port"],
            f"--versions={','.join(shape.versions)}",
            f"--weak={','.join(shape.weak)}",
            f"--token_s={shape.token_s}",
            f"--first_s={shape.first_s}",
        )
        self.add_sidecar(
            f"worker-{index}",
            self.domain(index),
            engine,
            "engines",
            f"--capacity={shape.capacity}",
        )

    def add_booking_worker(self, index: int) -> None:
        """Start a booking worker and its sidecar."""
        worker = self.run_module(
            f"booking-{index}", "standins.booking", ["port"]
        )
        self.add_sidecar(
            f"booking-sidecar-{index}",
            self.domain(index),
            worker,
            "booking",
            "--upstream_kind=service",
            "--service=booking",
        )

    def add_sidecar(
        self, name: str, domain: str, upstream: Process, pool: str, *flags: str
    ) -> Process:
        """Start a sidecar beside an upstream."""
        process = self.run_daemon(
            "sidecar",
            name,
            domain,
            ["link_port", "admin_port"],
            f"--upstream={upstream.url()}",
            *flags,
            *self.shape.sidecar_flags,
        )
        self.instances[name] = {
            "name": name,
            "role": "sidecar",
            "failure_domain": domain,
            "address": f"{HOST}:{process.ports['link_port']}",
            "admin": f"{HOST}:{process.ports['admin_port']}",
            "pool": pool,
        }
        return process

    def add_entry(self, index: int) -> Process:
        """Start an entry."""
        name, domain = f"entry-{index}", self.domain(index)
        process = self.run_daemon(
            "entry",
            name,
            domain,
            ["port", "link_port", "admin_port"],
            f"--session_keys_file={self.folder}/session.keys",
            f"--ratings={self.processes['ratings'].url()}",
            "--plain_callers",
            "--linger_s=0.4",
            *self.shape.entry_flags,
        )
        self.instances[name] = {
            "name": name,
            "role": "entry",
            "failure_domain": domain,
            "address": f"{HOST}:{process.ports['link_port']}",
            "admin": f"{HOST}:{process.ports['admin_port']}",
        }
        return process

    def run_daemon(
        self, role: str, name: str, domain: str, uses: list[str], *flags: str
    ) -> Process:
        """Start a daemon of the system."""
        return self.run_module(
            name,
            "lacewingdock.cli",
            uses,
            f"--instance={name}",
            f"--failure_domain={domain}",
            f"--platform={self.processes['platform'].url()}",
            f"--link_keys_file={self.folder}/link.keys",
            *flags,
            command=role,
        )

    def run_module(
        self,
        name: str,
        module: str,
        uses: list[str],
        *flags: str,
        command: str = "",
    ) -> Process:
        """Start a Python module as a process with free ports."""
        ports = dict(zip(uses, free_ports(len(uses)), strict=True))
        arguments = [sys.executable, "-m", module]
        arguments += [command] if command else []
        arguments += [f"--{use}={port}" for use, port in ports.items()]
        arguments += flags
        process = Process(name, arguments, self._spawn(name, arguments), ports)
        self.processes[name] = process
        return process

    def _spawn(
        self, name: str, arguments: list[str]
    ) -> "subprocess.Popen[bytes]":
        with (self.folder / f"{name}.log").open("ab") as log:
            # In a group of its own: Ctrl-C reaches only the launcher, which
            # takes the processes down in order.
            return subprocess.Popen(
                arguments,
                stdout=log,
                stderr=log,
                env=dict(os.environ),
                process_group=0,
            )

    def restart(self, name: str) -> Process:
        """Start a process again with the arguments and ports it had."""
        old = self.processes[name]
        popen = self._spawn(name, old.arguments)
        process = Process(name, old.arguments, popen, old.ports)
        self.processes[name] = process
        return process

    def publish(self) -> None:
        """Show the platform's instance list as it is now."""
        url = f"{self.processes['platform'].url()}/instances"
        call("POST", url, list(self.instances.values()))

    def faults(self, **faults: Any) -> None:
        """Let the platform misbehave; without arguments, behave."""
        call("POST", f"{self.processes['platform'].url()}/faults", faults)

    def wait_port(self, process: Process, use: str = "port") -> None:
        """Wait until a process listens."""
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            if process.popen.poll() is not None:
                break
            with contextlib.suppress(OSError):
                socket.create_connection((HOST, process.ports[use]), 1).close()
                return
            time.sleep(0.02)
        raise RuntimeError(f"{process.name} did not start: {self.log(process)}")

    def log(self, process: Process) -> str:
        """Return the end of a process's log."""
        path = self.folder / f"{process.name}.log"
        return path.read_text("utf-8", "replace")[-3000:]

    def wait_ready(self) -> None:
        """Wait until every daemon says that it is ready."""
        for process in tuple(self.processes.values()):
            if "admin_port" in process.ports:
                self.wait_port(process, "admin_port")
                self._wait_readyz(process)

    def _wait_readyz(self, process: Process) -> None:
        end = time.monotonic() + START_TIMEOUT_S
        reply = Reply()
        while time.monotonic() < end:
            reply = call("GET", f"{process.url('admin_port')}/readyz")
            if reply.status == 200:
                return
            time.sleep(0.05)
        raise RuntimeError(
            f"{process.name} is not ready: {reply.body!r} {self.log(process)}"
        )

    def metric(self, process: Process, name: str) -> float:
        """Read a metric without labels; 0.0 when there is none."""
        reply = call("GET", f"{process.url('admin_port')}/metrics")
        for line in reply.body.decode().splitlines():
            if line.startswith(f"{name} "):
                return float(line.split()[1])
        return 0.0

    def daemons(self) -> list[Process]:
        """Return the daemons of the system."""
        return [p for p in self.processes.values() if "admin_port" in p.ports]

    def wait_revision(self, revision: int) -> None:
        """Wait until a configuration revision is in force everywhere."""
        name = "lacewingdock_configuration_revision"
        for process in self.daemons():
            wait_until(
                lambda p=process: self.metric(p, name) >= revision,  # type: ignore[misc]
                f"{process.name} has not revision {revision}",
            )

    def wait_links(self) -> None:
        """Wait until every entry has a link to every sidecar.

        A sidecar that is ready again is dialed a little later; until then an
        entry has fewer upstreams to choose from.
        """
        roles = [instance["role"] for instance in self.instances.values()]
        sidecars = roles.count("sidecar")
        for name, instance in self.instances.items():
            if instance["role"] == "entry":
                wait_until(
                    lambda n=name: (  # type: ignore[misc]
                        self.metric(self.processes[n], "lacewingdock_links")
                        >= sidecars
                    ),
                    f"{name} lacks links",
                )

    def wait_homes(self, partitions: int) -> None:
        """Wait until every claim partition has a home."""
        name = "lacewingdock_claim_partitions"
        wait_until(
            lambda: (
                sum(self.metric(p, name) for p in self.daemons()) >= partitions
            ),
            "claim partitions have no home",
        )

    def leave(self) -> None:
        """Stop the daemons gracefully, entries before sidecars."""
        for role in ("entry", "sidecar"):
            names = [n for n, i in self.instances.items() if i["role"] == role]
            for name in names:
                self.processes[name].signal(signal.SIGTERM)
            for name in names:
                self.processes[name].popen.wait(STOP_TIMEOUT_S)

    def stop(self) -> None:
        """End every process that was started here."""
        for process in reversed(self.processes.values()):
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        end = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.popen.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
