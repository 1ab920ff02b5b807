"""Tests that the docs say what the code does."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

from lacewingdock.cli import Commands
from lacewingdock.helpers.command import command_table
from lacewingdock.helpers.reference import DOCS, fill, tables
from lacewingdock.helpers.source_tables import constant_table
from lacewingdock.platform import profile

ROOT = Path(__file__).parents[1]
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / DOCS).rglob("*.md")])
LINK = re.compile(r"\[[^\]]+\]\(([^)#]+)(?:#[^)]*)?\)")
# A file of the repository, as the docs name them.
NAMED = re.compile(
    r"`((?:tests|lacewingdock|examples|bench|standins|script)/[\w./-]+)`"
)
COMMAND = re.compile(r"(?:^|[\s`])lacewingdock ([a-z]+)\b(?! is| of| has)")
MACHINE = re.compile(
    r"(?:^|[\s`(\"'])/(?:home|root|work|tmp|usr|opt|var|mnt|srv)/"
)


def page_id(page):
    return str(page.relative_to(ROOT))


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_page(page):
    text = page.read_text("utf-8")
    for link in LINK.findall(text):
        if "://" not in link:
            assert (page.parent / link).exists(), f"no {link}"
    for name in NAMED.findall(text):
        assert (ROOT / name).exists(), f"no {name}"
    commands = command_table(Commands)
    for block in re.findall(r"(?:^|\n)(?: {4}.*\n?)+|`[^`\n]+`", text):
        for command in COMMAND.findall(block):
            assert command in commands, f"no command {command}"
    assert not MACHINE.search(text), "a path of some machine"


def test_every_command_is_in_the_readme():
    text = (ROOT / "README.md").read_text("utf-8")
    for command in command_table(Commands):
        assert re.search(rf"lacewingdock.*\b{command}\b", text), command


@pytest.mark.parametrize("name", sorted(tables()))
def test_tables_match_the_code(name):
    # If this fails: .venv/bin/python -m lacewingdock.helpers.reference
    page = (ROOT / DOCS / name).read_text("utf-8")
    assert fill(page, tables()[name]) == page


def test_every_constant_says_what_it_is_for():
    rows = constant_table().splitlines()[2:]
    assert len(rows) > 50
    assert [row for row in rows if row.endswith("|  |")] == []


def test_every_key_that_is_read_of_the_platforms_file_is_told():
    text = (ROOT / DOCS / "configuration.md").read_text("utf-8")
    parts = {"bounds": profile._Bounds, "limits": profile._Limits}
    parts |= {"listen": profile._Listen, "platform": profile._Platform}
    keys = [
        f"{part}.{name}"
        for part, cls in parts.items()
        for name in cls.__struct_fields__
    ]
    keys += [n for n in profile._RouterFile.__struct_fields__ if n not in parts]
    assert [key for key in keys if f"`{key}`" not in text] == []


def test_every_metric_of_the_daemons_is_in_the_operators_page():
    page = (ROOT / DOCS / "operators" / "reports.md").read_text("utf-8")
    source = "".join(
        path.read_text("utf-8")
        for path in (ROOT / "lacewingdock/components/metrics").glob("*.py")
    )
    names = re.findall(r'\{PREFIX\}(\w+)"', source)
    names += re.findall(r'gauge\(\s*daemon,\s*"(\w+)"', source)
    assert len(names) > 10
    for name in names:
        assert f"lacewingdock_{name}" in page, name


@pytest.mark.parametrize(
    ("example", "said"),
    [
        ("spread_work", ["spans: 4 to 4", "order: shopper, nightly", "ran no"]),
        ("shared_table", ["a, thawed: conflict", "complete up to 3"]),
    ],
)
def test_examples_of_the_library_run(example, said):
    done = subprocess.run(
        [sys.executable, "-m", f"examples.{example}"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=True,
        timeout=30,
    )
    for text in said:
        assert text in done.stdout
