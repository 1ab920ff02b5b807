"""Tests of the bill of a run, the charged attempts and the outbox."""

import time

import pytest

from lacewingdock.components.billing import outbox
from lacewingdock.components.billing.outbox import Outbox
from lacewingdock.components.billing.reader import (
    charged_attempts,
    read_statement,
)
from lacewingdock.components.billing.record import (
    Bill,
    build_bill,
    decode_bill,
    encode_bill,
)
from lacewingdock.components.billing.sidecar import SidecarBilling
from lacewingdock.const import RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.append_log import pack
from lacewingdock.links.messages import Attempt, Bills, BillsKept, Finish, Hello
from lacewingdock.world.objects import Operation, Service, Version
from lacewingdock.world.run import Run
from lacewingdock.world.world import World
from tests.fakes import FakeLink, FakeStore

FAILED = LacewingdockError(ErrorKind.UPSTREAM_FAILED, "x", RAN_UNKNOWN)


def world():
    built = World()
    built.add("v", Version(model="m", input_price=1.0, output_price=2.0))
    confirm = Operation(method="POST", path="/confirm", price=0.25)
    built.add("booking", Service(operations=[confirm]))
    return built


def ended_run(outcome, *, target="v", caller_left=False, pieces=0):
    """End a run; return the run and the outcome passed to `before_end`."""
    path = "/confirm?x=1" if target == "booking" else "/chat"
    attempt = Attempt("a", "r", "w", target, "POST", path, b"x" * 400)
    attempt.repeatable = target == "v"
    run = Run(attempt)
    run.chunks = [b"piece"] * pieces
    run.caller_left = caller_left
    ends = []
    run.before_end = lambda _, end: ends.append(end)
    if isinstance(outcome, Finish):
        run.end(outcome)
    else:
        run.refuse(outcome)
    run.refuse(FAILED)
    (end,) = ends
    return run, end


@pytest.mark.parametrize(
    ("options", "outcome", "said", "tokens", "cost"),
    [
        ({}, Finish("a", 0, 200, "", 100, 50), "whole", (100, 50), 200_000),
        ({}, Finish("a", 0, 404), "refused", (0, 0), 0),
        ({"pieces": 9}, FAILED, "failed", (0, 9), 18_000),
        (
            {"pieces": 9, "caller_left": True},
            FAILED,
            "cancelled",
            (100, 9),
            118_000,
        ),
        ({"caller_left": True}, FAILED, "cancelled", (0, 0), 0),
        ({"target": "booking"}, Finish("a", 1), "whole", (0, 0), 250_000),
        ({"target": "booking"}, FAILED, "unknown", (0, 0), 250_000),
    ],
)
def test_bill_of_a_run(options, outcome, said, tokens, cost):
    run, end = ended_run(outcome, **options)
    bill = build_bill(run, end, world())
    assert (bill.outcome, bill.cost) == (said, cost)
    assert (bill.input_tokens, bill.output_tokens) == tokens
    assert decode_bill(encode_bill(bill)) == bill
    assert bill.at <= time.time()


# Guards against billing an answer that was only read from a stored record, as
# for a repeated claim, or a request that was refused in the queue. This comes
# from a bill per ended run instead of per run that reached the upstream.
@pytest.mark.parametrize("executed", [False, True])
def test_only_what_ran_is_billed(executed):
    billing = SidecarBilling.__new__(SidecarBilling)
    billing.outbox = Outbox("s", "a")
    billing.configuration = type("C", (), {"world": world()})
    run, end = ended_run(Finish("a", 1))
    run.executed = executed
    billing.on_end(run, end)
    assert list(billing.outbox.held) == ["a"] * executed


def bill(attempt, request="r", step=0, ordinal=0, outcome="whole", cost=10):
    return Bill(
        attempt, request, step, ordinal, "w", "v", 0, 1, 1, cost, outcome
    )


# Guards against charging a request twice: its entry lost the link to the first
# upstream and retried on another, both ran to the end, and each attempt has a
# row in the ledger.
@pytest.mark.parametrize(
    ("bills", "charged"),
    [
        ([bill("a"), bill("b", ordinal=1)], {"a"}),
        ([bill("a", outcome="failed"), bill("b", ordinal=1)], {"b"}),
        ([bill("a", outcome="cancelled"), bill("b", ordinal=1)], {"b"}),
        ([bill("a"), bill("b", step=1)], {"a", "b"}),
        ([bill("a"), bill("b", "other")], {"a", "b"}),
        ([bill("a", outcome="unknown"), bill("b", outcome="refused")], set()),
    ],
)
def test_a_request_is_charged_once_for_each_step(bills, charged):
    assert charged_attempts(bills) == charged
    assert charged_attempts(reversed(bills)) == charged


# Guards against charging a request on two days: as above, with the bill of the
# second attempt in the next day's log.
def test_a_retry_over_midnight_is_charged_on_one_day():
    store = FakeStore()
    days = {
        "20260102": [bill("a"), bill("c", "q", cost=7)],
        "20260103": [bill("b", ordinal=1), bill("d", "p", cost=5)],
    }
    for day, bills in days.items():
        rows = pack([encode_bill(b) for b in bills])
        store.put("ledger", f"{day}.e.i/00000000", rows, 0)
    first, second = (read_statement(store, "w", day) for day in days)
    assert (first.cost, first.requests) == (17, 2)
    assert (second.cost, second.requests) == (5, 1)
    assert second.lines["v"].uncharged_cost == 10
    assert read_statement(store, "other", "20260102").cost == 0


def announce_entry(name, domain, log):
    """Return the link to an entry, and its announcement of its log."""
    link = FakeLink(Hello(name, name, "entry", domain, b""))
    return link, BillsKept(log, 3, [])


# Guards against losing bills with a failure domain: a sidecar and the entry
# that holds the copies of its bills are in one domain, which loses power.
def test_bills_are_held_in_another_failure_domain():
    for number in range(20):
        box = Outbox(f"s{number}", "hall-a")
        links = {}
        for name, domain in (("e0", "hall-a"), ("e1", "hall-b")):
            links[name], announcement = announce_entry(
                name, domain, f"log-{name}"
            )
            box.on_kept(links[name], announcement)
        box.record("a", b'["a"]')
        assert not links["e0"].inbox
        assert list(links["e1"].inbox) == [
            Bills("log-e1", 3, False, [b'["a"]'])
        ]


# Guards against an unbounded outbox: while the platform is down for hours, the
# sidecar's memory grows until it is killed, and its bills are lost.
def test_no_new_work_once_the_outbox_is_full(monkeypatch):
    monkeypatch.setattr(outbox, "MAX_HELD", 3)
    billing = SidecarBilling.__new__(SidecarBilling)
    billing.outbox = Outbox("s", "a")
    for number in range(3):
        billing.check_room()
        billing.outbox.record(str(number), b"[]")
    with pytest.raises(LacewingdockError) as caught:
        billing.check_room()
    assert (caught.value.kind, caught.value.ran) == (
        ErrorKind.OVERLOADED,
        "no",
    )
    assert caught.value.retry_after_s


# Guards against losing bills when an entry and soon after a sidecar die: while
# the sidecar waits before it sends the entry's bills to another entry, it
# holds the only copy.
def test_bills_go_to_another_entry_as_soon_as_a_link_is_lost():
    box = Outbox("s", "hall-a")
    first, announcement = announce_entry("e1", "hall-b", "log-e1")
    box.on_kept(first, announcement)
    box.record("a", b'["a"]')
    second, announcement = announce_entry("e2", "hall-b", "log-e2")
    box.on_kept(second, announcement)
    box.on_close(first)
    assert list(second.inbox) == [Bills("log-e1", 3, False, [b'["a"]'])]
