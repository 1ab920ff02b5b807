"""Tests that each word of upstreams' answers has somebody who acts on it.

Words that were decoded or passed on, and that nobody acted on, have each cost a
broken promise; no day that is played brings a word that nobody listed.
"""

import dataclasses
import re
from pathlib import Path

import pytest

from lacewingdock.platform import wire
from lacewingdock.world.call import ResponseHead

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "lacewingdock"
TEXT = (ROOT / "docs/platform-words.md").read_text()
ANSWERS = TEXT.partition("## Answers of upstreams")[2].partition("\n## ")[0]
ROWS = [
    [cell.strip() for cell in line.strip("|").split("|")]
    for line in ANSWERS.splitlines()
    if line.startswith("| ") and "---" not in line
][1:]
# What makes up every answer, and asks for nothing.
PLAIN = {"cache-control", "content-length", "content-type", "date", "server"}
KNOWN = {name.decode() for name in wire._KNOWN_OF_ANSWER}
FIELDS = [one.name for one in dataclasses.fields(ResponseHead)]
READERS = "\n".join(
    path.read_text()
    for path in (PACKAGE / "components").rglob("*.py")
    if "head" in path.read_text()
)


@pytest.mark.parametrize("name", sorted(KNOWN - PLAIN))
def test_each_header_that_counts_as_known_has_a_row(name):
    """Guards against: a header that is listed as known, and never weighed."""
    assert any(
        name in words.lower().replace("event ids", "last-event-id")
        for words, *_ in ROWS
    )


@pytest.mark.parametrize("field", FIELDS)
def test_each_field_that_is_decoded_has_a_reader(field):
    """Guards against: a word that is decoded and acted on by nobody."""
    assert re.search(rf"\bhead\.{field}\b", READERS)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row[0])
def test_each_row_says_who_acts_or_why_nobody_does(row):
    """Guards against: a row whose reader is gone, or was never there."""
    _, _, acts = row
    paths = re.findall(r"`([\w/]+(?:/|\.py))`", acts)
    for path in paths:
        assert any(
            (base / path).exists()
            for base in (PACKAGE, PACKAGE / "components", PACKAGE / "platform")
        ), path
    assert paths or "left unread: " in acts or "it ran" in acts
    # What is left unread has no field of its own.
    if "left unread" in acts:
        assert not re.search(r"wire\.\w+` \(", row[1])
