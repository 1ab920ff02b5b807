"""Polling for conditions that other threads or processes fulfil."""

import time


def wait(condition, timeout_s=20.0):
    """Poll a condition until it holds; fail after a timeout."""
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "condition did not hold in time"
        time.sleep(0.02)
