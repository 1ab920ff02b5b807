"""Tests of orders that take effect once, and of operators in conflict."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.language.audit import carry_out, settle_write
from lacewingdock.components.language.parser import parse
from lacewingdock.components.language.plans import plan_order
from lacewingdock.exceptions import LacewingdockError
from tests.fakes import FakeStore


def platform():
    store = FakeStore()
    for name in ("v1", "v2"):
        value = {"model": "m", "state": "offered"}
        store.put("config", f"version/{name}", value, 0)
    store.put("config", "model/m", {"shares": {"v1": 1.0}}, 0)
    return store


def order(store, line, operator="ana", command="c-1"):
    def plan():
        return plan_order(parse(line), operator, store)

    return carry_out(store, command, operator, line, plan, settle_write)


def state(store, version="v1"):
    return store.objects["config"][f"version/{version}"].value["state"]


def test_a_command_sent_again_does_not_undo_what_came_after():
    """A lost answer makes an operator send a withdrawal again.

    Symptom: a version offered again is withdrawn a second time.
    Events: ana withdraws, the answer is lost; bob offers the version again;
    ana sends the same command again.
    Cause: a command that is carried out as often as it comes.
    """
    store = platform()
    order(store, "withdraw v1")
    order(store, "offer v1", "bob", "c-2")
    assert order(store, "withdraw v1").state == "done"
    assert state(store) == "offered"


@given(
    st.lists(
        st.sampled_from(["send", "send", "lose", "outage", "offer"]),
        min_size=1,
        max_size=16,
    )
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_however_often_it_is_sent_it_lands_once(events):
    store = platform()
    done = 0
    for number, event in enumerate(events):
        store.down = event == "outage"
        if event == "lose":
            store.lose_answers += 1
            continue
        line, who, command = "withdraw v1", "ana", "c-1"
        if event == "offer":
            line, who, command = "offer v1", "bob", f"o-{number}"
        with contextlib.suppress(LacewingdockError):
            order(store, line, who, command)
            done += command == "c-1"
    landed = [
        value["state"]
        for collection, name, value in store.history
        if name == "version/v1" and value["state"] == "withdrawn"
    ]
    assert len(landed) <= 1
    assert (
        landed
        or not done
        or store.objects["commands"]["c-1"]
        .value["detail"]
        .startswith("v1 is withdrawn already")
    )


@pytest.mark.parametrize(
    ("first", "second", "match"),
    [
        ("roll out v2", "roll out v2", "ana has a roll-out"),
        ("withdraw v1", "withdraw v1 if revision 1", r"ana \(command c-1\)"),
        ("withdraw v2", "roll out v2", "withdrawn"),
        ("roll out v2", "pause m if revision 1", "ana"),
        ("withdraw v1", "pause m", "column 7: no roll-out of 'm'"),
        ("withdraw v1", "unload v2", "withdraw it first"),
        ("withdraw v1", "withdraw v9", "column 10: no version 'v9'"),
    ],
)
def test_conflicting_operators_are_told_who_won(first, second, match):
    store = platform()
    order(store, first)
    with pytest.raises(LacewingdockError, match=match):
        order(store, second, "bob", "c-2")


def test_a_race_has_one_winner():
    """Two operators plan on the same revision; the later write is refused.

    Symptom: both are told that their order took effect.
    Events: bob's order is planned; ana's lands; bob's is written.
    Cause: a write that does not expect what the plan was based on.
    """
    store = platform()

    def plan():
        planned = plan_order(parse("withdraw v1"), "bob", store)
        order(store, "withdraw v1", "ana", "c-1")
        return planned

    with pytest.raises(LacewingdockError, match=r"ana \(command c-1\)"):
        carry_out(store, "c-2", "bob", "withdraw v1", plan, settle_write)
    assert store.objects["commands"]["c-2"].value["state"] == "refused"


def test_the_same_command_at_two_entries_at_once():
    """A command reaches two entries, and its effect is overwritten at once.

    Symptom: an order that took effect is reported as refused.
    Events: one entry begins the record and its effect lands; another operator
    undoes it; the second entry goes on from the first one's record.
    Cause: "the object has moved on" taken for "it never landed".
    """
    store = platform()

    def plan():
        planned = plan_order(parse("withdraw v1"), "ana", store)
        order(store, "withdraw v1")
        order(store, "offer v1", "bob", "c-2")
        # The first entry's note of what came of it was lost.
        stored = store.objects["commands"]["c-1"]
        stored.value |= {"state": "begun", "detail": ""}
        return planned

    with pytest.raises(LacewingdockError) as caught:
        carry_out(store, "c-1", "ana", "withdraw v1", plan, settle_write)
    assert caught.value.ran == "unknown"
    assert state(store) == "offered"


def test_an_id_belongs_to_one_command():
    store = platform()
    order(store, "withdraw v1")
    with pytest.raises(LacewingdockError, match="ana's 'withdraw v1'"):
        order(store, "withdraw v2")
    assert state(store, "v2") == "offered"


def test_a_quarantine_is_released_and_keeps_its_crashes():
    store = platform()
    value = {
        "workspace": "w",
        "target": "v1",
        "crashes": ["worker-0/1", "worker-1/4"],
        "expires": 100,
    }
    store.put("config", "quarantine/f-1", value, 0)
    order(store, "release f-1")
    kept = store.objects["config"]["quarantine/f-1"].value
    assert kept["state"] == "released"
    assert kept["crashes"] == value["crashes"]


def test_release_of_what_is_not_quarantined_points_at_the_word():
    with pytest.raises(LacewingdockError, match="column 9: no quarantine"):
        order(platform(), "release f-9")
