"""Tests for operators that bring manifests into force at the same time."""

import pytest

from lacewingdock.components.configuration.apply import apply_manifest
from lacewingdock.const import COLLECTION_CONFIG
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.world.manifest import parse_manifest
from tests.fakes import FakeStore


class RacingStore(FakeStore):
    """A platform on which another operator writes after the first list."""

    def __init__(self, other):
        """Take the other operator's manifest."""
        super().__init__()
        self.other = other

    def list_all(self, *arguments, **options):
        """List, then let the other operator come first."""
        listing = super().list_all(*arguments, **options)
        if self.other is not None:
            other, self.other = self.other, None
            apply_manifest(self, manifest(other))
        return listing


def manifest(states):
    lines = [f"  {n}: {{model: m, state: {s}}}" for n, s in states.items()]
    return parse_manifest("version:\n" + "\n".join(lines))


def states(store):
    objects = store.current_listing(COLLECTION_CONFIG).objects
    return {o.name.partition("/")[2]: o.value["state"] for o in objects}


@pytest.mark.parametrize(
    ("first", "second", "told"),
    [
        ({"a": "withdrawn"}, {"a": "offered", "b": "offered"}, True),
        ({"a": "withdrawn"}, {"b": "offered"}, False),
    ],
)
def test_of_two_operators_on_one_item_one_is_told(first, second, told):
    """Symptom: a withdrawal is undone by a colleague who never saw it.

    Both compare with the same state; one withdraws, then the other writes a
    new price. Cause: the later write had no condition on what it saw.
    """
    store = RacingStore(None)
    apply_manifest(store, manifest({"a": "offered"}))
    store.other = first
    wanted = manifest(second)
    if "version/a" in wanted:
        wanted["version/a"]["output_price"] = 2.0
    if told:
        with pytest.raises(LacewingdockError) as caught:
            apply_manifest(store, wanted)
        assert caught.value.kind is ErrorKind.CONFLICT
    else:
        apply_manifest(store, wanted)
    assert states(store)["a"] == "withdrawn"


def test_apply_after_a_lost_answer_finds_nothing_to_do():
    store = FakeStore()
    store.lose_answers = 1
    with pytest.raises(LacewingdockError) as caught:
        apply_manifest(store, manifest({"a": "offered"}))
    assert caught.value.ran == "unknown"
    assert apply_manifest(store, manifest({"a": "offered"})) == []


def test_deleted_item_is_added_again_over_its_tombstone():
    store = FakeStore()
    (made,) = apply_manifest(store, manifest({"a": "offered"}))
    store.put(COLLECTION_CONFIG, "version/a", None, made.revision)
    (again,) = apply_manifest(store, manifest({"a": "offered"}))
    assert (str(again), again.revision) == ("add version/a", 3)
