"""Support for building the frames that report failed attempts."""

from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.clock import MS_PER_S
from lacewingdock.links.messages import Refusal


def build_refusal(
    attempt: str, error: LacewingdockError, revision: int = 0
) -> Refusal:
    """Build the frame that ends an attempt with an error.

    Args:
        attempt: Attempt id that the frame carries.
        error: The error to report.
        revision: Configuration revision of the decision; 0 if not
            applicable.
    """
    retry = error.retry_after_s
    retry_ms = -1 if retry is None else int(retry * MS_PER_S)
    return Refusal(
        attempt, error.kind, error.ran, error.detail, retry_ms, revision
    )
