"""Support for a router that takes the store's news from its watchers."""

import math
import random
import threading
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.copies import Copy
from lacewingdock.components.relay import (
    KindState,
    Question,
    Voucher,
    mark_of,
)
from lacewingdock.components.relay.const import (
    ANSWER_WITHIN_S,
    ASKED_S,
    AWAY_S,
    HEARD_S,
    LEFT_ALONE_S,
    LOOK_S,
    MISSED,
    SERVED_S,
    SPREAD,
    WATCHERS,
)
from lacewingdock.components.relay.watchers import ranking
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.log import get_logger

log = get_logger("relay")

# An age of a copy that nothing vouches for.
NEVER: Final = -math.inf


@dataclass(slots=True)
class _Watcher:
    """A router that is asked.

    Attributes:
        number: The last question to it.
        asked_at: When that was sent; 0 once it is answered.
        missed: Questions in a row that it did not answer.
        left_until: Until when it is not asked.
    """

    number: int = 0
    asked_at: float = 0.0
    missed: int = 0
    left_until: float = 0.0


class Follower:
    """Keeps a router's copies young by what its watchers say.

    Attributes:
        name: This router's name.
        mirrors: Its mirrors by kind.
        names: Returns the names of all routers.
        fetch: Returns a router's news of a kind beyond a revision; None
            without an answer.
        limit_s: Returns how old a kind's copy may be, in seconds; 0 where
            this router watches for itself.
        clock: The time it goes by.
        news: Set when something is to be fetched.
        asked: The watcher that was asked last.
        asked_until: Until when others count on this router to watch.
        leads: Whether it is among the watchers itself.
        fetches: News fetched so far.
    """

    __slots__ = (
        "_away_until",
        "_back_at",
        "_doubt_until",
        "_doubted_at",
        "_from_store",
        "_heard_at",
        "_lock",
        "_numbers",
        "_ranked_names",
        "_ranking",
        "_served_at",
        "_spread",
        "_sure_at",
        "_wanted",
        "_watchers",
        "asked",
        "asked_until",
        "clock",
        "fetch",
        "fetches",
        "leads",
        "limit_s",
        "mirrors",
        "name",
        "names",
        "news",
    )

    def __init__(
        self,
        name: str,
        mirrors: Mapping[str, Mirror],
        names: Callable[[], Collection[str]],
        fetch: Callable[[str, str, int], Copy | None],
        limit_s: Callable[[str], float],
        source: random.Random,
        clock: Clock = STEADY,
    ) -> None:
        """Take the parts; nothing is followed before a watcher answers."""
        self.name = name
        self.mirrors = mirrors
        self.names = names
        self.fetch = fetch
        self.limit_s = limit_s
        self.clock = clock
        self.news = threading.Event()
        self.asked = ""
        self.asked_until = NEVER
        self.leads = True
        self.fetches = 0
        # Routers whose copies grow too old at the same moment ask the store
        # one after the other.
        self._spread = source.uniform(SPREAD, 1.0)
        self._watchers: dict[str, _Watcher] = {}
        self._wanted: dict[str, str] = {}
        self._numbers = source.randrange(2**31)
        self._ranked_names: frozenset[str] = frozenset()
        self._ranking: list[str] = []
        self._from_store: dict[str, int] = {}
        self._heard_at = NEVER
        self._sure_at: dict[str, float] = {}
        self._served_at = NEVER
        self._away_until = NEVER
        self._back_at = NEVER
        self._doubt_until = NEVER
        self._doubted_at = NEVER
        self._lock = threading.Lock()

    def fresh_for_s(self, kind: str) -> float:
        """Return for how many seconds a copy may be left to the watchers.

        Returns:
            Seconds; 0 where this router must ask the store itself.
        """
        now = self.clock.now()
        limit_s = self.limit_s(kind) * self._spread
        if self.watches or limit_s <= 0.0 or self.doubtful:
            return 0.0
        if now - self._heard_at > HEARD_S:
            return 0.0
        if self._waits_for_store(kind):
            return 0.0
        rest_s = self.mirrors[kind].as_of + limit_s - now
        return min(max(rest_s, 0.0), LOOK_S)

    def _waits_for_store(self, kind: str) -> bool:
        """Whether there are news that are too long to be passed on."""
        after = self._from_store.get(kind)
        if after is None:
            return False
        mirror = self.mirrors[kind]
        if (mirror.revision or 0) > after:
            del self._from_store[kind]
            return False
        # They are there, so a watch that may wait ends at once, and has the
        # time that they take on the way.
        mirror.following = False
        return True

    @property
    def watches(self) -> bool:
        """Whether this router watches for others, or for want of watchers."""
        return self.leads or self.clock.now() < self.asked_until

    @property
    def doubtful(self) -> bool:
        """Whether the store was away lately, by the watchers' words.

        One that is cut off from it alone says nothing of the store: another
        one, or this router's own calls, show that it answers.
        """
        now = self.clock.now()
        # A word from before the doubt began may come from a watcher that has
        # not noticed the outage yet.
        sure_from = max(now - HEARD_S, self._doubted_at)
        if any(at >= sure_from for at in list(self._sure_at.values())):
            return False
        is_away = now < self._away_until and now - self._served_at > SERVED_S
        return is_away or now < self._doubt_until

    def spared(self, called_at: float) -> bool:
        """Whether watchers find out whether the store answers again.

        Once it does for them, each router asks it once. One that it turns
        away alone has its watchers' news meanwhile.

        Args:
            called_at: When this router asked it last.
        """
        now = self.clock.now()
        if self.watches or now - self._heard_at > HEARD_S:
            return False
        return now < self._away_until or called_at > self._back_at

    def question(self) -> tuple[str, Question] | None:
        """Return whom to ask now, and what; None where this router watches."""
        now = self.clock.now()
        with self._lock:
            self._count_missed(now)
            chosen = self._chosen(now)
            if chosen is None:
                return None
            self._numbers += 1
            self.asked = chosen
            watcher = self._watchers.setdefault(chosen, _Watcher())
            watcher.number = self._numbers
            watcher.asked_at = now
            return chosen, Question(self.name, self._numbers)

    def hear(self, voucher: Voucher) -> None:
        """Take a watcher's answer, or its unasked news."""
        if not voucher.number:
            self._want(voucher)
            return
        with self._lock:
            watcher = self._watchers.get(voucher.router)
            if watcher is None or watcher.number != voucher.number:
                return
            if not watcher.asked_at:
                return
            asked_at, watcher.asked_at = watcher.asked_at, 0.0
            watcher.missed = 0
        self._heard_at = asked_at
        self._hear_doubt(voucher, asked_at)
        if not voucher.away:
            self._vouch(voucher, asked_at)

    def heard_of(self) -> None:
        """Note that another router counts on this one to watch."""
        self.asked_until = self.clock.now() + ASKED_S

    def store_answered(self) -> None:
        """Note that the store answers this router."""
        self._served_at = self.clock.now()

    def fetch_news(self) -> None:
        """Fetch what watchers told of."""
        self.news.clear()
        with self._lock:
            wanted, self._wanted = self._wanted, {}
        for kind, router in wanted.items():
            self._fetch(kind, router)

    def _fetch(self, kind: str, router: str) -> None:
        mirror = self.mirrors[kind]
        after, asked_at = mirror.revision, self.clock.now()
        if after is None:
            # Its first copy is the store's.
            return
        self.fetches += 1
        copy = self.fetch(router, kind, after)
        if copy is None:
            # The next answer has it fetched again, or the copy grows too old.
            return
        if not copy.sure:
            self._doubt(router, asked_at)
            self._doubt_until = max(self._doubt_until, asked_at + AWAY_S)
        if copy.too_long:
            self._from_store[kind] = after
            return
        mirror.apply_update(copy, after, asked_at)

    def _chosen(self, now: float) -> str | None:
        """Return the watcher to ask next; None where this router is one."""
        watchers: list[str] = []
        for name in self._ranked():
            known = self._watchers.get(name)
            if known is not None and known.left_until > now:
                continue
            watchers.append(name)
            if len(watchers) == WATCHERS:
                break
        self._lead(self.name in watchers)
        if self.leads or not watchers:
            return None
        return watchers[self._numbers % len(watchers)]

    def _ranked(self) -> list[str]:
        """Return the ranking, which takes 1.6 ms anew at 1,200 routers."""
        names = frozenset(self.names())
        if names != self._ranked_names:
            self._ranked_names = names
            self._ranking = ranking(names, self.name)
        return self._ranking

    def _lead(self, leads: bool) -> None:
        if leads != self.leads:
            self.leads = leads
            log.info(
                "watches" if leads else "follows",
                routers=len(self._ranked_names),
            )

    def _count_missed(self, now: float) -> None:
        """Leave those alone that do not answer."""
        for name, watcher in self._watchers.items():
            if not watcher.asked_at:
                continue
            if now - watcher.asked_at < ANSWER_WITHIN_S:
                continue
            watcher.asked_at = 0.0
            watcher.missed += 1
            if watcher.missed >= MISSED:
                watcher.missed = 0
                watcher.left_until = now + LEFT_ALONE_S
                log.info("watcher silent", watcher=name)

    def _hear_doubt(self, voucher: Voucher, asked_at: float) -> None:
        """Take whether the store answers a watcher, by its last word."""
        if not voucher.away and not voucher.doubt_ms:
            self._sure_at[voucher.router] = asked_at
            if asked_at < self._away_until:
                self._back_at = self.clock.now()
            self._away_until = NEVER
            return
        self._doubt(voucher.router, asked_at)
        if voucher.away:
            self._away_until = asked_at + AWAY_S
        else:
            doubt_s = voucher.doubt_ms / 1000
            self._doubt_until = max(self._doubt_until, asked_at + doubt_s)

    def _doubt(self, router: str, at: float) -> None:
        """Note that a watcher doubts, and when it began to."""
        if self._sure_at.pop(router, None) is not None:
            self._doubted_at = at

    def _vouch(self, voucher: Voucher, asked_at: float) -> None:
        """Take the ages of a watcher's copies."""
        for kind, state in self._states(voucher):
            as_of = asked_at - state.age_ms / 1000
            if not self.mirrors[kind].confirm_unchanged(
                state.changed, state.revision, as_of
            ):
                self._fetch_later(kind, voucher.router)

    def _want(self, voucher: Voucher) -> None:
        """Have fetched what a watcher has and this router lacks."""
        for kind, state in self._states(voucher):
            if state.changed > (self.mirrors[kind].revision or 0):
                self._fetch_later(kind, voucher.router)

    def _states(self, voucher: Voucher) -> list[tuple[str, KindState]]:
        """Return what a message says of the kinds that are mirrored here."""
        states = {one.mark: one for one in voucher.kinds}
        return [
            (kind, states[mark])
            for kind in self.mirrors
            if (mark := mark_of(kind)) in states
        ]

    def _fetch_later(self, kind: str, router: str) -> None:
        if kind in self._from_store:
            return
        with self._lock:
            self._wanted[kind] = router
        self.news.set()
