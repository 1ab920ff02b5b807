"""Properties of the claims under any order of failures.

Symptom: a shopper's slot is confirmed twice, or "not run" is said of a slot
that was confirmed. Sequence: any order of sends to any home, lost, late and
failed writes, takeovers, pauses, deaths and planned stops. Cause: a home that
runs a key without the platform's word, or that speaks for a key it may have
lost.
"""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.claims import Recorded
from lacewingdock.components.claims import partition as partition_module
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from tests.components.claims.fakes import FakeHome, PlatformStore

ANY_HOME = st.integers(0, 2)
# Most callers ask whoever is home; some have older news.
ASKED = st.sampled_from(["home", "home", "home", "old", "old", 0])
KEYS = st.sampled_from("aaab")
OUTCOMES = st.sampled_from(["done", "not_run", "unknown"])
FATES = st.one_of(
    st.just([]),
    st.lists(st.sampled_from(["fail", "lost", "late", "ok"]), max_size=3),
)
SEND = st.tuples(st.just("send"), ASKED, KEYS, st.sampled_from("xxxxxy"), FATES)
RUN = st.tuples(st.just("run"), st.integers(0, 5), OUTCOMES, FATES)
TAKE = st.tuples(st.just("take"), ANY_HOME, st.booleans(), FATES)
EVENTS = st.one_of(
    SEND,
    SEND,
    SEND,
    SEND,
    RUN,
    RUN,
    RUN,
    TAKE,
    TAKE,
    st.tuples(st.just("take_in_write"), ANY_HOME, KEYS),
    st.tuples(st.just("race"), ANY_HOME, KEYS, OUTCOMES, st.booleans()),
    st.tuples(st.just("die"), ASKED),
    st.tuples(st.just("leave")),
    st.tuples(st.just("write_again"), ANY_HOME),
    st.tuples(st.just("look"), ANY_HOME),
    st.tuples(st.just("deliver_late")),
    st.tuples(st.just("outage"), st.sampled_from([False, False, True])),
)


class Scene:
    """Three sidecars, one partition, two keys, and a failing platform."""

    def __init__(self):
        self.store = PlatformStore()
        self.homes = [FakeHome(self.store, f"home-{n}") for n in range(3)]
        self.booked = Counter()
        self.starts = 0
        # Homes that were taken over while they ran and answered no probe:
        # the network between the sidecars failed, not the home.
        self.cut = set()

    def find(self, asked):
        """Return a number; "home" is home now, "old" believes to be."""
        if asked not in ("home", "old"):
            return asked
        held = {
            n: home.partition.head.term
            for n, home in enumerate(self.homes)
            if home.partition is not None
        }
        if not held and not self.store.down:
            self.homes[0].take()
        choose = max if asked == "home" else min
        return choose(held, key=held.get, default=0)

    def send(self, asked, key, slot, fates):
        """A caller sends a key, for the first time or again."""
        home = self.find(asked)
        self.store.plan = list(fates)
        result = self.homes[home].send(key, slot)
        self.store.plan = []
        if isinstance(result, Recorded):
            assert self.booked[key], f"{key} has an outcome and never ran"
        if isinstance(result, LacewingdockError) and result.ran == "no":
            self.check_not_run(home, key, result)

    def check_not_run(self, home, key, error):
        """Check a refusal that says "not run"."""
        if error.kind is ErrorKind.KEY_REUSED or home in self.cut:
            return
        assert not self.booked[key], f"{error.kind} says {key} did not run"

    def run(self, which, outcome, fates):
        """A granted run goes on, maybe long after: its home was paused."""
        granted = [(h, run) for h in self.homes for run in h.granted]
        if not granted:
            return
        home, run = granted[which % len(granted)]
        self.store.plan = list(fates)
        home.run(run, self.booked, outcome)
        self.store.plan = []

    def take(self, taker, paused, fates):
        """A sidecar presumes the home dead; the home may only be paused."""
        if self.store.down:
            return
        for number, home in enumerate(self.homes):
            if number == taker or home.partition is None:
                continue
            if paused:
                # What thawing after a long pause looks like.
                home.claims.ticked = -1e9
            else:
                self.cut.add(number)
        self.store.plan = list(fates)
        self.homes[taker].take()
        self.store.plan = []

    def take_in_write(self, taker, key):
        """The takeover's write comes between a claim's start and its write."""
        home = self.find("home")
        if taker != home:
            self.store.before_write = lambda: self.take(taker, True, [])
            self.send(home, key, "x", [])
            self.store.before_write = None

    def race(self, taker, key, outcome, down):
        """The next home runs a key, then the paused one is asked for it."""
        self.take(taker, True, [])
        self.send("home", key, "x", [])
        self.run(0, outcome, [])
        self.store.down = down
        self.send("old", key, "x", [])
        self.run(0, outcome, [])

    def die(self, asked):
        """A home dies, with whatever it was about to run, and starts anew."""
        number = self.find(asked)
        self.homes[number].die()
        self.starts += 1
        name = f"home-{number}"
        self.homes[number] = FakeHome(self.store, name, self.starts)
        self.cut.discard(number)

    def leave(self):
        """The home stops as planned."""
        home = self.homes[self.find("home")]
        if not home.granted:
            home.claims.unload()

    def write_again(self, home):
        """The home's retry comes round."""
        self.homes[home].claims.write_again()

    def look(self, home):
        """A sidecar's look comes round."""
        if not self.store.down:
            self.homes[home].claims.takeover.look()

    def deliver_late(self):
        """A write under way takes effect, if it still can."""
        self.store.deliver_late()

    def outage(self, down):
        """The platform goes down or comes back."""
        self.store.down = down


@settings(derandomize=True, deadline=None, max_examples=400)
@given(events=st.lists(EVENTS, min_size=12, max_size=30))
def test_each_key_runs_at_most_once_and_not_run_is_true(events):
    partition_module.COMMIT_GAP_S = 0.0
    scene = Scene()
    scene.homes[0].take()
    for name, *arguments in events:
        getattr(scene, name)(*arguments)
        assert all(n <= 1 for n in scene.booked.values()), scene.booked
