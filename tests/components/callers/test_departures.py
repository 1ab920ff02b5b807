"""Tests for noticing callers that leave."""

import socket
from types import SimpleNamespace

import pytest

from lacewingdock.components.callers.departures import Departures


class Watched(Departures):
    """Departures that note what they end."""

    ended: list[str]


@pytest.fixture
def departures():
    ended = []
    watched = Watched(None, SimpleNamespace(abandon=ended.append))
    watched.ended = ended
    return watched


class OldNews:
    """Polls as one whose finding is older than a reused descriptor."""

    def __init__(self, number):
        self.number = number

    def poll(self, _timeout):
        """Report an event of the descriptor's last holder."""
        return [(self.number, 0)]


@pytest.mark.parametrize("leaves", [True, False])
def test_only_who_left_is_ended(departures, leaves):
    near, far = socket.socketpair()
    with near, far:
        departures.watch("r1", near)
        if leaves:
            far.close()
        departures.look()
        assert departures.ended == (["r1"] if leaves else [])


def test_reused_descriptor_is_another_caller(departures):
    """Symptom: a caller that waits is told that it left.

    Sequence: a caller leaves and its descriptor is given to another's
    connection before the finding is looked at. Cause: the number was taken
    for the caller.
    """
    near, far = socket.socketpair()
    with near, far:
        departures.watch("r2", near)
        departures.poll = OldNews(near.fileno())
        departures.look()
        assert departures.ended == []
