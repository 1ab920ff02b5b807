"""Worst-case propagation delays of a router, checked against its bounds.

An operator's bounds hold once a router was undisturbed for the contact time.
So each path by which a change propagates must end within the contact time
after the disturbance that delays it, or without a disturbance within the bound
itself. The delays are summed up here from the constants and settings that the
router uses, so that tests show a constant that breaks a bound.
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
from lacewingdock.components.traffic_shifting.const import (
    FORCE_BEFORE_S,
    REPORT_BAD_S,
    ROUND_S,
)
from lacewingdock.components.upstreams.directory import LAPSE_S
from lacewingdock.components.upstreams.pool import CONNECT_S
from lacewingdock.world.host import Bounds

# Pause between two watches, in seconds. Changes of the configuration and of
# instances often come in bursts: at a start, at a release, in a storm of
# changes. Batched for this long they cost one call; both bounds are seconds.
CHANGES_PAUSE_S: Final = 0.25
# Pause between two watches of roll-out reports, in seconds. Every router writes
# reports during a roll-out; batched for this long they cost one call instead
# of one each.
REPORTS_PAUSE_S: Final = 0.8
# Seconds until an undisturbed call is answered: the round trip, reading a list,
# and the scheduling delay of a busy router.
ANSWER_S: Final = 0.2
# Margin of the contact time, in seconds, with the longest allowed watch.
WATCH_MARGIN_S: Final = 0.1
# Shortest watch, in seconds, where the contact time leaves less: the platform's
# rate limits allow a few routers one call every 0.2 s.
MIN_WATCH_S: Final = 0.2
# Seconds between checks in an outage whether the store has answered a call for
# another kind; a kind whose own call is deferred makes them.
RECOVERY_CHECK_INTERVAL_S: Final = 0.1
# Margin, in seconds, for a router that calls the store since its copy became
# too old: it may be busy, and may have begun to sleep just before.
FOLLOW_MARGIN_S: Final = 0.2
# Shortest renewal interval of a watcher, in seconds; a watcher that calls more
# often would put too much load on the platform.
MIN_RENEW_S: Final = 0.3
# Tolerance, in seconds, for rounding errors in sums of seconds.
ROUNDING_S: Final = 1e-6
# Renewal intervals that the shortest outage in which entries expire lasts: an
# entry expires after three intervals without renewal, so two can be enough.
LAPSE_INTERVALS: Final = 2
# Renewal intervals without a heartbeat after which an instance's entry expires.
ENTRY_EXPIRY_INTERVALS: Final = 3
# Seconds between checks whether missing entries are no longer in doubt.
LAPSE_CHECK_INTERVAL_S: Final = 0.2
# Seconds before the end of the contact time at which the doubt about missing
# entries ends: one check interval, and the delay of a busy router.
DOUBT_MARGIN_S: Final = LAPSE_CHECK_INTERVAL_S + 0.1


def watch_s(bounds: Bounds) -> float:
    """Return how long a watch of a kind with a bound may wait, in seconds.

    The connection of a watch may have gone silent while new connections work.
    The watch must end, and a call on a new connection must be answered, within
    the contact time.
    """
    return _longest_watch_s(bounds.contact_s)


def cordons_watch_s(bounds: Bounds) -> float:
    """Return how long a watch of cordons may wait, in seconds.

    A cordon that a disturbance hides was set after the disturbance began, so
    the cordon's own bound applies if it is longer than the contact time. A
    longer watch saves calls of each watcher.
    """
    return _longest_watch_s(_disturbed_cordon_s(bounds))


def _longest_watch_s(within_s: float) -> float:
    rest = CHANGES_PAUSE_S + WATCH_GRACE_S + RETRY_S + ANSWER_S + WATCH_MARGIN_S
    return max(within_s - rest, MIN_WATCH_S)


def _disturbed_cordon_s(bounds: Bounds) -> float:
    """Return within how many seconds a disturbed cordon must be in force."""
    return max(bounds.contact_s, bounds.cordon_s)


def entries_watch_s(bounds: Bounds) -> float:
    """Return how long a watch of instances' entries may wait, in seconds.

    An outage in which entries expire must be detected by a failed call.
    Otherwise each missing entry counts as an instance that left, and all
    requests are refused until the entries are written again. So a watch that
    began before such an outage, and fails in it, must end within it.
    """
    shortest_outage_s = LAPSE_INTERVALS * bounds.renewal_s
    longest_s = max(shortest_outage_s - WATCH_GRACE_S - RETRY_S, MIN_WATCH_S)
    return min(watch_s(bounds), longest_s)


def transfer_s(bounds: Bounds) -> float:
    """Return how long an answer may take from its first byte, in seconds.

    A change that takes longer is not in force in time in any case, and another
    router may have it by then.
    """
    return bounds.contact_s + bounds.apply_s


def entry_expiry_s(bounds: Bounds) -> float:
    """Return when a router knows that an entry is not renewed, in seconds."""
    return ENTRY_EXPIRY_INTERVALS * bounds.renewal_s + LAPSE_S


def unrenewed_entry_s(bounds: Bounds) -> float:
    """Return how long a router sees an entry that is not renewed, in seconds.

    The store and the router are undisturbed then.
    """
    silence_s = ENTRY_EXPIRY_INTERVALS * bounds.renewal_s
    return silence_s + CHANGES_PAUSE_S + ANSWER_S + WATCH_MARGIN_S


def follow_limit_s(bounds: Bounds) -> float:
    """Return how old a copy may grow on watchers' reports, in seconds.

    A watcher that confirms the copy may be cut off, freeze or die at any
    moment, which does not count as a disturbance of other routers. At this age
    a router calls the store itself, and the answer must be in force within the
    bounds. The call may hang on a connection that went silent; it must then be
    repeated within the contact time.
    """
    bound_s = min(bounds.drain_s - CONNECT_S, bounds.apply_s, bounds.revoke_s)
    return _follow_limit_s(bound_s, bounds.contact_s)


def follow_cordons_limit_s(bounds: Bounds) -> float:
    """Return how old a copy of cordons may grow on watchers' reports."""
    bound_s = bounds.cordon_s - CONNECT_S
    return _follow_limit_s(bound_s, _disturbed_cordon_s(bounds))


def _follow_limit_s(bound_s: float, disturbed_s: float) -> float:
    silent_s = POLL_TIMEOUT_S + RETRY_S + ANSWER_S + FOLLOW_MARGIN_S
    return min(bound_s - ANSWER_S - FOLLOW_MARGIN_S, disturbed_s - silent_s)


def renew_s(bounds: Bounds, limit_s: float | None = None) -> float:
    """Return how old a watcher's copy may grow between its own calls.

    A follower's copy is older by two query intervals if the first query is
    lost.

    Args:
        bounds: The router's propagation bounds.
        limit_s: Highest age of a follower's copy, in seconds; by default that
            of the kinds with the shortest bounds.

    Returns:
        Seconds; 0 if the bounds are too short for relaying.
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
    """Return after how many seconds in an outage a kind is called for anyway.

    Until then the calls for another kind, or those of the watchers, detect the
    store's recovery, so that in an outage only a few routers call it.
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
    """Return how many seconds after a failed call missing entries are doubted.

    An entry in doubt is kept, since it may have expired in the outage.
    """
    return bounds.contact_s - DOUBT_MARGIN_S


def restored_doubt_s(bounds: Bounds) -> float:
    """Return how many seconds missing entries are doubted after a restore.

    Counted from the last answer before the store was restored from a copy, the
    earliest moment at which the restore can have happened. An instance whose
    entry is removed once the contact time is over must get no more work within
    the drain bound.
    """
    rest_s = CHANGES_PAUSE_S + ANSWER_S + DOUBT_MARGIN_S
    return bounds.contact_s + bounds.drain_s - rest_s


@dataclass(slots=True, frozen=True)
class Delay:
    """A step of a propagation path and its longest duration in seconds."""

    name: str
    seconds: float


_PAUSE: Final = Delay("pause between watches", CHANGES_PAUSE_S)
_ANSWER: Final = Delay("answer", ANSWER_S)
_WATCH_DELAYS: Final = (_PAUSE, _ANSWER)
_RELAY_DELAYS: Final = (
    Delay("query of a follower", 2 * QUERY_INTERVAL_S),
    Delay("fetch from the watcher", PULL_TIMEOUT_S),
)


@dataclass(slots=True, frozen=True)
class PropagationPath:
    """One path by which a change propagates until it is in force.

    Attributes:
        promise: The guarantee to operators that depends on the change.
        name: Description of the path.
        delays: The steps of the path, in order.
        bound: Name of the setting that limits the path.
        bound_s: Value of that setting, in seconds.
    """

    promise: str
    name: str
    delays: tuple[Delay, ...]
    bound: str
    bound_s: float

    def __str__(self) -> str:
        """Return a message that names the bound and the worst case."""
        return (
            f"{self.bound} {self.bound_s:g} s: {self.promise}: {self.name}"
            f" may take {self.worst_s:.2f} s"
        )

    @property
    def worst_s(self) -> float:
        """The longest time that the path can take, in seconds."""
        return sum(delay.seconds for delay in self.delays)

    @property
    def margin_s(self) -> float:
        """The seconds left of the bound; below 0 the bound may be broken."""
        return self.bound_s - self.worst_s


def propagation_paths(bounds: Bounds) -> list[PropagationPath]:
    """Return the paths of all changes with a propagation bound.

    Paths that a disturbance delays are limited by the contact time, the others
    by the bound of the promise. A call without an answer counts with its full
    timeout, an answered call with `ANSWER_S`.
    """
    return [
        *_paths_of_entries(bounds),
        *_paths_of_cordons(bounds),
        *_paths_of_configuration(bounds),
        *_paths_of_roll_outs(bounds),
    ]


def paths_over_bound(bounds: Bounds) -> list[PropagationPath]:
    """Return the paths that may take longer than their bound allows."""
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
        PropagationPath(promise, "received by a watch", watch_delays, *drain),
        PropagationPath(
            promise,
            "received after other routers were asked for a missing entry",
            (
                Delay(
                    "queries to other routers",
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
                Delay(
                    "check whether the doubt is over", LAPSE_CHECK_INTERVAL_S
                ),
            ),
            "contact",
            bounds.contact_s,
        ),
        PropagationPath(
            promise,
            "entry missing since the store was restored from a copy",
            (
                Delay("doubt after the last answer", restored_doubt_s(bounds)),
                Delay(
                    "check whether the doubt is over", LAPSE_CHECK_INTERVAL_S
                ),
            ),
            "contact and drain",
            bounds.contact_s + bounds.drain_s,
        ),
    ]


def _paths_of_cordons(bounds: Bounds) -> list[PropagationPath]:
    """Return the paths of a cordon; empty if none are ever set."""
    if not bounds.cordon_s:
        return []
    promise = "a cordoned failure domain gets no work"
    cordon = ("cordon", bounds.cordon_s)
    connection = Delay("connection to the instance", CONNECT_S)
    watch_delays = (*_WATCH_DELAYS, connection)
    disturbed = ("cordon", _disturbed_cordon_s(bounds))
    return [
        PropagationPath(promise, "received by a watch", watch_delays, *cordon),
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
            promise,
            "received by a watch",
            _WATCH_DELAYS,
            "apply",
            bounds.apply_s,
        ),
        PropagationPath(
            "a revoked key is rejected",
            "received by a watch",
            _WATCH_DELAYS,
            "revoke",
            bounds.revoke_s,
        ),
        *_disturbed_paths(promise, watch_s(bounds), bounds),
        *_relayed_paths(promise, (), ("apply", bounds.apply_s), bounds),
    ]


def _paths_of_roll_outs(bounds: Bounds) -> list[PropagationPath]:
    evaluation = Delay("evaluation round", ROUND_S)
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
    evaluation = Delay("evaluation round", ROUND_S)
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
                    "queries to other routers",
                    ROUTERS_PER_PULL * PULL_TIMEOUT_S,
                ),
                Delay("longest pause in an outage", outage_pause_s(bounds)),
                Delay(
                    "check whether the store is back", RECOVERY_CHECK_INTERVAL_S
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
    """Return the paths of a change that watchers relay; empty without relay."""
    if renew_s(bounds) <= 0.0:
        return []
    if limit_s is None:
        limit_s = follow_limit_s(bounds)
    relayed = (*_WATCH_DELAYS, *_RELAY_DELAYS)
    old = (
        Delay("age at which a follower asks the store", limit_s),
        Delay("check of the age", FOLLOW_MARGIN_S),
    )
    again = (
        Delay("call that hangs", POLL_TIMEOUT_S),
        Delay("pause after a failure", RETRY_S),
    )
    contact = within or ("contact", bounds.contact_s)
    return [
        PropagationPath(
            promise, "reported by a watcher", relayed + then, *bound
        ),
        PropagationPath(
            promise, "watchers are silent", (*old, _ANSWER, *then), *bound
        ),
        PropagationPath(
            promise,
            "watchers and the connection are silent",
            (*old, *again, _ANSWER),
            *contact,
        ),
    ]
