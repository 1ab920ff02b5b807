"""Tests for planned stops, kills and a platform's list that lags."""

import signal
import subprocess
import threading
import time

import pytest

from bench.balancer import Balancer
from bench.deployment import Deployment, Shape, wait_until
from bench.example import RETAIL_KEY, apply_example
from bench.http import call
from bench.load import Load
from bench.stream import Stream

TOKENS = 60
LAG_S = 0.3


@pytest.fixture(scope="module")
def deployment():
    shape = Shape(
        entries=2,
        workers=2,
        token_s=0.008,
        lag_s=LAG_S,
        sidecar_flags=["--resume_s=4"],
    )
    with Deployment(shape) as running:
        apply_example(running)
        yield running
        # Their stop would wait for answers that a test never fetched.
        for index in (0, 1):
            running.processes[f"worker-{index}"].kill()


@pytest.fixture(autouse=True)
def restored(deployment):
    """Start again what a test ended and list all as live."""
    yield
    for index in (0, 1):
        engine = deployment.processes[f"engine-{index}"]
        call("POST", f"{engine.url()}/control", {"leaving": False})
    for name, process in tuple(deployment.processes.items()):
        if process.popen.poll() is not None:
            deployment.restart(name)
    for instance in deployment.instances.values():
        instance["state"] = "live"
    deployment.publish()
    deployment.wait_ready()
    deployment.wait_links()
    time.sleep(LAG_S)


def served(deployment, index):
    engine = deployment.processes[f"engine-{index}"]
    return sum(call("GET", f"{engine.url()}/status").json()["served"].values())


def under_load(deployment, act, seconds=2.0):
    """Run a load, act in its middle, and return what callers got."""
    with Balancer(deployment, ["entry-0", "entry-1"]) as balancer:
        load = Load(
            balancer.entries,
            RETAIL_KEY,
            rate=30,
            seconds=seconds,
            tokens=TOKENS,
            kinds=["chat"],
        )
        task = threading.Thread(target=load.run)
        task.start()
        wait_until(lambda: len(load.outcomes) >= 10, "no load")
        act()
        task.join()
    return load.outcomes


@pytest.mark.parametrize("name", ["entry-0", "worker-0"])
def test_planned_stop_cuts_nothing(deployment, name):
    """Symptom: callers get errors or half answers at a replacement.

    Sequence: SIGTERM under load. Cause: it ended, or closed a port or link,
    with work in flight or on its way.
    """
    status = []
    outcomes = under_load(
        deployment, lambda: status.append(deployment.processes[name].stop())
    )
    assert [o for o in outcomes if not o.whole] == []
    assert status == [0]


def by_list(deployment):
    deployment.instances["worker-0"]["state"] = "leaving"
    deployment.publish()


def by_engine(deployment):
    engine = deployment.processes["engine-0"]
    call("POST", f"{engine.url()}/control", {"leaving": True})


@pytest.mark.parametrize(
    ("announce", "seconds"), [(by_list, 5.0), (by_engine, 3.0)]
)
def test_leaving_upstream_gets_no_new_work(deployment, announce, seconds):
    """Symptom: an upstream that leaves is given requests until it is gone.

    Sequence: the platform's list says so, late, or the engine itself does;
    streams go on meanwhile. Cause: only the sidecar's own stop was looked at.
    """
    counts = []

    def is_passed_over():
        """Tell whether a run of requests all went to the other engine."""
        before = served(deployment, 0)
        other = served(deployment, 1)
        wait_until(lambda: served(deployment, 1) >= other + 20, "no load")
        counts.append(served(deployment, 0))
        return before == counts[-1]

    def act():
        announce(deployment)
        wait_until(is_passed_over, "still gets new work")

    outcomes = under_load(deployment, act, seconds)
    assert [o for o in outcomes if not o.whole] == []
    assert served(deployment, 0) == counts[-1]


def test_killed_sidecar_is_known_dead(deployment):
    """Symptom: requests go to a dead sidecar as long as it is listed.

    Sequence: a sidecar is killed under load; the list goes on showing it.
    Cause: the list lags and is wrong; only the link tells.
    """
    killed = []

    def act():
        deployment.processes["worker-0"].kill()
        killed.append(time.monotonic())

    outcomes = under_load(deployment, act)
    failed = [o for o in outcomes if not o.whole]
    assert [o for o in failed if o.started > killed[0]] == []
    # Those cut in mid-stream began to stream and were told.
    assert [o for o in failed if o.first_s is None] == []


def test_stop_ends_within_its_grace(deployment):
    """Symptom: a stop hangs on a long answer, or cuts it without a word.

    Sequence: SIGTERM with a stream that outlasts the grace time. Cause: a
    stop without a bound, or an end that nobody is told of.
    """
    name = "entry-0"
    process = deployment.processes[name]
    short = [*process.arguments, "--grace_s=1"]
    process.stop()
    process.arguments = short
    process = deployment.restart(name)
    deployment.wait_ready()
    deployment.wait_links()
    stream = Stream(process.url(), RETAIL_KEY, "long draft", 1000)
    stream.wait_parts(5)
    process.signal(signal.SIGTERM)
    stream.join()
    status = process.popen.wait(5)
    short.remove("--grace_s=1")
    assert (stream.error()["code"], stream.error()["ran"]) == ("leaving", "yes")
    assert status == 1
    assert '"requests_left":1' in deployment.log(process)


def test_stop_waits_for_an_answer_not_fetched(deployment):
    """Symptom: a caller that comes back finds its answer gone.

    Sequence: its entry is killed, its sidecar stopped as planned while the
    answer goes on; the caller comes back to another entry. Cause: the sidecar
    ended as soon as nothing ran.
    """
    entries = [deployment.processes[f"entry-{i}"] for i in (0, 1)]
    headers = {"Idempotency-Key": "fetch-later"}
    first = Stream(entries[0].url(), RETAIL_KEY, "later", 100, headers=headers)
    first.wait_parts(5)
    entries[0].kill()
    first.join()
    last = first.last_id()
    sidecar = deployment.processes[last.split("/")[0]]
    sidecar.signal(signal.SIGTERM)
    engine = deployment.processes[sidecar.name.replace("worker", "engine")]
    wait_until(
        lambda: call("GET", f"{engine.url()}/status").json()["running"] == 0,
        "runs on",
    )
    with pytest.raises(subprocess.TimeoutExpired):
        sidecar.popen.wait(1.0)
    headers["Last-Event-ID"] = last
    rest = Stream(entries[1].url(), RETAIL_KEY, "later", 100, headers=headers)
    rest.join()
    assert rest.is_done()
    assert sidecar.popen.wait(10) == 0
