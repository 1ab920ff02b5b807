"""Tests of judging roll-outs with real processes and late ratings."""

import itertools
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.deployment import Deployment, Shape, wait_until
from bench.example import apply_example
from lacewingdock.components.language.client import Client
from lacewingdock.components.rollouts.record import decode_rollout
from lacewingdock.const import COLLECTION_EXPOSURE, COLLECTION_ROLLOUTS
from lacewingdock.platform.store import ObjectStore
from tests.common import chat

CALLERS = 6
ROUND = 50
TIMEOUT_S = 60.0
VERSIONS = {"planner": "planner-2", "drafter": "drafter-2"}


@pytest.fixture(scope="module")
def deployment():
    shape = Shape(
        entries=2,
        workers=2,
        booking_workers=1,
        versions=["drafter-1", "drafter-2", "planner-1", "planner-2"],
        weak=["planner-2"],
        token_s=0.001,
        first_s=0.005,
    )
    with Deployment(shape) as running:
        apply_example(running)
        store = ObjectStore(running.processes["platform"].url())
        version = {"model": "planner", "state": "offered"}
        store.put("config", "version/planner-2", version, 0, "t")
        retail = store.get("config", "workspace/retail", "t")
        retail.value["versions"].append("planner-2")
        store.put("config", retail.name, retail.value, retail.revision, "t")
        yield running


def test_ratings_decide_a_rollout(deployment):
    """Guards against a version that answers without errors, and badly.

    Of two new versions one answers worse than the old one. Half of the sessions
    get each version, and ratings arrive late, some at each entry.
    """
    store = ObjectStore(deployment.processes["platform"].url())
    admin = Client(
        deployment.processes["entry-0"].url("admin_port"),
        "carpato-operator-demo-key",
    )
    for version in VERSIONS.values():
        admin.ask(f"roll out {version} steps 0.5, 0.9 every 1 evidence 60")

    def record(model):
        return decode_rollout(store.get(COLLECTION_ROLLOUTS, model, "t"))

    def one(index):
        model = list(VERSIONS)[index // 2 % 2]
        prompt, entry = f"hard {index}", f"entry-{index % 2}"
        return chat(deployment, prompt, model, tokens=3, entry=entry).status

    ids = {record(model).id for model in VERSIONS}
    numbers = itertools.count()
    writers = set()
    with ThreadPoolExecutor(CALLERS) as callers:

        def ended():
            asked = list(itertools.islice(numbers, ROUND))
            assert set(callers.map(one, asked)) == {200}
            listing = store.list_all(COLLECTION_EXPOSURE, "t")
            writers.update(o.name for o in listing.objects)
            return not any(record(model).active for model in VERSIONS)

        wait_until(ended, "the roll-outs go on", TIMEOUT_S)
    assert record("drafter").state == "done"
    found = record("planner")
    assert (found.state, found.by) == ("returned", "controller")
    assert "ratings" in found.reason
    known = store.get("config", "version/planner-2", "t")
    assert known.value["state"] == "withdrawn"
    # Both entries published evidence on each roll-out.
    assert len(writers) == 4
    assert {name.split("/")[0] for name in writers} == ids
    wait_until(
        lambda: (
            not any(
                o.value
                for o in store.list_all(COLLECTION_EXPOSURE, "t").objects
            )
        ),
        "evidence of ended roll-outs stays",
    )
