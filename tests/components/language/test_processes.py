"""Tests of the language through an entry's operators' port."""

import pytest

from bench.deployment import Deployment, Shape, wait_until
from bench.example import apply_example
from bench.http import call
from lacewingdock.components.language.client import Client
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.links.messages import Order
from tests.common import chat, send_order_as_entry


@pytest.fixture(scope="module")
def deployment():
    with Deployment(Shape()) as running:
        apply_example(running)
        yield running


def client(deployment, role):
    entry = deployment.processes["entry-0"].url("admin_port")
    return Client(entry, f"carpato-{role}-demo-key")


@pytest.mark.parametrize(
    ("role", "line", "code"),
    [
        ("nobody", "show versions", "unauthorized"),
        ("viewer", "withdraw drafter-1", "permission_denied"),
        ("operator", "stop worker-0", "permission_denied"),
        ("admin", "stop worker-9", "not_found"),
        ("viewer", "show versions whre x = 1", "bad_command"),
        ("viewer", "explain route retail nothing", "unknown_model"),
    ],
)
def test_refusals(deployment, role, line, code):
    with pytest.raises(LacewingdockError) as caught:
        client(deployment, role).ask(line)
    assert caught.value.kind == code


def test_withdrawal_reaches_callers_and_outages_leave_local_answers(
    deployment,
):
    """An operator asks and orders before, in and after an outage.

    Symptom: operators are blind while the platform is down.
    Events: the platform goes down; an operator asks and orders.
    Cause: answers that all come from the platform.
    """
    viewer, operator = (client(deployment, r) for r in ("viewer", "operator"))
    rows = viewer.ask("explain route retail drafter")["rows"]
    assert [(r["version"], r["verdict"]) for r in rows] == [
        ("drafter-1", "taken")
    ]
    assert "would do" in operator.ask("withdraw drafter-1 dry run")["message"]
    assert chat(deployment, "x").status == 200
    deployment.faults(down=True)
    names = viewer.ask("show upstreams where linked = true order by name")
    assert [r["name"] for r in names["rows"]] == [
        "booking-sidecar-0",
        "worker-0",
    ]
    with pytest.raises(LacewingdockError) as caught:
        operator.ask("withdraw drafter-1", "c-1")
    assert caught.value.kind == "platform_unavailable"
    deployment.faults()
    assert (
        "drafter-1 is withdrawn"
        in operator.ask("withdraw drafter-1", "c-1")["message"]
    )
    wait_until(
        lambda: chat(deployment, "x").status == 409, "still takes new work"
    )
    trail = viewer.ask("show commands")["rows"]
    assert [(r["id"], r["operator"], r["state"]) for r in trail] == [
        ("c-1", "bogdan", "done")
    ]
    operator.ask("offer drafter-1")


def test_a_stop_is_graceful_and_means_one_process(deployment):
    """An admin stops a worker's sidecar; sending it again stops no other."""
    admin = client(deployment, "admin")
    admin.ask("stop worker-0", "s-1")
    process = deployment.processes["worker-0"]
    assert process.popen.wait(30) == 0
    deployment.wait_port(deployment.restart("worker-0"), "link_port")
    admin.ask("stop worker-0", "s-1")
    # And one that was under way meets the process that replaced it.
    late = Order("o1", "stop", incarnation="of-the-one-before")
    answer = send_order_as_entry(deployment, process, late)
    assert answer.code == "conflict"
    url = deployment.processes["worker-0"].url("admin_port")
    wait_until(
        lambda: call("GET", f"{url}/readyz").status == 200,
        "the process that replaced it was stopped",
    )
