"""Tests of what the package's modules import."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1] / "lacewingdock"
# What takes a revision of the store apart, or is the store's own count.
COUNTS = re.compile(
    r"\b(count_of|revision_of|COUNT_BITS|MAX_COUNT|current_rev)\b"
)

# For manifests, the operators' statements, reports and the laboratory. fire
# stays: it reads the daemons' own flags.
HEAVY = {
    "lark",
    "matplotlib",
    "numpy",
    "pydantic",
    "scipy",
    "simpy",
    "yaml",
}


@pytest.mark.parametrize("role", ["entry", "sidecar"])
def test_daemons_import_nothing_heavy(role):
    """Symptom: an idle daemon is past its memory budget.

    Events: a module that a daemon imports gets an import that only other
    commands need. Cause: nothing showed it.
    """
    code = f"import sys, lacewingdock.cli, lacewingdock.daemons.{role};"
    code += "print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert not HEAVY & set(done.stdout.split())


def test_the_stores_own_count_is_known_to_its_client_alone():
    """Symptom: after the store's return from a copy a router is deaf.

    Cause: a count was compared without its era. What is beyond the client has
    both in one number, and nothing there to compare a count with.
    """
    found = [
        path.relative_to(PACKAGE)
        for path in PACKAGE.rglob("*.py")
        if path.parent != PACKAGE / "platform"
        and COUNTS.search(path.read_text())
    ]
    assert found == []
