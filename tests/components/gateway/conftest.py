"""Fixtures of the gateway's tests."""

import pytest

from tests.components.gateway.fakes import Stage


@pytest.fixture
def staged():
    made = []

    def make(*args, **kwargs):
        made.append(Stage(*args, **kwargs))
        return made[-1]

    yield make
    for stage in made:
        stage.close()
