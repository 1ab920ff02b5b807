"""Tests of routers when one of them gets most new connections."""

import pytest

from tests.daemons.skew_load import Work, ends
from tests.daemons.skew_site import SkewSite

# Share of a core of each router.
SHARE = 0.2
# Requests a second at which the processor time of a request is measured.
CALM_PER_S = 40
# Requests a second of the skew, as a multiple of those for which one router has
# processor time when it serves few at once.
LOAD = 8.0
# Lowest share of requests served under the skew, against before.
MIN_RATIO = 0.75


@pytest.mark.parametrize("work", [Work()], ids=["streams"])
def test_router_with_most_connections_serves_what_it_reads(tmp_path, work):
    """Guards against a router that reads more requests than it can serve."""
    site = SkewSite(tmp_path, work, SHARE)
    try:
        per_s = LOAD * site.measure_capacity(CALM_PER_S, seconds=4)
        outcome = site.run(per_s, spread_s=5, skewed_s=10)
    finally:
        site.close()
    assert outcome.ratio >= MIN_RATIO, (per_s, ends(outcome.after))
