"""Tests that some code acts on each documented header of upstreams' answers.

Headers that were decoded or forwarded but not acted on have led to broken
guarantees each time, and simulated days contain only headers that are listed
already.
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
# Ordinary headers of any answer, which ask for no action.
ORDINARY = {"cache-control", "content-length", "content-type", "date", "server"}
KNOWN = {name.decode() for name in wire._KNOWN_ANSWER_HEADERS}
FIELDS = [one.name for one in dataclasses.fields(ResponseHead)]
READERS = "\n".join(
    path.read_text()
    for path in (PACKAGE / "components").rglob("*.py")
    if "head" in path.read_text()
)


@pytest.mark.parametrize("name", sorted(KNOWN - ORDINARY))
def test_each_known_header_has_a_row(name):
    """Guards against a header that is listed as known but not considered."""
    assert any(
        name in words.lower().replace("event ids", "last-event-id")
        for words, *_ in ROWS
    )


@pytest.mark.parametrize("field", FIELDS)
def test_each_decoded_field_has_a_reader(field):
    """Guards against a field that is decoded but never read."""
    assert re.search(rf"\bhead\.{field}\b", READERS)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row[0])
def test_each_row_names_a_reader_or_a_reason(row):
    """Guards against a row that names a module that does not exist."""
    _, _, acts = row
    paths = re.findall(r"`([\w/]+(?:/|\.py))`", acts)
    for path in paths:
        assert any(
            (base / path).exists()
            for base in (PACKAGE, PACKAGE / "components", PACKAGE / "platform")
        ), path
    assert paths or "left unread: " in acts or "it ran" in acts
    # A header that is left unread must not have a field.
    if "left unread" in acts:
        assert not re.search(r"wire\.\w+` \(", row[1])
