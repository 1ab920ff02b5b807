"""Limits on the processor time of processes, by stop and continue signals."""

import contextlib
import os
import signal
import threading
import time
from typing import Final

# Longest time for which a process runs in one turn, in seconds.
TURN_S: Final = 0.02


class CpuShare:
    """Lets a process run for a share of each period only.

    Attributes:
        pid: Id of the process.
        share: Share of the time for which it runs, from 0 to 1.
        stopping: Set to end the limit.
    """

    def __init__(self, pid, share):
        self.pid = pid
        self.share = share
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def close(self):
        """End the limit; the process runs on."""
        self.stopping.set()
        self.thread.join()

    def _run(self):
        # Turns that end late are made up for by later ones.
        started, ran_s = time.monotonic(), 0.0
        while not self.stopping.is_set():
            turn = time.monotonic()
            if not self._signal(signal.SIGCONT):
                return
            time.sleep(TURN_S)
            if not self._signal(signal.SIGSTOP):
                return
            now = time.monotonic()
            ran_s += now - turn
            self.stopping.wait(max(started + ran_s / self.share - now, 0.0))
        self._signal(signal.SIGCONT)

    def _signal(self, number):
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)
            return True
        return False


def cpu_seconds(pid):
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
