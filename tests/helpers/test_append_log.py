"""Tests of the append log."""

import base64
import json
import zlib

import pytest

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers import append_log
from lacewingdock.helpers.append_log import AppendLog
from tests.fakes import FakeStore


def key_of(row):
    return json.loads(row)[0]


def rows(*keys):
    return {key: json.dumps([key]).encode() for key in keys}


def open_log(store, first=0):
    return AppendLog(store, "logs", "a", key_of, first)


def contents(store):
    """Return all keys in the slots, decoded without the code under test."""
    slots = store.objects.get("logs", {})
    return [
        row[0]
        for name in sorted(slots)
        for row in json.loads(
            zlib.decompress(base64.b64decode(slots[name].value))
        )
    ]


def append(log, *keys, after=0):
    try:
        log.append(rows(*keys), after)
    except LacewingdockError as error:
        assert error.kind is ErrorKind.PLATFORM_UNAVAILABLE


# Guards against a row that is duplicated or missing after the answer to its
# write was lost. The write may have been applied, may have been dropped, or may
# be applied long after it was retried; the writer cannot distinguish these.
@pytest.mark.parametrize("fate", ["lost", "dropped", "late"])
@pytest.mark.parametrize("arrives", ["before", "after", "never"])
def test_unacknowledged_write_is_applied_once(fate, arrives):
    store = FakeStore()
    log = open_log(store)
    store.write_outcomes.append(fate)
    append(log, "x", "y")
    if arrives == "before" and store.late:
        store.apply_late_write()
    append(log, "x", "y", "z")
    if arrives == "after" and store.late:
        store.apply_late_write()
    append(log, "z", "w")
    assert sorted(contents(store)) == ["w", "x", "y", "z"]


# Guards against duplicate rows after a writer was suspended. It is suspended
# before its write, another writer takes over its rows and writes them, and the
# first resumes without knowing that it was replaced.
def test_suspended_writer_adds_no_duplicates():
    store = FakeStore()
    frozen, other = open_log(store), open_log(store)
    append(frozen, "a")
    append(other, "a", "b")
    append(frozen, "b", "c")
    append(other, "c")
    assert contents(store) == ["a", "b", "c"]


# Guards against a duplicate of a row that is sent again long after it was
# written, because the acknowledgement was lost. By then the writer has evicted
# the row's key to bound its memory.
def test_evicted_slots_are_read_again(monkeypatch):
    monkeypatch.setattr(append_log, "REMEMBERED_SLOTS", 2)
    store = FakeStore()
    log = open_log(store)
    for number in range(10):
        append(log, str(number), after=number)
        log.evict_old_keys()
    assert len(log.slot_by_key) == 2
    append(log, "1", "new", after=1)
    assert contents(store) == [*map(str, range(10)), "new"]


def test_slots_stay_under_the_platforms_limit(monkeypatch):
    monkeypatch.setattr(append_log, "MAX_SLOT_BYTES", 100)
    store = FakeStore()
    keys = [f"key-{number:03d}" for number in range(50)]
    append(open_log(store), *keys)
    assert contents(store) == keys
    assert len(store.objects["logs"]) > 4
