"""Support for keeping answers within bounds of time and memory."""

import threading
import time

from lacewingdock.world.run import Run


class Shelf:
    """The runs by attempt id, and the rule by which answers go.

    An answer that ended is kept for `resume_s` so that a caller whose entry
    or link died can fetch the rest. Beyond `limit` bytes the oldest ended
    ones lose their pieces first; a running one never does.

    Attributes:
        limit: Bytes of kept answers.
        resume_s: Seconds that an ended answer is kept.
        orphan_s: Seconds that a run without a watcher goes on, if its caller
            can't come back for it.
    """

    __slots__ = ("_lock", "_runs", "limit", "orphan_s", "resume_s")

    def __init__(self, limit: int, resume_s: float, orphan_s: float) -> None:
        """Start empty."""
        self.limit = limit
        self.resume_s = resume_s
        self.orphan_s = orphan_s
        self._runs: dict[str, Run] = {}
        self._lock = threading.Lock()

    def put(self, run: Run) -> None:
        """Take a run in."""
        with self._lock:
            self._runs[run.attempt.attempt] = run

    def alias(self, run: Run, first: Run) -> None:
        """Let a run's id name another run from now on."""
        with self._lock:
            self._runs[run.attempt.attempt] = first

    def get(self, attempt: str) -> Run | None:
        """Find a run."""
        return self._runs.get(attempt)

    def runs(self) -> list[Run]:
        """Return every run once."""
        with self._lock:
            return list({id(r): r for r in self._runs.values()}.values())

    def active(self) -> int:
        """Count the runs that have not ended."""
        return sum(run.outcome is None for run in self.runs())

    def sweep(self) -> None:
        """Cancel orphans, forget old answers, keep within the limit."""
        now = time.monotonic()
        for run in self.runs():
            if run.outcome is None and not run.watchers:
                self._judge_orphan(run, now)
        with self._lock:
            self._runs = {
                key: run
                for key, run in self._runs.items()
                if run.outcome is None or now - run.changed < self.resume_s
            }
        self._shrink()

    def _judge_orphan(self, run: Run, now: float) -> None:
        """Stop a run that nobody can fetch any more.

        Its entry died or was cut off; running on would take a slot from
        requests that somebody waits for.
        """
        attempt = run.attempt
        if attempt.resumable or not attempt.repeatable:
            return
        if now - run.changed > self.orphan_s:
            run.cancelled.set()

    def _shrink(self) -> None:
        ended = sorted(
            (r for r in self.runs() if r.outcome is not None),
            key=lambda r: r.changed,
        )
        total = sum(run.size for run in ended)
        for run in ended:
            if total <= self.limit:
                return
            total -= run.size
            run.evict()
