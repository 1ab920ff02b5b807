"""Support for telling an entry that an attempt ends without a whole answer."""

from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.clock import MS_PER_S
from lacewingdock.links.messages import Refusal


def build_refusal(
    attempt: str, error: LacewingdockError, revision: int = 0
) -> Refusal:
    """Return the frame that ends an attempt with an error.

    Args:
        attempt: Id that the frame carries.
        error: The error.
        revision: Configuration revision that it was decided at; 0 if that
            played no part.
    """
    retry = error.retry_after_s
    retry_ms = -1 if retry is None else int(retry * MS_PER_S)
    return Refusal(
        attempt, error.kind, error.ran, error.detail, retry_ms, revision
    )
