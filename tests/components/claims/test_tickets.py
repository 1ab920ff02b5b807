"""Tests of tickets: one process, no platform, and never a second run."""

from collections import Counter

import pytest

from lacewingdock.components.claims import Duplicate, tickets
from lacewingdock.components.claims.tickets import TICKET_S, mint_ticket
from lacewingdock.exceptions import LacewingdockError
from tests.components.claims.fakes import FakeHome, PlatformStore


@pytest.fixture
def home():
    made = FakeHome(PlatformStore(), "home-0")
    made.claims.daemon.store.down = True
    return made


def mint(home):
    me = home.claims.daemon.me
    return mint_ticket(me.instance, me.incarnation)


def said(result):
    assert isinstance(result, LacewingdockError), result
    return str(result.kind), result.ran


def test_ticket_runs_once_without_the_platform(home):
    ticket, booked = mint(home), Counter()
    run = home.send(ticket)
    assert home.send(ticket) == Duplicate(run)
    home.run(run, booked)
    assert home.send(ticket) == Duplicate(run)
    assert said(home.send(ticket, "other slot")) == ("key_reused", "no")
    assert booked[ticket] == 1
    assert not home.claims.daemon.store.calls


def test_ticket_of_a_dead_home_is_unknown(home):
    """Symptom: a slot is confirmed twice after its worker was replaced.

    Events: the home runs a ticket and dies; the same instance starts again
    and is asked for it. Cause: the new process takes it for new.
    """
    ticket, booked = mint(home), Counter()
    home.run(home.send(ticket), booked)
    again = FakeHome(home.claims.daemon.store, "home-0", 1)
    assert said(again.send(ticket)) == ("outcome_unknown", "unknown")


def test_ticket_that_did_not_run_is_free(home):
    ticket, booked = mint(home), Counter()
    home.run(home.send(ticket), booked, "not_run")
    home.run(home.send(ticket), booked)
    assert booked[ticket] == 1


@pytest.mark.parametrize(
    ("age", "want"),
    [
        (TICKET_S - 5, None),
        (TICKET_S + 5, ("outcome_unknown", "unknown")),
        (-TICKET_S - 5, ("bad_request", "no")),
    ],
)
def test_ticket_is_remembered_or_refused(home, age, want):
    """Symptom: a ticket runs again after its record was forgotten.

    Events: a ticket runs; its record is forgotten; it comes again. Cause:
    it was forgotten before it was refused as too old.
    """
    ticket, booked = mint(home), Counter()
    home.claims.tickets.base += age
    first = home.send(ticket)
    if want is None:
        home.run(first, booked)
        home.claims.tickets.sweep()
        assert home.send(ticket) == Duplicate(first)
    else:
        assert said(first) == want


def test_forgotten_ticket_does_not_run_again(home):
    ticket, booked = mint(home), Counter()
    home.run(home.send(ticket), booked)
    home.claims.tickets.base += TICKET_S + 1
    home.claims.tickets.sweep()
    assert not home.claims.tickets.runs
    assert said(home.send(ticket)) == ("outcome_unknown", "unknown")


def test_too_many_tickets_are_refused(home, monkeypatch):
    monkeypatch.setattr(tickets, "MAX_TICKETS", 1)
    home.send(mint(home))
    assert said(home.send(mint(home))) == ("overloaded", "no")
