"""Tests of malformed entries, which no instance wrote.

The failure: a router sends requests to an address without an instance, or lists
no instance at all. Another writer adds an entry to those of the instances, or
overwrites one of them, and the entry is used or hides the others.
"""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.sync import InstanceListener
from lacewingdock.platform.object_api import ObjectApi, Reply
from lacewingdock.platform.objects import ObjectChange, Snapshot, StoredObject
from tests.fuzz.common import fuzzed, json_values

GOOD = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "d",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "sequence": 3,
    "cold_left_ms": 0,
    "born": 1700000000000,
}
MUST = sorted(GOOD.keys() - {"born"})
WRONG = {
    "a field of another type": {**GOOD, "slots": "4"},
    "a flag for a number": {**GOOD, "sequence": True},
    "a birth that is no whole number": {**GOOD, "born": 1.5},
    "a birth in text": {**GOOD, "born": "1700000000000"},
    "another state": {**GOOD, "state": "resting"},
    "no port": {**GOOD, "address": "10.0.0.1"},
    "a port beyond all": {**GOOD, "address": "10.0.0.1:99999"},
    "a name for an address": {**GOOD, "address": "somewhere:80"},
    "text": "GOOD",
    "nothing": None,
    "a list": [GOOD],
    **{
        f"no {name}": {key: GOOD[key] for key in GOOD if key != name}
        for name in MUST
    },
}


def stored(name, spec, revision=1):
    """Return an entry as stored by the platform."""
    return StoredObject(name, revision, spec)


def listener(*objects):
    """Return a listener that was given a snapshot of some objects."""
    found = InstanceListener(Directory())
    listed = Snapshot(1, {one.name: one for one in objects})
    found.replace(listed, doubtful=False)
    return found


@pytest.mark.parametrize("doubtful", [False, True])
@pytest.mark.parametrize("spec", WRONG.values(), ids=WRONG)
def test_faulty_entry_names_nothing_and_the_others_hold(spec, doubtful):
    """In a snapshot, as a change, over a valid entry, and valid again."""
    found = listener(stored("a", spec), stored("b", GOOD), stored("c", spec))
    known = found.directory.instances
    assert set(known) == {"b"}
    found.change(ObjectChange(stored("d", spec), False), doubtful=doubtful)
    assert set(known) == {"b"}
    found.change(ObjectChange(stored("b", spec), False), doubtful=doubtful)
    assert not known
    found.change(ObjectChange(stored("b", GOOD), False), doubtful=doubtful)
    assert known["b"].open and not known["b"].lapsed
    again = {"a": stored("a", GOOD), "b": stored("b", spec)}
    found.replace(Snapshot(9, again), doubtful=doubtful)
    assert set(known) == {"a"}


def test_faulty_entry_is_logged_once(monkeypatch):
    lines = []
    monkeypatch.setattr(
        "lacewingdock.components.upstreams.sync.log.error",
        lambda *_, **fields: lines.append(fields["upstream"]),
    )
    found = listener(stored("a", None))
    for revision in range(50):
        change = ObjectChange(stored("a", None, revision), False)
        found.change(change, doubtful=False)
    assert lines == ["a"]
    found.change(ObjectChange(stored("a", GOOD), False), doubtful=False)
    found.change(ObjectChange(stored("a", None), False), doubtful=False)
    assert lines == ["a", "a"]


def test_instance_that_starts_again_is_not_faulty_because_it_was():
    found = listener(stored("a", {**GOOD, "state": "odd"}))
    change = ObjectChange(stored("a", {**GOOD, "born": 1800000000000}), False)
    found.change(change, doubtful=False)
    assert found.directory.instances["a"].entry.born == 1800000000000


entries = json_values | st.fixed_dictionaries(
    {name: st.just(GOOD[name]) | json_values for name in MUST},
    optional={"born": json_values},
)


@fuzzed
@given(st.lists(entries, max_size=5), st.booleans())
def test_any_entries_leave_the_good_one_alone(specs, first):
    odd = [stored(f"i-{n}", spec) for n, spec in enumerate(specs)]
    good = stored("good", GOOD)
    found = listener(*([good, *odd] if first else [*odd, good]))
    assert found.directory.instances["good"].open
    for one in odd:
        found.change(ObjectChange(one, False), doubtful=False)
    assert found.directory.instances["good"].open


class OneAnswer(ObjectApi):
    """A client of the store that gets the same answer to every call."""

    def __init__(self, body):
        super().__init__("http://127.0.0.1:1")
        self.body = body

    def _call(self, *_args, **_kwargs):
        return Reply(200, self.body)


def encoded(name, spec):
    """Return an object encoded as JSON."""
    metadata = b'{"name":"%s","revision":4}' % name
    return b'{"metadata":%s,"spec":%s}' % (metadata, spec)


TEXT = msgspec.json.encode(GOOD)
# Each with the names of the objects that are still listed.
UNREADABLE = {
    "no UTF-8": (encoded(b"a", b'"\xff\xfe"'), {"a", "b"}),
    "deep": (encoded(b"a", b"[" * 400 + b"]" * 400), {"a", "b"}),
    "no name": (b'{"metadata":{},"spec":{}}', {"b"}),
    "a number": (b"7", {"b"}),
    "a text": (b'"entry"', {"b"}),
}


@pytest.mark.parametrize("odd", UNREADABLE)
@pytest.mark.parametrize("first", [True, False])
def test_bytes_that_cannot_be_read_hide_no_other_object(odd, first):
    item, names = UNREADABLE[odd]
    items = [item, encoded(b"b", TEXT)]
    items = items if first else items[::-1]
    page = b'{"items":[%s],"current_rev":8}' % b",".join(items)
    found = OneAnswer(page).list_kind("servers", "test")
    assert set(found.objects) == names
    assert found.objects["b"].spec == GOOD
    events = b",".join(b'{"object":%s}' % one for one in items)
    changes = OneAnswer(b'{"events":[%s],"current_rev":9}' % events).watch_kind(
        "servers", 8, 0.0, "test"
    )
    assert {one.object.name for one in changes.changes} == names
    applied = InstanceListener(Directory())
    applied.replace(found, doubtful=False)
    for change in changes.changes:
        applied.change(change, doubtful=False)
    assert set(applied.directory.instances) == {"b"}


def test_page_of_unreadable_objects_is_the_last_one():
    page = b'{"items":[7,8],"current_rev":8,"has_more":true}'
    assert not OneAnswer(page).list_kind("servers", "test").objects
