"""Support for keeping answers within bounds of time and memory."""

import threading
import time
from collections.abc import Callable

from lacewingdock.world.run import Run


class RunStore:
    """The runs by attempt id, and the rule by which answers go.

    An answer that ended is kept for `resume_s` so that a caller whose entry
    or link died can fetch the rest, unless its entry said that it has all of
    it. Beyond `limit` bytes the oldest ended ones lose their pieces first; a
    running one never does.

    Attributes:
        limit: Bytes of kept answers.
        resume_s: Seconds that an ended answer is kept.
        orphan_s: Seconds that a run without a watcher goes on, if its caller
            can't come back for it.
        clock: Monotonic time, in seconds.
    """

    __slots__ = (
        "_fences",
        "_lock",
        "_runs",
        "clock",
        "limit",
        "orphan_s",
        "resume_s",
    )

    def __init__(
        self,
        limit: int,
        resume_s: float,
        orphan_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start empty."""
        self.limit = limit
        self.resume_s = resume_s
        self.orphan_s = orphan_s
        self.clock = clock
        self._runs: dict[str, Run] = {}
        self._fences: dict[str, float] = {}
        self._lock = threading.Lock()

    def put(self, run: Run) -> Run | None:
        """Take a run in.

        Returns:
            The run itself; the one that has its id already, which a frame
            that came twice must not replace; or None when the id is fenced.
        """
        with self._lock:
            attempt = run.attempt.attempt
            if attempt in self._fences:
                return None
            return self._runs.setdefault(attempt, run)

    def fence(self, attempt: str) -> bool:
        """Let an attempt that never came be refused if it still comes.

        An entry that asks for the answer over a new link is told "not run"
        and may run the request elsewhere; the attempt itself may still wait
        in the old link's buffers and would be run after all.

        Returns:
            Whether it never came.
        """
        with self._lock:
            if attempt in self._runs:
                return False
            self._fences[attempt] = self.clock()
            return True

    def alias(self, attempt: str, run: Run) -> None:
        """Let another id name a run from now on."""
        with self._lock:
            self._runs[attempt] = run

    def get(self, attempt: str) -> Run | None:
        """Find a run."""
        return self._runs.get(attempt)

    def runs(self) -> list[Run]:
        """Return every run once."""
        with self._lock:
            return list({id(r): r for r in self._runs.values()}.values())

    def active(self) -> int:
        """Count the runs that a planned stop must not cut."""
        now = self.clock()
        return sum(self._is_active(run, now) for run in self.runs())

    def _is_active(self, run: Run, now: float) -> bool:
        """Tell whether somebody waits for a run or may come back for it.

        An end that was sent is not yet received: the link may have gone
        silent. The entry says when it has it; one that died won't.
        """
        if run.outcome is None:
            return True
        if run.end_delivered or run.evicted or run.cancelled.is_set():
            return False
        can_return = run.attempt.resumable or run.resume_announced
        wait_s = self.resume_s if can_return else self.orphan_s
        return now - run.idle_since < wait_s

    def sweep(self) -> None:
        """Cancel orphans, forget old answers, keep within the limit."""
        now = self.clock()
        for run in self.runs():
            if run.outcome is None and not run.subscribers:
                self._cancel_if_orphaned(run, now)
        with self._lock:
            self._runs = {
                key: run
                for key, run in self._runs.items()
                if run.outcome is None or now - run.idle_since < self.resume_s
            }
            self._fences = {
                key: since
                for key, since in self._fences.items()
                if now - since < self.resume_s
            }
        self._evict_over_limit()

    def _cancel_if_orphaned(self, run: Run, now: float) -> None:
        """Stop a run that nobody can fetch any more.

        Its entry died or was cut off; running on would take a slot from
        requests that somebody waits for.
        """
        attempt = run.attempt
        if attempt.resumable or not attempt.repeatable:
            return
        wait_s = self.resume_s if run.resume_announced else self.orphan_s
        if now - run.idle_since > wait_s:
            run.cancel()

    def release(self, run: Run) -> None:
        """Drop the pieces of an answer that its entry has whole.

        Its caller can't come back for it. Kept for `resume_s` all the same,
        the answers of a busy upstream would fill the limit and push out the
        ones that somebody still needs.
        """
        attempt = run.attempt
        # A call that may not be repeated is asked for again by its key.
        if attempt.repeatable and not attempt.resumable and run.outcome:
            run.evict()

    def _evict_over_limit(self) -> None:
        ended = sorted(
            (r for r in self.runs() if r.outcome is not None),
            key=lambda r: r.idle_since,
        )
        total = sum(run.size for run in ended)
        for run in ended:
            if total <= self.limit:
                return
            total -= run.size
            run.evict()
