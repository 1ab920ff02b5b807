"""Support for summing the bills of a day from the ledger."""

import datetime
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from lacewingdock.components.billing.const import CHARGED
from lacewingdock.components.billing.record import Bill, decode_bill
from lacewingdock.const import COLLECTION_LEDGER
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.append_log import unpack
from lacewingdock.platform.store import ObjectStore

DAY_FORMAT = "%Y%m%d"


@dataclass(slots=True)
class StatementLine:
    """The bills of one version or service.

    Attributes:
        target: Name of the version or service.
        runs: Attempts that are charged.
        input_tokens: Tokens they read.
        output_tokens: Tokens they generated.
        cost: Their cost in millionths of the price unit.
        uncharged: Attempts that ran and are not charged.
        uncharged_cost: What those cost the operator, in millionths.
    """

    target: str
    runs: int = 0
    input_tokens: int = 0
    output_tokens: int = 0
    cost: int = 0
    uncharged: int = 0
    uncharged_cost: int = 0


@dataclass(slots=True)
class Statement:
    """The bills of one workspace on one day (UTC).

    Attributes:
        workspace: Name of the workspace.
        day: "YYYYMMDD".
        requests: Requests that are charged.
        cost: Cost in millionths of the price unit.
        lines: The parts by version and service.
    """

    workspace: str
    day: str
    requests: int = 0
    cost: int = 0
    lines: dict[str, StatementLine] = field(default_factory=dict)


def read_statement(store: ObjectStore, workspace: str, day: str) -> Statement:
    """Sum a workspace's bills of a day.

    A log belongs to the day in its name. Attempts of one request can fall
    on both sides of midnight, so the days beside it are read too: they
    decide which attempt is charged, and add nothing.

    Args:
        store: The platform.
        workspace: Name of the workspace.
        day: "YYYYMMDD".

    Raises:
        LacewingdockError: BAD_COMMAND for a bad day; PLATFORM_UNAVAILABLE.
    """
    today = _parse_day(day)
    rows: list[tuple[str, Bill]] = []
    for offset in (-1, 0, 1):
        log_day = (today + datetime.timedelta(offset)).strftime(DAY_FORMAT)
        rows += [
            (log_day, bill)
            for bill in read_day(store, log_day)
            if bill.workspace == workspace
        ]
    charged = charged_attempts(bill for _, bill in rows)
    statement = Statement(workspace, day)
    requests = set()
    for log_day, bill in rows:
        if log_day == day:
            _add(statement, bill, bill.attempt in charged)
            if bill.attempt in charged:
                requests.add(bill.request)
    statement.requests = len(requests)
    return statement


def read_day(store: ObjectStore, day: str) -> Iterator[Bill]:
    """Yield every bill in the logs of a day.

    Raises:
        LacewingdockError: PLATFORM_UNAVAILABLE.
    """
    listing = store.list_all(COLLECTION_LEDGER, "bills-read", f"{day}.")
    for stored in listing.objects:
        for row in unpack(stored.value):
            yield decode_bill(row)


def charged_attempts(bills: Iterable[Bill]) -> set[str]:
    """Choose the attempts that are charged: one a request and step.

    An attempt that was tried again elsewhere may have run to its end all
    the same, unheard. Its request is charged once: for a whole answer before
    a cancelled one, then for the earlier attempt. The choice depends on the
    set of bills only, not on their order.
    """
    best: dict[tuple[str, int], Bill] = {}
    for bill in bills:
        if bill.outcome not in CHARGED:
            continue
        key = (bill.request, bill.step)
        current = best.get(key)
        if current is None or _rank(bill) < _rank(current):
            best[key] = bill
    return {bill.attempt for bill in best.values()}


def _rank(bill: Bill) -> tuple[int, int, str]:
    return CHARGED.index(bill.outcome), bill.ordinal, bill.attempt


def _add(statement: Statement, bill: Bill, charged: bool) -> None:
    line = statement.lines.setdefault(bill.target, StatementLine(bill.target))
    if not charged:
        line.uncharged += 1
        line.uncharged_cost += bill.cost
        return
    line.runs += 1
    line.input_tokens += bill.input_tokens
    line.output_tokens += bill.output_tokens
    line.cost += bill.cost
    statement.cost += bill.cost


def _parse_day(day: str) -> datetime.date:
    try:
        return datetime.datetime.strptime(day, DAY_FORMAT).date()
    except ValueError as error:
        raise LacewingdockError(
            ErrorKind.BAD_COMMAND, f"day {day!r}: want YYYYMMDD"
        ) from error
