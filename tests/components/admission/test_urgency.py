"""Tests for what a full upstream refuses, and what it says of it."""

import threading
import time

import pytest

from lacewingdock.components.admission.slots import Slots
from lacewingdock.components.admission.wait_estimate import RETRY_SPREAD
from lacewingdock.exceptions import ErrorKind, LacewingdockError

FAR = 30.0
INTERACTIVE, NORMAL, BACKGROUND = range(3)


class Waiter:
    """A task that waits for a slot and says what became of it."""

    def __init__(self, slots, priority):
        self.slots = slots
        self.priority = priority
        self.code = ""
        self.thread = threading.Thread(target=self.run)
        before = slots.queued
        self.thread.start()
        end = time.monotonic() + FAR
        while slots.queued == before and time.monotonic() < end:
            time.sleep(0.001)

    def run(self):
        """Take a slot and give it back."""
        try:
            with self.slots.hold(self.priority, time.monotonic() + FAR):
                self.code = "ran"
        except LacewingdockError as error:
            self.code = error.kind


@pytest.mark.parametrize(
    ("queued", "comes", "refused"),
    [
        ([BACKGROUND, NORMAL], INTERACTIVE, [True, False]),
        ([NORMAL, BACKGROUND, BACKGROUND], NORMAL, [False, False, True]),
        ([INTERACTIVE, NORMAL], NORMAL, None),
        ([BACKGROUND], BACKGROUND, None),
    ],
)
def test_full_queue_drops_its_least_urgent(queued, comes, refused):
    # Symptom: a shopper's slot offer is refused while route-day plans wait.
    # Sequence: plans fill the queue; an offer comes.
    # Cause: whoever came first kept the place.
    slots = Slots(1, len(queued))
    with slots.hold(NORMAL, time.monotonic() + FAR):
        waiters = [Waiter(slots, priority) for priority in queued]
        if refused is None:
            with (
                pytest.raises(LacewingdockError) as caught,
                slots.hold(comes, time.monotonic() + FAR),
            ):
                pass
            assert caught.value.kind is ErrorKind.OVERLOADED
            newcomer = None
        else:
            newcomer = threading.Thread(target=Waiter, args=(slots, comes))
            newcomer.start()
            gone = waiters[refused.index(True)]
            gone.thread.join(FAR)
    for waiter in waiters:
        waiter.thread.join(FAR)
    if newcomer is not None:
        newcomer.join(FAR)
    want = refused or [False] * len(queued)
    assert [w.code == ErrorKind.OVERLOADED for w in waiters] == want
    assert slots.queued == 0


@pytest.mark.parametrize(
    ("mean_s", "capacity", "waiting", "left_s", "wait_s"),
    [
        (8.0, 4, 0, 1.0, 2.0),
        (0.4, 4, 0, 0.3, None),
        (8.0, 1, 2, 20.0, 24.0),
        (0.0, 1, 0, 0.2, None),
    ],
)
def test_what_can_not_start_in_time_is_refused_at_once(
    mean_s, capacity, waiting, left_s, wait_s
):
    # Symptom: callers wait out their whole deadline and get nothing, and
    # those told "try again in a second" come back to a full pool.
    # Sequence: a pool is full of long runs; short-lived requests queue.
    # Cause: the queue took what it could not start in time, and its
    # Retry-After was a constant.
    slots = Slots(capacity, 8)
    slots.pace.mean_s = mean_s
    slots.running = capacity
    for _ in range(waiting):
        Waiter(slots, NORMAL)
    start = time.monotonic()
    with (
        pytest.raises(LacewingdockError) as caught,
        slots.hold(NORMAL, start + left_s),
    ):
        pass
    for _ in range(capacity):
        slots._release(mean_s)
    assert caught.value.ran == "no"
    if wait_s is None:
        assert caught.value.kind is ErrorKind.DEADLINE
    else:
        assert caught.value.kind is ErrorKind.OVERLOADED
        assert time.monotonic() - start < left_s
        retry = caught.value.retry_after_s
        assert wait_s <= retry <= wait_s * (1 + RETRY_SPREAD)
