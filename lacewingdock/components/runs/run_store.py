"""Support for storing answers within limits of time and memory."""

import threading
import time
from collections.abc import Callable

from lacewingdock.world.run import Run


class RunStore:
    """Stores runs by attempt id and evicts their answers.

    A complete answer is kept for `resume_s` so that a caller whose entry or
    link died can fetch the rest, unless its entry confirmed that it has the
    full answer. Beyond `limit` bytes, the chunks of the oldest complete
    answers are evicted first; those of an active run never are.

    Attributes:
        limit: Maximum bytes of complete answers.
        resume_s: Seconds that a complete answer is kept.
        orphan_s: Seconds that a run without a subscriber continues if its
            caller can't resume it.
        clock: Returns the monotonic time, in seconds.
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
        """Initialize an empty store with its limits."""
        self.limit = limit
        self.resume_s = resume_s
        self.orphan_s = orphan_s
        self.clock = clock
        self._runs: dict[str, Run] = {}
        self._fences: dict[str, float] = {}
        self._lock = threading.Lock()

    def put(self, run: Run) -> Run | None:
        """Store a run under its attempt id.

        Returns:
            The run itself; the run already stored under the id, which a
            duplicate frame must not replace; or None when the id is fenced.
        """
        with self._lock:
            attempt = run.attempt.attempt
            if attempt in self._fences:
                return None
            return self._runs.setdefault(attempt, run)

    def fence(self, attempt: str) -> bool:
        """Fence an attempt never received, so that it is refused later.

        An entry that asks for the answer over a new link receives "not run"
        and may run the request elsewhere. The attempt itself may still be in
        the old link's buffers, and without the fence it would run as well.

        Returns:
            True if the attempt was never received and is now fenced.
        """
        with self._lock:
            if attempt in self._runs:
                return False
            self._fences[attempt] = self.clock()
            return True

    def alias(self, attempt: str, run: Run) -> None:
        """Store a run under an additional attempt id."""
        with self._lock:
            self._runs[attempt] = run

    def get(self, attempt: str) -> Run | None:
        """Return the run of an attempt id, or None."""
        return self._runs.get(attempt)

    def runs(self) -> list[Run]:
        """Return every run once, whatever its number of ids."""
        with self._lock:
            return list({id(r): r for r in self._runs.values()}.values())

    def active(self) -> int:
        """Count the runs that a planned stop must not cut off."""
        now = self.clock()
        return sum(self._is_active(run, now) for run in self.runs())

    def _is_active(self, run: Run, now: float) -> bool:
        """Return whether a run is awaited or may still be resumed.

        An end that was sent may not have been received, as the link may have
        gone silent. The entry confirms its receipt, unless the entry died.
        """
        if run.outcome is None:
            return True
        if run.end_delivered or run.evicted or run.cancelled.is_set():
            return False
        can_return = run.attempt.resumable or run.resume_announced
        wait_s = self.resume_s if can_return else self.orphan_s
        return now - run.idle_since < wait_s

    def sweep(self) -> None:
        """Cancel orphans, expire answers and enforce the byte limit."""
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
        """Cancel a run whose answer can no longer be fetched.

        Its entry died or was cut off; continuing would occupy a slot that
        awaited requests need.
        """
        attempt = run.attempt
        if attempt.resumable or not attempt.repeatable:
            return
        wait_s = self.resume_s if run.resume_announced else self.orphan_s
        if now - run.idle_since > wait_s:
            run.cancel()

    def release(self, run: Run) -> None:
        """Evict the chunks of an answer that its entry received in full.

        Its caller can't resume it. If such answers were kept for `resume_s`,
        those of a busy upstream would fill the limit and evict answers that
        are still needed.
        """
        attempt = run.attempt
        # The answer to a non-repeatable call is requested again by its key.
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
