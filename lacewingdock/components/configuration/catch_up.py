"""Support for getting the configuration that a peer is known to have."""

import time
from typing import Final

from lacewingdock.components.configuration import Configuration
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Pull

CATCH_UP_S: Final = 1.0
_POLL_S: Final = 0.005


def catch_up(
    configuration: Configuration,
    link: Link | None,
    revision: int,
    timeout_s: float = CATCH_UP_S,
) -> bool:
    """Pull from a peer until a revision is in force here.

    Two daemons that decide on one request may know different revisions, and
    the request itself shows it. Whoever is behind asks the other at once
    instead of waiting for the news to come round, or refusing on old news.

    Args:
        configuration: The configuration in force.
        link: The link to the peer that has the revision.
        revision: The revision wanted.
        timeout_s: Seconds to wait.

    Returns:
        Whether the revision is in force here now.
    """
    if configuration.revision < revision and link is not None:
        link.send(Pull(configuration.revision))
        end = time.monotonic() + timeout_s
        while configuration.revision < revision and time.monotonic() < end:
            time.sleep(_POLL_S)
    return configuration.in_force(revision)
