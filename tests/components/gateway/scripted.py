"""Instances that give every request the same answer, and settings of routes."""

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


class RepeatingUpstream(Upstream):
    """An instance with one answer to all requests, and their times."""

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


class InterceptedPool:
    """A connection pool with another function for acquiring connections."""

    def __init__(self, acquire, pool):
        self.acquire = acquire
        self.release = pool.release
        self.close = pool.close
        self.body_bytes = pool.body_bytes
