"""Termination of the process."""

import logging
import os
import sys


def exit_now(status: int) -> None:
    """Exit without waiting for threads that are blocked in a read."""
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
