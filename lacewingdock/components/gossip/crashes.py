"""Support for crashes beside prompt parts in gossip messages."""

from lacewingdock.components.gossip import CrashRow, Message
from lacewingdock.components.poison_requests import PoisonRequests
from lacewingdock.components.poison_requests.report import CrashReport


def crash_rows(report: CrashReport) -> list[CrashRow]:
    """Return the rows of a message for a report."""
    return [
        CrashRow(
            trait,
            report.losses.get(trait, []),
            trait in report.recurrent,
            report.cleared.get(trait, []),
        )
        for trait in sorted(report.losses.keys() | report.cleared.keys())
    ]


def apply_crash_rows(suspects: PoisonRequests, message: Message) -> None:
    """Apply the crashes that another router reports in a message."""
    if not message.crashes:
        return
    rows = message.crashes
    report = CrashReport(
        {row.trait: row.crashed for row in rows if row.crashed},
        [row.trait for row in rows if row.recurrent],
        {row.trait: row.cleared for row in rows if row.cleared},
    )
    suspects.receive(message.router, report)
