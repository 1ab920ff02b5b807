"""End-to-end tests of budgets with real processes."""

import pytest

from bench.deployment import Deployment, Shape
from bench.example import apply, apply_example, read_example
from tests.common import chat

# A hard request reads one token and generates eight on each of its steps.
COST = (0.1 + 8 * 0.3 + 1.0 + 8 * 3.0) / 1000
BUDGET = 0.2


@pytest.fixture(scope="module")
def deployment():
    with Deployment(Shape(entries=2)) as running:
        apply_example(running)
        yield running


def set_budget(deployment, at_limit, budget):
    manifest = read_example()
    key = "workspace/retail"
    limit = {"at_limit": at_limit, "budget": budget}
    manifest[key] = {**manifest[key], **limit}
    deployment.wait_revision(apply(deployment, manifest))


# Guards against a workspace that exceeds its budget through several entries, as
# happens if each entry counts on its own, and against a refusal at the limit
# without a retry time. Requests alternate between two entries until the
# allowances of both are used up.
@pytest.mark.parametrize(
    ("at_limit", "status", "version"),
    [
        ("refuse", 429, None),
        ("cheapest", 200, "drafter-1"),
        ("alert", 200, "planner-1"),
    ],
)
def test_at_the_limit(deployment, at_limit, status, version):
    set_budget(deployment, at_limit, BUDGET)
    replies = [
        chat(deployment, "hard", "route-day", entry=f"entry-{n % 2}")
        for n in range(12)
    ]
    last = replies[-1]
    assert last.status == status, last.body
    assert last.headers.get("lacewingdock-version") == version
    if status == 429:
        problem = last.json()
        assert (problem["code"], problem["ran"]) == ("budget_exhausted", "no")
        assert 0 < int(last.headers["retry-after"]) <= 86_400
        served = sum(r.status == 200 for r in replies)
        assert 0 < served * COST <= BUDGET
