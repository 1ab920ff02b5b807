"""Tests of rejections by a full upstream, and of their Retry-After."""

import threading
import time

import pytest

from lacewingdock.components.admission.slots import Slots
from lacewingdock.components.admission.wait_estimate import RETRY_SPREAD
from lacewingdock.exceptions import ErrorKind, LacewingdockError

MAX_WAIT_S = 30.0
INTERACTIVE, NORMAL, BACKGROUND = range(3)


class Waiter:
    """A thread that waits for a slot, and the result of the wait."""

    def __init__(self, slots, priority):
        self.slots = slots
        self.priority = priority
        self.code = ""
        self.thread = threading.Thread(target=self.run)
        before = slots.queued
        self.thread.start()
        end = time.monotonic() + MAX_WAIT_S
        while slots.queued == before and time.monotonic() < end:
            time.sleep(0.001)

    def run(self):
        """Acquire a slot and release it."""
        try:
            with self.slots.hold(self.priority, time.monotonic() + MAX_WAIT_S):
                self.code = "ran"
        except LacewingdockError as error:
            self.code = error.kind


@pytest.mark.parametrize(
    ("queued", "comes", "displaced"),
    [
        ([BACKGROUND, NORMAL], INTERACTIVE, [True, False]),
        ([NORMAL, BACKGROUND, BACKGROUND], NORMAL, [False, False, True]),
        ([INTERACTIVE, NORMAL], NORMAL, None),
        ([BACKGROUND], BACKGROUND, None),
    ],
)
def test_full_queue_displaces_its_least_urgent(queued, comes, displaced):
    # Guards against rejecting an interactive request while background requests
    # are queued. Happens if the queue is first come, first served.
    slots = Slots(1, len(queued))
    with slots.hold(NORMAL, time.monotonic() + MAX_WAIT_S):
        waiters = [Waiter(slots, priority) for priority in queued]
        if displaced is None:
            with (
                pytest.raises(LacewingdockError) as caught,
                slots.hold(comes, time.monotonic() + MAX_WAIT_S),
            ):
                pass
            assert caught.value.kind is ErrorKind.OVERLOADED
            newcomer = None
        else:
            newcomer = threading.Thread(target=Waiter, args=(slots, comes))
            newcomer.start()
            gone = waiters[displaced.index(True)]
            gone.thread.join(MAX_WAIT_S)
    for waiter in waiters:
        waiter.thread.join(MAX_WAIT_S)
    if newcomer is not None:
        newcomer.join(MAX_WAIT_S)
    want = displaced or [False] * len(queued)
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
def test_request_that_cannot_start_in_time_is_rejected_at_once(
    mean_s, capacity, waiting, left_s, wait_s
):
    # Guards against callers that wait until their deadline in vain, or retry
    # after a second at a pool that is still full. Happens if requests with
    # short deadlines queue behind long runs although they cannot start in
    # time, and if Retry-After is a constant.
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
