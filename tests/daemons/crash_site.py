"""Router processes whose engines are crashed by a poison request."""

import contextlib
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from lacewingdock.exceptions import LacewingdockError
from lacewingdock.platform.object_api import ObjectApi
from tests.daemons.crash_engines import BAD, Engines
from tests.daemons.router_site import (
    Router,
    answers,
    configuration,
    free_port,
    server,
    start,
)
from tests.waiting import wait

ENGINES = 8
ROUTERS = 3
# Seconds between two copies of the bad request, and between harmless requests.
COPY_EVERY_S = 0.15
HARMLESS_EVERY_S = 0.05
# Number of different harmless requests: each is repeated after two seconds.
KINDS = 40
# Seconds after a request's third crash within which all routers hold it back.
CONTACT_S = 3.0
CRASHES = 3


@dataclass
class Outcome:
    """The results of a scenario.

    Attributes:
        ended: Engines that the bad request crashed.
        late: Crashes by copies that were sent later than the contact time
            after the third crash.
        after: Crashes by copies that were sent after the third crash.
        bad: Answers to the bad request, by status; 0 for no answer.
        harmless: Answers to harmless requests, by status; 0 for no complete
            answer.
    """

    ended: int = 0
    late: int = 0
    after: int = 0
    bad: Counter = field(default_factory=Counter)
    harmless: Counter = field(default_factory=Counter)


class CrashSite:
    """A platform, running routers, and engines.

    Attributes:
        routers: The routers, ready to serve.
        engines: The engines.
        sent: Moment at which each copy of the bad request was sent, by its id.
        outcome: The results so far.
        kinds: Number of different harmless requests.
    """

    def __init__(
        self,
        tmp_path,
        crash_mode,
        routers=ROUTERS,
        engines=ENGINES,
        gossip=False,
        kind="streaming",
    ):
        port = free_port()
        self.platform = start("standins.platform", f"--port={port}")
        self.url = f"http://127.0.0.1:{port}"
        self.api = ObjectApi(self.url)
        wait(lambda: answers(self.api))
        self.lock = threading.Lock()
        spec = configuration(3, s=kind)
        self.api.write("config", "main", spec, 0, "test")
        self.engines = Engines(engines, crash_mode, self._write, self._remove)
        self.routers = [Router(tmp_path, port, "r-0")]
        for number in range(1, routers):
            first = self.routers[0].peer
            name = f"r-{number}"
            at = {"host": f"127.0.1.{number}", "peer": first} if gossip else {}
            self.routers.append(Router(tmp_path, port, name, first, **at))
        self.sent = {}
        self.outcome = Outcome()
        self.kinds = KINDS
        try:
            for router in self.routers:
                router.start()
            wait(lambda: all(router.is_ready() for router in self.routers))
        except BaseException:
            # No caller has a reference yet, so the processes would run on.
            self.close()
            raise

    def run_bad_requests(self, seconds):
        """Send bad and harmless requests side by side; return the results."""
        return self._run_callers(
            lambda: time.sleep(seconds), [self.send_bad_request]
        )

    def disturb(self, times, every_s, action):
        """Repeat an action while only harmless requests are sent."""

        def disturb():
            for _ in range(times):
                action()
                time.sleep(every_s)

        return self._run_callers(disturb, [])

    def _run_callers(self, meanwhile, others):
        stop = threading.Event()
        rates = {self.send_harmless: HARMLESS_EVERY_S}
        rates |= dict.fromkeys(others, COPY_EVERY_S)
        tasks = [
            threading.Thread(target=self._send, args=(stop, every_s, ask))
            for ask, every_s in rates.items()
        ]
        for task in tasks:
            task.start()
        meanwhile()
        stop.set()
        for task in tasks:
            task.join()
        return self.result()

    def result(self):
        """Return the results up to now."""
        found = self.outcome
        ended = sorted(self.engines.ended)
        found.ended = len(ended)
        if len(ended) > CRASHES:
            third = ended[CRASHES - 1][0]
            sent = [self.sent[call] for _, call in ended[CRASHES:]]
            found.after = sum(at > third for at in sent)
            found.late = sum(at > third + CONTACT_S for at in sent)
        return found

    def close(self):
        self.engines.close()
        for router in self.routers:
            router.stop()
        self.platform.kill()
        self.platform.wait()

    def ask(self, number, call_id, body, extra=""):
        """Send a request; return its status, 0 without a complete answer."""
        router = self.routers[number % len(self.routers)]
        fields = {"call_id": call_id, "path": "/s/x", "body": body}
        fields["extra"] = extra
        with (
            contextlib.suppress(OSError, EOFError),
            router.connect() as sock,
        ):
            return router.call(sock, **fields)[0]
        return 0

    def send_bad_request(self, number):
        """Send a copy of the bad request and count its answer."""
        call_id = f"bad-{len(self.sent)}"
        self.sent[call_id] = time.monotonic()
        status = self.ask(number, call_id, BAD)
        with self.lock:
            self.outcome.bad[status] += 1

    def send_harmless(self, number):
        """Send one of the harmless requests, which repeat in turn."""
        body = b"harmless %d" % (number % self.kinds)
        status = self.ask(number, f"ok-{number}", body)
        with self.lock:
            self.outcome.harmless[status] += 1

    def _send(self, stop, every_s, ask):
        tasks = []
        number = 0
        while not stop.wait(every_s):
            task = threading.Thread(target=ask, args=(number,))
            task.start()
            tasks.append(task)
            number += 1
        for task in tasks:
            task.join(10.0)

    def _write(self, name, port):
        self.api.write("servers", name, server(port), 0, "test")

    def _remove(self, name):
        if self.engines.closed.is_set():
            return
        with contextlib.suppress(LacewingdockError):
            found = self.api.list_kind("servers", "test").objects.get(name)
            if found is not None:
                self.api.remove("servers", name, found.revision, "test")
