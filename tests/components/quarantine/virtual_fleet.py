"""Simulation of entries and sidecars in virtual time, with process pauses.

The code between a caller's request and the upstream is real: links and their
frames, membership, answers, retries, the gate, slots and evidence. Sockets,
engines, waiting and the clock are replaced. A paused process runs no task; data
sent to it is buffered, and its connections stay open.
"""

import itertools
import queue
import random
import select
import threading
import time
from types import SimpleNamespace

import prometheus_client

from lacewingdock.components import answers as answers_module
from lacewingdock.components import membership as membership_module
from lacewingdock.components import quarantine as quarantine_module
from lacewingdock.components import runs as runs_module
from lacewingdock.components.admission import slots as slots_module
from lacewingdock.components.answers import answer as answer_module
from lacewingdock.components.callers.relay import Relay
from lacewingdock.components.peers import Peers
from lacewingdock.components.quarantine import crash_detector as detector_module
from lacewingdock.components.quarantine import (
    loss_publisher as publisher_module,
)
from lacewingdock.components.quarantine.loss_resolver import LossResolver
from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import LacewingdockError, UpstreamLost
from lacewingdock.helpers import clock as clock_module
from lacewingdock.helpers.clock import stamp_ms
from lacewingdock.links import link as link_module
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Attempt, Finish, Hello
from lacewingdock.settings import SidecarSettings
from lacewingdock.world import run as run_module
from lacewingdock.world import upstream as upstream_module
from lacewingdock.world.objects import Instance
from tests.components.quarantine.pausable_time import (
    STEP_S,
    FakePoll,
    FakeSocket,
    FleetCondition,
    FleetEvent,
    FleetQueue,
    FleetTime,
    Pipe,
    Process,
)

TARGET = "drafter-1"
HANDSHAKE_S = 2.0
CRASHING = b"crash"


class Links(dict):
    """A set of links in insertion order."""

    def add(self, link):
        """Add a link."""
        self[link] = None

    def discard(self, link):
        """Remove a link."""
        self.pop(link, None)


class FleetPeers(Peers):
    """The links of one process."""

    __slots__ = ("fleet",)

    def __init__(self, fleet, daemon):
        self.fleet, self.daemon = fleet, daemon
        self.links, self.handlers = Links(), {}
        self.on_open, self.on_close = [], []
        self.beat = link_module.Beat
        self.closed_traffic = link_module.Traffic()

    def dial_and_read(self, address):
        """Open a link to a sidecar and read it until it closes."""
        vt = self.fleet.vt
        other = self.fleet.sidecars[int(address.rpartition(":")[2]) - 1]
        # The kernel accepts the connection even if the process is paused.
        if not vt.poll(
            lambda: other.process.resumes_at(vt.time) <= vt.time, HANDSHAKE_S
        ):
            raise TimeoutError
        there, back = Pipe(), Pipe()
        near = Link(FakeSocket(vt, back, there), other.daemon.me)
        far = Link(FakeSocket(vt, there, back), self.daemon.me)
        far.delay.record_stamp(stamp_ms())
        vt.start_in(other.process, other.peers.read, far)
        self.read(near)

    def read(self, link):
        """Read a link until it closes."""
        self._register_link(link)
        self._dispatch_messages(link)


class FleetDaemon:
    """The part of a daemon that components use."""

    def __init__(self, fleet, process, role, number):
        self.fleet, self.process = fleet, process
        self.me = Hello(process.name, f"i-{number}", role, "hall", b"")
        self.metrics = prometheus_client.CollectorRegistry()
        self.random = random.Random(number)
        self.stopping = FleetEvent(fleet.vt)
        self.leaving = FleetEvent(fleet.vt)
        self.settings = None

    def add(self, *_):
        """Ignore a component."""

    def spawn(self, function, *args):
        """Start a task of the process."""
        self.fleet.vt.start_in(self.process, function, *args)

    def every(self, interval_s, function):
        """Run a function at an interval."""

        def rounds():
            while True:
                self.fleet.vt.sleep(interval_s)
                function()

        self.spawn(rounds)


class Engine:
    """An upstream that a crashing request terminates.

    Attributes:
        starts: Number of starts.
        alive: Whether the engine runs.
        crashed: Whether the engine ever crashed.
    """

    def __init__(self):
        self.starts, self.alive, self.crashed = 1, True, False

    def crash(self):
        """Terminate the engine."""
        self.alive, self.crashed = False, True

    def probe(self):
        """Return the incarnation; None when nothing listens."""
        return str(self.starts) if self.alive else None


class Sidecar:
    """A sidecar and its engine."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.process = Process(f"worker-{number}")
        self.engine = Engine()
        self.daemon = FleetDaemon(fleet, self.process, "sidecar", number)
        self.peers = FleetPeers(fleet, self.daemon)
        configuration = fleet.configuration
        self.quarantine = quarantine_module.Quarantine(
            self.daemon, self.peers, configuration
        )
        settings = SidecarSettings(
            instance=self.process.name,
            failure_domain="hall",
            platform="http://127.0.0.1:1",
            upstream=f"http://127.0.0.1:{number + 1}",
        )
        self.runs = runs_module.Runs(
            self.daemon,
            settings,
            self.peers,
            configuration,
            None,
            self.quarantine,
            SimpleNamespace(on_end=lambda *_: None, check_room=lambda: None),
        )
        self.runs.crashes.probe = self.engine.probe
        # The default clock was bound before the clock was replaced.
        self.runs.run_store.clock = fleet.vt.now
        self.runs.targets = [TARGET]
        self.daemon.every(0.2, self.peers.send_beats)
        self.daemon.every(1.0, self.runs.run_store.sweep)
        self.daemon.every(1.0, self.poll)

    def poll(self):
        """Poll the engine's state as the sidecar does."""
        if self.engine.alive:
            self.runs.crashes.observe_incarnation(self.engine.probe())
            self.runs.set_targets([TARGET])


class Entry:
    """An entry with the components that route requests."""

    def __init__(self, fleet, number):
        self.process = Process(f"entry-{number}")
        self.daemon = FleetDaemon(fleet, self.process, "entry", 100 + number)
        self.peers = FleetPeers(fleet, self.daemon)
        self.members = membership_module.Membership(
            self.daemon, self.peers, fleet.configuration, 24
        )
        answers = answers_module.Answers(self.daemon, self.peers, self.members)
        self.quarantine = quarantine_module.Quarantine(
            self.daemon, self.peers, fleet.configuration
        )
        self.relay = Relay(
            answers, self.members, self.quarantine, self.daemon.random
        )
        loss_resolver = LossResolver(self.peers, self.members, self.quarantine)
        self.daemon.every(0.2, self.peers.send_beats)
        loss_resolver.start(self.daemon)


class Fleet:
    """A fleet of entries and sidecars.

    Attributes:
        vt: The virtual time.
        crash_after_s: Seconds that a crashing request runs.
        restart_s: Seconds until a crashed engine restarts; None for never.
        started_requests: Ids of requests that an engine started.
        replies: By request: None for an answer, error kind and `ran` for a
            refusal, "waits" until then.
    """

    def __init__(
        self, monkeypatch, workers, entries, crash_after_s, restart_s=None
    ):
        self.vt = FleetTime()
        self._replace(monkeypatch)
        self.crash_after_s = crash_after_s
        self.restart_s = restart_s
        self.started_requests = set()
        self.replies = {}
        self.configuration = SimpleNamespace(
            loaded=SimpleNamespace(is_set=lambda: True),
            revision=0,
            entries=[],
            world=SimpleNamespace(
                quarantines={},
                workspaces={"retail": SimpleNamespace(versions=[TARGET])},
                offered=lambda _: True,
            ),
        )
        self.sidecars = [Sidecar(self, number) for number in range(workers)]
        self.entries = [Entry(self, number) for number in range(entries)]
        listed = [
            Instance(
                name=sidecar.process.name,
                role="sidecar",
                failure_domain="hall",
                address=f"127.0.0.1:{sidecar.number + 1}",
                pool="engines",
            )
            for sidecar in self.sidecars
        ]
        for entry in self.entries:
            entry.daemon.spawn(entry.members.take, listed)

    def _replace(self, monkeypatch):
        """Replace the clock, sockets, queues and synchronisation primitives."""
        vt = self.vt
        monkeypatch.setattr(time, "monotonic", vt.now)
        monkeypatch.setattr(time, "sleep", vt.sleep)
        waiting = SimpleNamespace(
            Event=lambda: FleetEvent(vt),
            Condition=lambda lock=None: FleetCondition(vt, lock),
            Lock=threading.Lock,
        )
        for module in (
            link_module,
            membership_module,
            quarantine_module,
            run_module,
            upstream_module,
        ):
            monkeypatch.setattr(module, "threading", waiting)
        for module in (clock_module, link_module, run_module):
            monkeypatch.setattr(module, "since_boot", vt.now)
        monkeypatch.setattr("lacewingdock.links.delay.since_boot", vt.now)
        monkeypatch.setattr(
            answer_module,
            "queue",
            SimpleNamespace(
                SimpleQueue=lambda: FleetQueue(vt), Empty=queue.Empty
            ),
        )
        polls = {**vars(select), "poll": FakePoll}
        monkeypatch.setattr(link_module, "select", SimpleNamespace(**polls))
        waits = slots_module._Waiting
        monkeypatch.setattr(
            slots_module,
            "_Waiting",
            lambda *args: waits(*args, woken=FleetEvent(vt)),
        )
        numbers = itertools.count()
        for module in (
            answers_module,
            detector_module,
            publisher_module,
        ):
            monkeypatch.setattr(module, "new_id", lambda: f"n{next(numbers)}")
        monkeypatch.setattr(runs_module, "call_upstream", self._call)

    def _call(self, url, run, _deadline, **_):
        """Run a request on an engine, in a task of its sidecar."""
        number = int(url.rpartition(":")[2]) - 1
        engine = self.sidecars[number].engine
        if not engine.alive:
            raise UpstreamLost("refused", RAN_NO)
        run.executed = True
        self.started_requests.add(run.attempt.request)
        start = engine.starts
        is_crashing = CRASHING in run.attempt.body
        if is_crashing:
            # The engine continues even if its sidecar is paused.
            self.vt.start(self._crash, engine, start)
        for _ in range(4) if not is_crashing else itertools.count():
            self.vt.sleep(STEP_S)
            if not engine.alive or engine.starts != start:
                raise UpstreamLost("reset", RAN_UNKNOWN)
            if run.cancelled.is_set():
                raise LacewingdockError(
                    runs_module.ErrorKind.UPSTREAM_FAILED, "", RAN_UNKNOWN
                )
        run.add(b"{}")
        run.end(Finish(run.attempt.attempt, 0))

    def _crash(self, engine, start):
        self.vt.sleep(self.crash_after_s)
        if not engine.alive or engine.starts != start:
            return
        engine.crash()
        if self.restart_s is not None:
            self.vt.sleep(self.restart_s)
            engine.starts += 1
            engine.alive = True

    def send(self, at_s, entry, request, body):
        """Schedule a caller's request through an entry."""

        def task():
            self.vt.sleep(at_s)
            attempt = Attempt(
                f"a-{request}", request, "retail", TARGET, "POST", "/", body
            )
            self.replies[request] = "waits"
            try:
                answer, pieces = entry.relay.start(attempt)
                try:
                    entry.relay.collect(answer, pieces)
                finally:
                    entry.relay.answers.drop(answer)
                self.replies[request] = None
            except LacewingdockError as error:
                self.replies[request] = (str(error.kind), error.ran)

        entry.daemon.spawn(task)

    def crashed(self):
        """Return the names of the sidecars whose engine crashed."""
        return [s.process.name for s in self.sidecars if s.engine.crashed]

    def processes(self):
        """Return all processes, any of which may be paused."""
        return [one.process for one in [*self.sidecars, *self.entries]]
