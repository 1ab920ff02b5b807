"""Tests for the append log."""

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
    """Every key in the store's slots, decoded without the code under test."""
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


# Symptom: a row stands twice, or not at all, after the answer to its write
# went missing. Events: the write takes effect and its answer is lost; or it
# does not; or it takes effect long after it was given up and tried again.
# Cause: the writer can't tell these apart.
@pytest.mark.parametrize("fate", ["lost", "dropped", "late"])
@pytest.mark.parametrize("arrives", ["before", "after", "never"])
def test_a_write_without_answer_is_in_once(fate, arrives):
    store = FakeStore()
    log = open_log(store)
    store.fates.append(fate)
    append(log, "x", "y")
    if arrives == "before" and store.late:
        store.arrive()
    append(log, "x", "y", "z")
    if arrives == "after" and store.late:
        store.arrive()
    append(log, "z", "w")
    assert sorted(contents(store)) == ["w", "x", "y", "z"]


# Symptom: rows that a frozen writer had ready stand twice once it thaws.
# Events: a writer freezes before its write; another takes its rows over and
# writes them; the first thaws and goes on. Cause: a frozen process doesn't
# know that it was given up.
def test_a_frozen_writer_finds_what_another_wrote():
    store = FakeStore()
    frozen, other = open_log(store), open_log(store)
    append(frozen, "a")
    append(other, "a", "b")
    append(frozen, "b", "c")
    append(other, "c")
    assert contents(store) == ["a", "b", "c"]


# Symptom: a row offered again long after it was written stands twice.
# Events: the word that it is kept was lost; many slots later it is offered
# again. Cause: the writer forgets old keys to bound its memory.
def test_forgotten_slots_are_read_again(monkeypatch):
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
