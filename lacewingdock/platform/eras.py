"""Tracking of the era of the platform's store.

The store may be restored from an older copy of itself. It then loses the
writes that it acknowledged after the copy was made, and its counts go back and
are reused. Each answer names the era of the history that it is from, which is
one higher after each restore.
"""

import threading
from collections.abc import Callable, Sequence
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.history import MAX_ERA

ERA_HEADER: Final = "store-era"

log = get_logger("platform")


class EarlierEraError(LacewingdockError):
    """An answer from before a restore, which may show state lost since."""


class StoreEras:
    """Tracker of the store's current era; safe to use from any task.

    Attributes:
        clock: Source of monotonic time.
        era: Current era; 0 until an answer names one.
        since: Monotonic time at which the current era was first observed.
        restores: Number of changes of the era.
        stale_answers: Number of answers rejected for an earlier era.
        unreadable: Number of answers with an unreadable era, or without one
            after an earlier answer named one.
        on_restore: Callbacks for a change of the era, run by the task that
            observes the change.
    """

    __slots__ = (
        "_lock",
        "clock",
        "era",
        "on_restore",
        "restores",
        "since",
        "stale_answers",
        "unreadable",
    )

    def __init__(self, clock: Clock = STEADY) -> None:
        """Start without an era, on a clock of monotonic time."""
        self.clock = clock
        self.era = 0
        self.since = 0.0
        self.restores = 0
        self.stale_answers = 0
        self.unreadable = 0
        self.on_restore: list[Callable[[], None]] = []
        self._lock = threading.Lock()

    def observe_peer_era(self, era: int) -> None:
        """Apply the era of another router's copy, which may be later.

        If the store never had that era, its answer to this router's next call
        sets the era back.
        """
        with self._lock:
            previous = self.era
            if era <= previous:
                return
            self._set_era(era)
        self._notify(era, previous)

    def observe(
        self, values: Sequence[str], began_at: float, *, stale: bool = False
    ) -> int:
        """Update the era from an answer.

        An answer without a readable era counts as of the current era. The
        store names the era in each answer, so such an answer is not the
        store's, and it must not stop the router from using the store's own.

        An era earlier than the current one is rejected if the call began
        before the current era was observed, since the answer is late, or if
        the read may be stale. In the answer to a later call it replaces the
        current era, which then was not the store's: one wrong header must not
        make the router reject all of the store's answers from then on.

        Args:
            values: Values of the answer's era headers, one for each header.
            began_at: Monotonic time at which the call began.
            stale: Whether the answer may be stale.

        Returns:
            The era of the answer.

        Raises:
            EarlierEraError: The answer is of an earlier era and is late or
                stale.
        """
        named = read_era(values)
        with self._lock:
            previous = self.era
            if named is None:
                self.unreadable += bool(values or previous)
                return previous
            if named == previous:
                return named
            if named < previous and (stale or began_at <= self.since):
                self.stale_answers += 1
                raise EarlierEraError(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    f"answer is of era {named}, but the store is in {previous}",
                )
            self._set_era(named)
        self._notify(named, previous)
        return named

    def _set_era(self, era: int) -> None:
        self.restores += bool(self.era)
        self.era = era
        self.since = self.clock.now()

    def _notify(self, era: int, previous: int) -> None:
        if not previous:
            log.info("store era", era=era)
            return
        log.warning(
            "store restored from an older copy", era=era, before=previous
        )
        for listener in self.on_restore:
            listener()


def read_era(values: Sequence[str]) -> int | None:
    """Parse the values of the era headers; None unless they agree on one."""
    if len(set(values)) != 1:
        return None
    text = values[0].strip()
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(MAX_ERA)):
        return None
    era = int(text)
    return era if era <= MAX_ERA else None
