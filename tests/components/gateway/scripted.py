"""Instances that answer each request alike, and routes to them."""

import time

from lacewingdock.world.route import Repeat
from tests.components.gateway.fakes import (
    END,
    Upstream,
    answer,
    event,
    send,
    stream_head,
)

STREAM = {
    "repeat": Repeat.RESUMABLE,
    "streaming": True,
    "models": ("small", "large"),
}


class Counting(Upstream):
    """An instance that answers each request alike, and notes when it came."""

    def __init__(self, extra=b"", step=None):
        super().__init__()
        self.step = step or answer(extra=extra)
        self.times = []

    def _read(self, sock):
        found = super()._read(sock)
        if found is not None:
            self.times.append(time.monotonic())
            self.steps.append(self.step)
        return found


def streamed(extra=b""):
    """Return a step that streams one event."""
    return send(
        lambda call_id: stream_head(call_id, extra), event(1), END, then="keep"
    )


class SlowPool:
    """A pool of connections to which something happens as one is taken."""

    def __init__(self, acquire, pool):
        self.acquire = acquire
        self.release = pool.release
