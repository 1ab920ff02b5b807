"""Tests for withdrawals under load, with real processes."""

import signal
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.deployment import Deployment, Shape, wait_until
from bench.example import apply, apply_example, read_example
from bench.http import call
from tests.common import chat

SHAPE = Shape(
    entries=2,
    workers=1,
    versions=["drafter-1", "drafter-2", "planner-1"],
    capacity=1,
)


@pytest.fixture
def deployment():
    with Deployment(SHAPE) as running:
        apply_example(running)
        yield running


def change(deployment, key, **fields):
    """Change fields of an example object; returns the new revision."""
    value = read_example()[key]
    return apply(deployment, {key: {**value, **fields}})


def engine(deployment, **state):
    """Set the engine's state; without arguments, return its status."""
    url = deployment.processes["engine-0"].url()
    if state:
        return call("POST", f"{url}/control", state)
    return call("GET", f"{url}/status").json()


def session_headers(reply):
    return {"Lacewingdock-Session": reply.headers["lacewingdock-session"]}


@pytest.mark.parametrize(
    ("key", "fields", "status"),
    [
        ("version/drafter-1", {"state": "withdrawn"}, 200),
        ("workspace/retail", {"versions": ["drafter-2"]}, 200),
        ("workspace/retail", {"versions": [], "models": []}, 403),
    ],
)
def test_a_queued_request_never_runs_on_what_was_withdrawn(
    deployment, key, fields, status
):
    """Guards against work for a version seconds after its withdrawal.

    The request passed the checks of the entry and the sidecar and then waited
    for a slot. The configuration that permitted it is no longer in force when
    it runs.
    """
    change(deployment, "model/drafter", shares={"drafter-1": 1, "drafter-2": 0})
    engine(deployment, first_s=2.0)
    with ThreadPoolExecutor(2) as pool:
        first = pool.submit(chat, deployment, "first")
        wait_until(lambda: engine(deployment)["running"] == 1, "not running")
        second = pool.submit(chat, deployment, "second")
        worker = deployment.processes["worker-0"]
        deployment.wait_revision(change(deployment, key, **fields))
        change(deployment, "model/drafter", shares={"drafter-2": 1.0})
        engine(deployment, first_s=0.02)
        assert first.result().status == 200
        assert second.result().status == status, second.result().body
    assert worker.popen.poll() is None
    assert engine(deployment)["served"]["drafter-1"] == 1


def test_a_session_keeps_its_version_until_it_is_withdrawn(deployment):
    """Guards against a session answered by another version.

    The session moves to another entry and sees a roll-out, new session keys
    and restarted entries. A version stored in only one of these processes
    would be lost.
    """
    reply = chat(deployment, "a plan")
    assert reply.headers["lacewingdock-version"] == "drafter-1"
    shares = {"drafter-1": 0.0, "drafter-2": 1.0}
    deployment.wait_revision(change(deployment, "model/drafter", shares=shares))
    keys = deployment.folder / "session.keys"
    keys.write_text("s2 a-new-session-key-of-the-test\n" + keys.read_text())
    reply = chat(
        deployment, "b", entry="entry-1", headers=session_headers(reply)
    )
    assert reply.headers["lacewingdock-version"] == "drafter-1"
    for name in ("entry-0", "entry-1"):
        deployment.processes[name].kill()
        deployment.restart(name)
    deployment.wait_ready()
    reply = chat(deployment, "c", headers=session_headers(reply))
    assert reply.headers["lacewingdock-version"] == "drafter-1"
    assert "lacewingdock-moved-from" not in reply.headers
    deployment.wait_revision(
        change(deployment, "version/drafter-1", state="withdrawn")
    )
    reply = chat(deployment, "d", headers=session_headers(reply))
    assert reply.headers["lacewingdock-version"] == "drafter-2"
    assert reply.headers["lacewingdock-moved-from"] == "drafter-1"


def test_an_entry_that_slept_through_a_withdrawal(deployment):
    """Guards against new work for a withdrawn version from a frozen entry.

    The entry is frozen during the withdrawal and receives no updates. Requests
    wait in its port, and when it continues it still has the old
    configuration.
    """
    assert chat(deployment, "before", entry="entry-1").status == 200
    entry = deployment.processes["entry-1"]
    entry.signal(signal.SIGSTOP)
    change(deployment, "model/drafter", shares={"drafter-2": 1.0})
    revision = change(deployment, "version/drafter-1", state="withdrawn")
    for name in ("entry-0", "worker-0"):
        process = deployment.processes[name]
        wait_until(
            lambda p=process: (
                deployment.metric(p, "lacewingdock_configuration_revision")
                >= revision
            ),
            f"{name} has not received the revision",
        )
    served = engine(deployment)["served"]["drafter-1"]
    with ThreadPoolExecutor(4) as pool:
        waiting = [
            pool.submit(chat, deployment, f"late {i}", entry="entry-1")
            for i in range(4)
        ]
        entry.signal(signal.SIGCONT)
        replies = [future.result() for future in waiting]
    assert {r.status for r in replies} == {200}, [r.body for r in replies]
    assert engine(deployment)["served"]["drafter-1"] == served
