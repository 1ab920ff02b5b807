"""Support for the eras of the platform's store.

The store may come back from an older copy of itself. What it acknowledged
since is lost then, and its revisions go back and are given out again. Each of
its answers names the era of the history that it is from, which is one higher
after each such return.
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
    """An answer of a history that the store has lost since; it says nothing."""


class StoreEras:
    """The era that the store's answers name; safe to use from any task.

    Attributes:
        clock: The time it goes by.
        era: The era; 0 where no answer named one.
        since: Monotonic time at which it was first named.
        returns: How often it changed.
        passed_over: Answers of an earlier era.
        odd: Answers that named none after others did, or nothing readable.
        on_return: Called when the era changes, by the task that learns of it.
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
        """Start without a known era."""
        self.clock = clock
        self.era = 0
        self.since = 0.0
        self.restores = 0
        self.stale_answers = 0
        self.unreadable = 0
        self.on_restore: list[Callable[[], None]] = []
        self._lock = threading.Lock()

    def observe_peer_era(self, era: int) -> None:
        """Take the era of another router's copy, which may be ahead.

        This router's own answers take it back if the store never had it.
        """
        with self._lock:
            before = self.era
            if era <= before:
                return
            self._enter(era)
        self._tell(era, before)

    def observe(
        self, values: Sequence[str], began: float, *, stale: bool = False
    ) -> int:
        """Take what an answer says.

        One without a readable era counts as of the known one: the store's own
        answers all bear it, and what is no answer of the store's must not
        keep this router from the others.

        An earlier era than the known one is that of a late answer, to a call
        that began before the store's return, or of a read that may be behind.
        Named in answer to a later call, it is the store's, and the known one
        was not: an answer that was none of its own must not make a router deaf
        for good.

        Args:
            values: The values of its header, one each time that it has it.
            began: Monotonic time at which the call began.
            stale: Whether the answer may be behind.

        Returns:
            The era of the answer.

        Raises:
            EarlierEraError: It says nothing of the present.
        """
        named = read_era(values)
        with self._lock:
            before = self.era
            if named is None:
                self.unreadable += bool(values or before)
                return before
            if named == before:
                return named
            if named < before and (stale or began <= self.since):
                self.stale_answers += 1
                raise EarlierEraError(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    f"an answer of era {named}, the store is in {before}",
                )
            self._enter(named)
        self._tell(named, before)
        return named

    def _enter(self, era: int) -> None:
        self.restores += bool(self.era)
        self.era = era
        self.since = self.clock.now()

    def _tell(self, era: int, before: int) -> None:
        if not before:
            log.info("store era", era=era)
            return
        log.warning("store back from a copy", era=era, before=before)
        for told in self.on_restore:
            told()


def read_era(values: Sequence[str]) -> int | None:
    """Return the era that a header's values name; None where they do not."""
    if len(set(values)) != 1:
        return None
    text = values[0].strip()
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(MAX_ERA)):
        return None
    era = int(text)
    return era if era <= MAX_ERA else None
