"""Tests for the table of items."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.configuration.items import DELTA_BYTES, ItemTable
from lacewingdock.const import MAX_FRAME_BYTES
from lacewingdock.links.messages import Delta, Item
from lacewingdock.links.wire import encode

# Two of them don't go into one part.
LARGE = b"x" * (DELTA_BYTES * 2 // 3)
KEYS = ["version/a", "version/b", "version/c"]


def table_of(history, upto):
    """Build the table of a daemon that took every change up to a revision."""
    table = ItemTable()
    items = [Item(k, r, v) for r, (k, v) in enumerate(history, 1) if r <= upto]
    table.join(Delta(0, upto, items))
    return table


def complete(table, history):
    """Tell whether a table has every change that it says it has."""
    for revision, (key, _) in enumerate(history[: table.upto], 1):
        if key not in table.items or table.items[key].revision < revision:
            return False
    return True


@pytest.mark.parametrize(
    ("delta", "upto", "known"),
    [
        # Late news: older than what is known.
        (Delta(0, 3, [Item("version/a", 3, b"old")]), 5, b"new"),
        # A gap: changes 6 and 7 are missing, so 8 can't be complete.
        (Delta(7, 8, [Item("version/a", 8, b"newest")]), 5, b"newest"),
        # A tombstone is newer than the item and stays.
        (Delta(5, 6, [Item("version/a", 6, b"")]), 6, b""),
        # The same news again.
        (Delta(0, 5, [Item("version/a", 5, b"other")]), 5, b"new"),
    ],
)
def test_join(delta, upto, known):
    table = ItemTable()
    table.join(Delta(0, 5, [Item("version/a", 5, b"new")]))
    table.join(delta)
    assert (table.upto, table.items["version/a"].value) == (upto, known)


def test_late_older_list_does_not_bring_a_deleted_item_back():
    """Symptom: a deleted version takes traffic again for a moment.

    A list is asked for; the item is deleted and its tombstone arrives from a
    peer; then the list's late answer, made before, still shows the item.
    Cause: without the tombstone the table knows nothing newer.
    """
    table = ItemTable()
    table.join(Delta(0, 7, [Item("version/a", 7, b"")]))
    table.join(Delta(0, 4, [Item("version/a", 4, b"{}")]))
    assert list(table.live()) == []
    assert table.upto == 7


def test_large_table_goes_in_frames_below_the_limit():
    """Symptom: a daemon that was away never catches up; its links flap.

    All that changed since is sent as one delta, which is longer than a frame
    may be; the receiver takes it for a fault and closes the link.
    """
    value = b"x" * (DELTA_BYTES // 3)
    count = MAX_FRAME_BYTES // len(value) + 3
    history = [(f"version/{i}", value) for i in range(count)]
    parts = table_of(history, count).since(0)
    assert max(len(encode(part)) for part in parts) < MAX_FRAME_BYTES / 4
    table = ItemTable()
    for part in parts:
        table.join(part)
    assert (table.upto, len(table.items)) == (count, count)


CHANGES = st.lists(
    st.tuples(st.sampled_from(KEYS), st.booleans()),
    min_size=1,
    max_size=12,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(changes=CHANGES, data=st.data())
def test_table_is_complete_to_what_it_claims(changes, data):
    """Symptom: one daemon misses a withdrawal and says that it is up to date.

    A delta goes in parts and the link breaks between them. An item that
    changed twice is only in the later part; had the earlier part claimed
    its revisions, the first change would be missing from then on.
    """
    history = [(key, LARGE if live else b"") for key, live in changes]
    table = ItemTable()
    for _ in range(data.draw(st.integers(1, 6))):
        peer = table_of(history, data.draw(st.integers(0, len(history))))
        asked = data.draw(st.integers(0, table.upto))
        parts = peer.since(asked)
        before = table.upto
        for part in parts[: data.draw(st.integers(0, len(parts)))]:
            table.join(part)
        assert table.upto >= before
        assert complete(table, history)
