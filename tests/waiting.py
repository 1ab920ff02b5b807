"""Waiting for what other tasks or processes bring about."""

import time


def wait(condition, timeout_s=20.0):
    """Wait until a condition holds; fail where it does not in time."""
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "did not come about in time"
        time.sleep(0.02)
