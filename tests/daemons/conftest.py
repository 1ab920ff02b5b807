"""Fixtures of the daemons' tests."""

import pytest

from tests.daemons.router_site import Site


@pytest.fixture
def site(tmp_path):
    found = Site(tmp_path)
    yield found
    found.close()
