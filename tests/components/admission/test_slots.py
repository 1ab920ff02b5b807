"""Tests for slots held alone."""

import threading
import time

import pytest

from lacewingdock.components.admission.slots import Slots
from lacewingdock.exceptions import LacewingdockError

FAR = 30.0


class Holder:
    """A task that holds a slot until told to let go."""

    def __init__(self, slots, *, alone=False, wait_s=FAR):
        self.slots = slots
        self.alone = alone
        self.deadline = time.monotonic() + wait_s
        self.has = threading.Event()
        self.let_go = threading.Event()
        self.error = None
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        """Take the slot and hold it."""
        try:
            with self.slots.hold(1, self.deadline, self.alone):
                self.has.set()
                self.let_go.wait(FAR)
        except LacewingdockError as error:
            self.error = error

    def end(self):
        """Let the slot go."""
        self.let_go.set()
        self.thread.join(FAR)


def queued(slots, count):
    end = time.monotonic() + FAR
    while slots.queued != count:
        assert time.monotonic() < end
        time.sleep(0.001)


def test_alone_waits_for_all_and_lets_nobody_in():
    slots = Slots(4, 4)
    first = Holder(slots)
    assert first.has.wait(FAR)
    lone = Holder(slots, alone=True)
    queued(slots, 1)
    later = Holder(slots)
    queued(slots, 2)
    assert not lone.has.is_set()
    assert slots.occupied == slots.capacity
    first.end()
    assert lone.has.wait(FAR)
    assert not later.has.is_set()
    assert (slots.running, slots.alone) == (1, True)
    lone.end()
    assert later.has.wait(FAR)
    later.end()
    assert (slots.running, slots.queued, slots.alone) == (0, 0, False)


def test_one_that_gives_up_being_alone_lets_the_others_in():
    """A suspect's deadline passes while it waits for the upstream to empty.

    Symptom: the upstream takes no more work for good.
    Cause: the others wait for a suspect that is gone.
    """
    slots = Slots(2, 4)
    first = Holder(slots)
    assert first.has.wait(FAR)
    lone = Holder(slots, alone=True, wait_s=0.2)
    queued(slots, 1)
    later = Holder(slots)
    lone.thread.join(FAR)
    assert lone.error is not None
    assert later.has.wait(FAR)
    first.end()
    later.end()


@pytest.mark.parametrize("alone", [False, True])
def test_a_full_queue_refuses(alone):
    slots = Slots(1, 0)
    first = Holder(slots)
    assert first.has.wait(FAR)
    with pytest.raises(LacewingdockError), slots.hold(1, FAR, alone):
        pass
    first.end()


def test_cancelled_request_leaves_the_queue():
    """Symptom: live callers are refused though few wait.

    Sequence: callers leave while their requests are queued. Cause: those kept
    their places until their turn or deadline.
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
