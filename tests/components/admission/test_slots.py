"""Tests of requests that run alone, and of leaving the queue."""

import threading
import time

import pytest

from lacewingdock.components.admission.slots import Slots
from lacewingdock.exceptions import LacewingdockError

MAX_WAIT_S = 30.0


class Holder:
    """A thread that holds a slot until `end` is called."""

    def __init__(self, slots, *, alone=False, wait_s=MAX_WAIT_S):
        self.slots = slots
        self.alone = alone
        self.deadline = time.monotonic() + wait_s
        self.acquired = threading.Event()
        self.released = threading.Event()
        self.error = None
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        """Acquire a slot and hold it."""
        try:
            with self.slots.hold(1, self.deadline, self.alone):
                self.acquired.set()
                self.released.wait(MAX_WAIT_S)
        except LacewingdockError as error:
            self.error = error

    def end(self):
        """Release the slot."""
        self.released.set()
        self.thread.join(MAX_WAIT_S)


def wait_until_queued(slots, count):
    end = time.monotonic() + MAX_WAIT_S
    while slots.queued != count:
        assert time.monotonic() < end
        time.sleep(0.001)


def test_request_alone_waits_for_others_and_blocks_later_ones():
    slots = Slots(4, 4)
    first = Holder(slots)
    assert first.acquired.wait(MAX_WAIT_S)
    exclusive = Holder(slots, alone=True)
    wait_until_queued(slots, 1)
    later = Holder(slots)
    wait_until_queued(slots, 2)
    assert not exclusive.acquired.is_set()
    assert slots.occupied == slots.capacity
    first.end()
    assert exclusive.acquired.wait(MAX_WAIT_S)
    assert not later.acquired.is_set()
    assert (slots.running, slots.alone) == (1, True)
    exclusive.end()
    assert later.acquired.wait(MAX_WAIT_S)
    later.end()
    assert (slots.running, slots.queued, slots.alone) == (
        0,
        0,
        False,
    )


def test_expired_request_alone_unblocks_the_queue():
    """Guards against an upstream that never accepts a request again.

    Happens if the deadline of a request that must run alone passes while it
    waits for the upstream to become idle, and others still wait for it.
    """
    slots = Slots(2, 4)
    first = Holder(slots)
    assert first.acquired.wait(MAX_WAIT_S)
    exclusive = Holder(slots, alone=True, wait_s=0.2)
    wait_until_queued(slots, 1)
    later = Holder(slots)
    exclusive.thread.join(MAX_WAIT_S)
    assert exclusive.error is not None
    assert later.acquired.wait(MAX_WAIT_S)
    first.end()
    later.end()


@pytest.mark.parametrize("alone", [False, True])
def test_full_queue_rejects(alone):
    slots = Slots(1, 0)
    first = Holder(slots)
    assert first.acquired.wait(MAX_WAIT_S)
    with pytest.raises(LacewingdockError), slots.hold(1, MAX_WAIT_S, alone):
        pass
    first.end()


def test_cancelled_request_leaves_the_queue():
    """Guards against rejecting requests although few callers wait.

    Happens if the requests of callers that have disconnected keep their places
    in the queue until their turn or their deadline.
    """
    slots = Slots(1, 1)
    wakes = []
    errors = []

    def wait_in_queue():
        try:
            with slots.hold(1, time.monotonic() + 60, on_wait=wakes.append):
                pass
        except LacewingdockError as error:
            errors.append(error.ran)

    with slots.hold(1, time.monotonic() + 60):
        task = threading.Thread(target=wait_in_queue)
        task.start()
        while not wakes:
            time.sleep(0.001)
        wakes[0]()
        task.join(5)
        assert (slots.queued, errors) == (0, ["no"])
