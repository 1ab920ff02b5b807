"""Results of a simulated day, and comparison of two policies."""

import functools
import math
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from lacewingdock.helpers.text_table import text_table

# Length in seconds of the windows of which the worst two are reported.
WINDOW_S: Final = 2.0


class Outcome(StrEnum):
    """Outcome of a request for its caller."""

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Row:
    """A request of a simulated day.

    Attributes:
        route: Route of the request.
        at_s: Time of its first arrival, in seconds since the start of the day.
        outcome: How the request ended.
        owed: Credit that the request could earn.
        credit: Credit that the request earned.
        first_s: Seconds to the first event; infinity if none came.
        price: Price of the models' answers, including discarded answers.
    """

    route: str
    at_s: float
    outcome: Outcome
    owed: float
    credit: float
    first_s: float
    price: float


@dataclass(slots=True, frozen=True)
class Day:
    """Results of a simulated day.

    Attributes:
        policy: Name of the routing policy.
        seed: Seed of all random generators.
        rows: The requests.
        cold_most: Peak number of requests that reached a cold engine within a
            second.
        turned_away: Attempts that reached another instance at the address.
        limited_most: Peak number of requests that reached a limited engine
            within 4 s.
    """

    policy: str
    seed: int
    rows: list[Row]
    cold_most: int
    turned_away: int
    limited_most: int = 0

    @property
    def credit(self) -> float:
        """Credit earned, as a share of the credit owed."""
        return credit_share(self.rows)

    @property
    def worst_credit(self) -> float:
        """Mean credit share of the two worst windows."""
        parts = sorted(
            credit_share(rows) for rows in by_window(self.rows).values()
        )
        return statistics.fmean(parts[:2]) if parts else 0.0

    def outcome_share(self, outcome: Outcome) -> float:
        """Return the share of the requests that ended with an outcome."""
        count = sum(row.outcome is outcome for row in self.rows)
        return count / len(self.rows) if self.rows else 0.0


def credit_share(rows: Iterable[Row]) -> float:
    """Return the credit earned, as a share of the credit owed."""
    rows = list(rows)
    owed = sum(row.owed for row in rows)
    return sum(row.credit for row in rows) / owed if owed else 0.0


def by_window(rows: Iterable[Row]) -> dict[float, list[Row]]:
    """Return the requests by start of the window in which they arrived."""
    groups: defaultdict[float, list[Row]] = defaultdict(list)
    for row in rows:
        groups[row.at_s // WINDOW_S * WINDOW_S].append(row)
    return dict(groups)


def by_route(rows: Iterable[Row]) -> dict[str, list[Row]]:
    """Return the requests by route."""
    groups: defaultdict[str, list[Row]] = defaultdict(list)
    for row in rows:
        groups[row.route].append(row)
    return dict(groups)


def day_table(days: Sequence[Day]) -> str:
    """Return simulated days as a table, one line a day."""
    columns = ["policy", "seed", "requests", "credit", "worst windows"]
    columns += [outcome.value for outcome in Outcome]
    columns += ["price", "cold most", "turned away", "limited most"]
    cells = [
        [
            day.policy,
            str(day.seed),
            str(len(day.rows)),
            f"{day.credit:.3f}",
            f"{day.worst_credit:.3f}",
            *(f"{day.outcome_share(outcome):.3f}" for outcome in Outcome),
            f"{sum(row.price for row in day.rows):.1f}",
            str(day.cold_most),
            str(day.turned_away),
            str(day.limited_most),
        ]
        for day in days
    ]
    return "\n".join(text_table(columns, cells))


@dataclass(slots=True, frozen=True)
class Difference:
    """The difference between two policies in one metric, paired by seed.

    Attributes:
        name: The metric.
        before: Mean of the first policy.
        after: Mean of the second.
        error: Standard error of the mean difference.
    """

    name: str
    before: float
    after: float
    error: float


def difference(name: str, pairs: Sequence[tuple[float, float]]) -> Difference:
    """Return the difference over pairs of results with the same seed."""
    deltas = [after - before for before, after in pairs]
    error = math.inf
    if len(deltas) > 1:
        error = statistics.stdev(deltas) / math.sqrt(len(deltas))
    return Difference(
        name,
        statistics.fmean(before for before, _ in pairs),
        statistics.fmean(after for _, after in pairs),
        error,
    )


def _route_credit_share(route: str, day: Day) -> float:
    return credit_share(by_route(day.rows).get(route, []))


def _window_credit_share(second: float, day: Day) -> float:
    return credit_share(by_window(day.rows).get(second, []))


def compare(before: Sequence[Day], after: Sequence[Day]) -> list[Difference]:
    """Return the differences in total, by route and by window.

    Args:
        before: Days of the first policy.
        after: Days of the second policy, with the same seeds in the same
            order.
    """
    days = list(zip(before, after, strict=True))

    def figure(name: str, of: Callable[[Day], float]) -> Difference:
        return difference(name, [(of(a), of(b)) for a, b in days])

    differences = [
        figure("credit", lambda day: day.credit),
        figure("worst windows", lambda day: day.worst_credit),
        figure("price", lambda day: sum(row.price for row in day.rows)),
        figure("cold most", lambda day: float(day.cold_most)),
    ]
    for route in sorted({row.route for a in before for row in a.rows}):
        differences.append(
            figure(
                f"route {route}",
                functools.partial(_route_credit_share, route),
            )
        )
    for second in sorted({at for a in before for at in by_window(a.rows)}):
        differences.append(
            figure(
                f"second {second:g}",
                functools.partial(_window_credit_share, second),
            )
        )
    return differences


def difference_table(differences: Sequence[Difference]) -> str:
    """Return differences as a table, one line a metric."""
    columns = ["figure", "before", "after", "difference", "error"]
    cells = [
        [
            one.name,
            f"{one.before:.3f}",
            f"{one.after:.3f}",
            f"{one.after - one.before:+.3f}",
            f"{one.error:.3f}",
        ]
        for one in differences
    ]
    return "\n".join(text_table(columns, cells))
