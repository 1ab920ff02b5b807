"""Support for the worst-case propagation delays of a router.

An operator's bounds hold once a router was undisturbed for the contact time.
So each path by which a change propagates must end within that time of the
disturbance that delays it, and without one within the bound itself. The delays
are added up here from the constants and settings that the router runs by, so
that a constant that breaks a bound is seen when it is written.
"""

from dataclasses import dataclass
from typing import Final

from lacewingdock.components.mirror import (
    POLL_TIMEOUT_S,
    RETRY_LIMIT_S,
    RETRY_S,
    WATCH_GRACE_S,
)
from lacewingdock.components.relay.const import MIN_LIMIT_PART, QUERY_INTERVAL_S
from lacewingdock.components.routers import PULL_TIMEOUT_S, ROUTERS_PER_PULL
from lacewingdock.components.shifts.const import (
    FORCE_BEFORE_S,
    REPORT_BAD_S,
    ROUND_S,
)
from lacewingdock.components.upstreams.pool import CONNECT_S
from lacewingdock.world.host import Bounds

# Changes of the configuration and of instances often come several at a time: at
# a start, a release, a storm of changes. Gathered for this long they cost one
# call; the bounds on both are seconds.
CHANGES_PAUSE_S: Final = 0.25
# Reports come from every router while a roll-out is under way; gathered for
# this long they cost one call instead of one each.
REPORTS_PAUSE_S: Final = 0.8
# What an answer takes that nothing disturbs: the round trip, the reading of a
# list, and the turns of a busy router's other tasks.
ANSWER_S: Final = 0.2
# What is left over of the contact time where a watch is as long as it may be.
WATCH_MARGIN_S: Final = 0.1
# The shortest watch, where the contact time leaves less: a call each fifth of a
# second is what the platform's rates bear of a few routers.
MIN_WATCH_S: Final = 0.2
# How often a kind that is not asked for in an outage looks whether another one
# was answered.
RECOVERY_CHECK_INTERVAL_S: Final = 0.1
# What is left over where a router asks the store since its copy grew too old:
# it may be busy, and have fallen asleep a moment before.
FOLLOW_MARGIN_S: Final = 0.2
# A watcher that had to call more often would be one of the platform's burdens.
MIN_RENEW_S: Final = 0.3
# Sums of seconds are rounded.
ROUNDING_S: Final = 1e-6
# An entry runs out after three intervals of silence, so after an outage of two.
LAPSE_INTERVALS: Final = 2
# How often it is looked whether doubt is over.
LAPSE_CHECK_INTERVAL_S: Final = 0.2
# Doubt ends this long before the contact time does: a look, and what a busy
# router takes for it.
DOUBT_MARGIN_S: Final = LAPSE_CHECK_INTERVAL_S + 0.1


def watch_s(bounds: Bounds) -> float:
    """Return how long a watch of a bound kind may wait, in seconds.

    A watch may be deaf: its connection went silent while new ones work. It
    must end, and a call on a new connection be answered, within the contact
    time.
    """
    return _longest_watch_s(bounds.contact_s)


def cordons_watch_s(bounds: Bounds) -> float:
    """Return how long a watch of cordons may wait, in seconds.

    A cordon that a disturbance hid was set after it began, so its own bound
    holds where that is the longer one. Fewer calls a watcher are the gain.
    """
    return _longest_watch_s(_disturbed_cordon_s(bounds))


def _longest_watch_s(within_s: float) -> float:
    rest = CHANGES_PAUSE_S + WATCH_GRACE_S + RETRY_S + ANSWER_S + WATCH_MARGIN_S
    return max(within_s - rest, MIN_WATCH_S)


def _disturbed_cordon_s(bounds: Bounds) -> float:
    """Return the seconds in which a cordon must be known, if disturbed."""
    return max(bounds.contact_s, bounds.cordon_s)


def entries_watch_s(bounds: Bounds) -> float:
    """Return how long a watch of instances' entries may wait, in seconds.

    An outage in which entries run out must show in a call that does not wait,
    or each missing entry is taken for an instance that left, and all requests
    are refused until the entries are back. So a watch that began before such
    an outage, and failed in it, ends within it.
    """
    shortest_outage_s = LAPSE_INTERVALS * bounds.renewal_s
    longest_s = max(shortest_outage_s - WATCH_GRACE_S - RETRY_S, MIN_WATCH_S)
    return min(watch_s(bounds), longest_s)


def follow_limit_s(bounds: Bounds) -> float:
    """Return how old a copy may grow by other routers' word, in seconds.

    Whoever vouches for it may be cut off, freeze or die at any moment, which
    disturbs nobody else: at that age a router asks the store itself, and the
    answer must be in force within the bounds. It may hang on a connection
    that went silent, and be asked again within the contact time.
    """
    bound_s = min(bounds.drain_s - CONNECT_S, bounds.apply_s, bounds.revoke_s)
    return _follow_limit_s(bound_s, bounds.contact_s)


def follow_cordons_limit_s(bounds: Bounds) -> float:
    """Return how old a copy of cordons may grow so, in seconds."""
    bound_s = bounds.cordon_s - CONNECT_S
    return _follow_limit_s(bound_s, _disturbed_cordon_s(bounds))


def _follow_limit_s(bound_s: float, disturbed_s: float) -> float:
    silent_s = POLL_TIMEOUT_S + RETRY_S + ANSWER_S + FOLLOW_MARGIN_S
    return min(bound_s - ANSWER_S - FOLLOW_MARGIN_S, disturbed_s - silent_s)


def renew_s(bounds: Bounds, limit_s: float | None = None) -> float:
    """Return how old a watcher's copy may grow by its own calls, in seconds.

    What it tells is older by two questions where the first is lost. Nothing
    where the bounds are too short for following.

    Args:
        bounds: What the router is held to.
        limit_s: How old a follower's copy may grow; by default that of the
            kinds with the shortest bounds.
    """
    reports_s = sum(one.seconds for one in _delays_of_reports(_RELAY_DELAYS))
    if reports_s > bounds.rollback_s:
        return 0.0
    if limit_s is None:
        limit_s = follow_limit_s(bounds)
    left_s = (
        limit_s * MIN_LIMIT_PART
        - 2 * QUERY_INTERVAL_S
        - ANSWER_S
        - WATCH_MARGIN_S
    )
    return left_s if left_s >= MIN_RENEW_S else 0.0


def outage_pause_s(bounds: Bounds) -> float:
    """Return after how long in an outage a kind is asked for in any case.

    Until then another kind's calls, or the watchers', find out whether the
    store is back: an outage costs calls of a few routers, not of all.
    """
    rest = (
        POLL_TIMEOUT_S
        + ROUTERS_PER_PULL * PULL_TIMEOUT_S
        + RECOVERY_CHECK_INTERVAL_S
        + ANSWER_S
        + WATCH_MARGIN_S
    )
    return max(bounds.contact_s - rest, RETRY_LIMIT_S)


def doubt_s(bounds: Bounds) -> float:
    """Return how long after a failed call missing entries may be doubted."""
    return bounds.contact_s - DOUBT_MARGIN_S


def restored_doubt_s(bounds: Bounds) -> float:
    """Return how long missing entries may be doubted after a return.

    Counted from the last answer before the store came back from a copy, which
    is the earliest moment at which that can have been. An entry that goes once
    the contact time is over must be left within the time for that.
    """
    rest_s = CHANGES_PAUSE_S + ANSWER_S + DOUBT_MARGIN_S
    return bounds.contact_s + bounds.drain_s - rest_s


@dataclass(slots=True, frozen=True)
class Delay:
    """A step of a path and the seconds that it takes at the most."""

    name: str
    seconds: float


_PAUSE: Final = Delay("pause between watches", CHANGES_PAUSE_S)
_ANSWER: Final = Delay("answer", ANSWER_S)
_WATCH_DELAYS: Final = (_PAUSE, _ANSWER)
_RELAY_DELAYS: Final = (
    Delay("question of a follower", 2 * QUERY_INTERVAL_S),
    Delay("fetch from the watcher", PULL_TIMEOUT_S),
)


@dataclass(slots=True, frozen=True)
class PropagationPath:
    """One path by which a change comes into force.

    Attributes:
        promise: What depends on the change.
        name: The path.
        delays: Its steps, one after the other.
        bound: Name of the setting that it is held to.
        bound_s: Its seconds.
    """

    promise: str
    name: str
    delays: tuple[Delay, ...]
    bound: str
    bound_s: float

    def __str__(self) -> str:
        """Tell which bound it may break."""
        return (
            f"{self.bound} {self.bound_s:g} s: {self.promise}: {self.name}"
            f" may take {self.worst_s:.2f} s"
        )

    @property
    def worst_s(self) -> float:
        """The seconds that it takes at the most."""
        return sum(delay.seconds for delay in self.delays)

    @property
    def margin_s(self) -> float:
        """The seconds that are left of the bound; below 0 it may be broken."""
        return self.bound_s - self.worst_s


def propagation_paths(bounds: Bounds) -> list[PropagationPath]:
    """Return the paths of all changes that are bound to a moment.

    Paths that a disturbance delays are held to the contact time, the others to
    the promise's own bound. A call that gets no answer counts with its whole
    timeout, one that is answered with `ANSWER_S`.
    """
    return [
        *_paths_of_entries(bounds),
        *_paths_of_cordons(bounds),
        *_paths_of_configuration(bounds),
        *_paths_of_roll_outs(bounds),
    ]


def paths_over_bound(bounds: Bounds) -> list[PropagationPath]:
    """Return the paths that may take longer than their bound."""
    return [
        path
        for path in propagation_paths(bounds)
        if path.margin_s < -ROUNDING_S
    ]


def _paths_of_entries(bounds: Bounds) -> list[PropagationPath]:
    promise = "a leaving instance gets no work"
    drain = ("drain", bounds.drain_s)
    watch_delays = (
        *_WATCH_DELAYS,
        Delay("connection to the instance", CONNECT_S),
    )
    return [
        PropagationPath(promise, "heard by a watch", watch_delays, *drain),
        PropagationPath(
            promise,
            "heard after others were asked for a missing entry",
            (
                Delay(
                    "questions to other routers",
                    ROUTERS_PER_PULL * PULL_TIMEOUT_S,
                ),
                *watch_delays,
            ),
            *drain,
        ),
        *_disturbed_paths(promise, entries_watch_s(bounds), bounds),
        *_relayed_paths(
            promise, (Delay("connection", CONNECT_S),), drain, bounds
        ),
        PropagationPath(
            promise,
            "entry missing after an outage",
            (
                Delay("doubt after the last failed call", doubt_s(bounds)),
                Delay("look whether doubt is over", LAPSE_CHECK_INTERVAL_S),
            ),
            "contact",
            bounds.contact_s,
        ),
        PropagationPath(
            promise,
            "entry missing since the store's return from a copy",
            (
                Delay("doubt after the last answer", restored_doubt_s(bounds)),
                Delay("look whether doubt is over", LAPSE_CHECK_INTERVAL_S),
            ),
            "contact and drain",
            bounds.contact_s + bounds.drain_s,
        ),
    ]


def _paths_of_cordons(bounds: Bounds) -> list[PropagationPath]:
    """Return the paths of a cordon; none where none is ever set."""
    if not bounds.cordon_s:
        return []
    promise = "a cordoned failure domain gets no work"
    cordon = ("cordon", bounds.cordon_s)
    connection = Delay("connection to the instance", CONNECT_S)
    watch_delays = (*_WATCH_DELAYS, connection)
    disturbed = ("cordon", _disturbed_cordon_s(bounds))
    return [
        PropagationPath(promise, "heard by a watch", watch_delays, *cordon),
        *_disturbed_paths(promise, cordons_watch_s(bounds), bounds, disturbed),
        *_relayed_paths(
            promise,
            (connection,),
            cordon,
            bounds,
            follow_cordons_limit_s(bounds),
            disturbed,
        ),
    ]


def _paths_of_configuration(bounds: Bounds) -> list[PropagationPath]:
    promise = "a configuration is in force"
    return [
        PropagationPath(
            promise, "heard by a watch", _WATCH_DELAYS, "apply", bounds.apply_s
        ),
        PropagationPath(
            "a key that was taken away opens nothing",
            "heard by a watch",
            _WATCH_DELAYS,
            "revoke",
            bounds.revoke_s,
        ),
        *_disturbed_paths(promise, watch_s(bounds), bounds),
        *_relayed_paths(promise, (), ("apply", bounds.apply_s), bounds),
    ]


def _paths_of_roll_outs(bounds: Bounds) -> list[PropagationPath]:
    evaluation = Delay("round of judging", ROUND_S)
    write = Delay("write", ANSWER_S)
    return [
        *_paths_of_bad_version(bounds),
        PropagationPath(
            "a good version is completed by its deadline",
            "completion is forced",
            (evaluation, write),
            "time kept before the deadline",
            FORCE_BEFORE_S,
        ),
    ]


def _paths_of_bad_version(bounds: Bounds) -> list[PropagationPath]:
    paths = {"reports in the store": _delays_of_reports(())}
    if renew_s(bounds) > 0.0:
        relay_delays = _delays_of_reports(_RELAY_DELAYS)
        paths["reports that a watcher reads"] = relay_delays
    return [
        PropagationPath(
            "a bad version gets nothing after fifty bad answers",
            name,
            delays,
            "rollback",
            bounds.rollback_s,
        )
        for name, delays in paths.items()
    ]


def _delays_of_reports(relay_delays: tuple[Delay, ...]) -> tuple[Delay, ...]:
    evaluation = Delay("round of judging", ROUND_S)
    write = Delay("write", ANSWER_S)
    return (
        Delay("pause between reports of bad answers", REPORT_BAD_S),
        evaluation,
        write,
        Delay("pause between watches of reports", REPORTS_PAUSE_S),
        _ANSWER,
        *relay_delays,
        evaluation,
        write,
        _ANSWER,
    )


def _disturbed_paths(
    promise: str,
    wait_s: float,
    bounds: Bounds,
    within: tuple[str, float] | None = None,
) -> list[PropagationPath]:
    """Return the paths of a change that a disturbance delays."""
    contact = within or ("contact", bounds.contact_s)
    wait = (_PAUSE, Delay("watch", wait_s))
    return [
        PropagationPath(
            promise,
            "connection went silent",
            (
                *wait,
                Delay("grace of the watch", WATCH_GRACE_S),
                Delay("pause after a failure", RETRY_S),
                _ANSWER,
            ),
            *contact,
        ),
        PropagationPath(
            promise, "history was dropped", (*wait, _ANSWER, _ANSWER), *contact
        ),
        PropagationPath(
            promise,
            "store answers again",
            (
                Delay("call that hangs", POLL_TIMEOUT_S),
                Delay(
                    "questions to other routers",
                    ROUTERS_PER_PULL * PULL_TIMEOUT_S,
                ),
                Delay("longest pause in an outage", outage_pause_s(bounds)),
                Delay(
                    "look whether the store is back", RECOVERY_CHECK_INTERVAL_S
                ),
                _ANSWER,
            ),
            *contact,
        ),
    ]


def _relayed_paths(
    promise: str,
    then: tuple[Delay, ...],
    bound: tuple[str, float],
    bounds: Bounds,
    limit_s: float | None = None,
    within: tuple[str, float] | None = None,
) -> list[PropagationPath]:
    """Return the paths of a change that watchers pass on, if any do."""
    if renew_s(bounds) <= 0.0:
        return []
    if limit_s is None:
        limit_s = follow_limit_s(bounds)
    relayed = (*_WATCH_DELAYS, *_RELAY_DELAYS)
    old = (
        Delay("age at which a follower asks the store", limit_s),
        Delay("look at the age", FOLLOW_MARGIN_S),
    )
    again = (
        Delay("call that hangs", POLL_TIMEOUT_S),
        Delay("pause after a failure", RETRY_S),
    )
    contact = within or ("contact", bounds.contact_s)
    return [
        PropagationPath(promise, "told by a watcher", relayed + then, *bound),
        PropagationPath(
            promise, "watchers say nothing", (*old, _ANSWER, *then), *bound
        ),
        PropagationPath(
            promise,
            "watchers and the connection say nothing",
            (*old, *again, _ANSWER),
            *contact,
        ),
    ]
