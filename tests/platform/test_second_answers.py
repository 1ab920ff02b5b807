"""Tests of connections over which an answer comes twice."""

import time

import pytest

from lacewingdock.platform.engine_report import ReportReader
from tests.platform.repeating_server import ARRIVAL_S, Moment, RepeatingServer


@pytest.fixture
def serve():
    """Builds servers that send second answers, and closes them."""
    built = []

    def build(body_of, moment):
        built.append(RepeatingServer(body_of, moment))
        return built[-1]

    yield build
    for server in built:
        server.close()


def build_reports():
    """Return a function whose bodies are load reports with a rising count."""
    count = iter(range(100))
    return lambda _: b'{"active":%d,"queued":0}' % next(count)


@pytest.mark.parametrize("moment", [Moment.TOGETHER, Moment.SOON])
def test_second_report_is_not_read_as_the_next(serve, moment):
    """Guards against load reports that are out of date from then on."""
    server = serve(build_reports(), moment)
    reader = ReportReader(*server.address, timeout_s=2.0)
    read = []
    for _ in range(4):
        read.append(reader.read().running)
        time.sleep(2 * ARRIVAL_S)
    assert read == [0, 1, 2, 3]
    reader.close()


def test_late_second_report_is_one_report_old(serve):
    """Guards against load reports that fall behind by more than one."""
    server = serve(build_reports(), Moment.LATE)
    reader = ReportReader(*server.address, timeout_s=2.0)
    for number in range(6):
        assert reader.read().running >= number - 1
        time.sleep(ARRIVAL_S)
    reader.close()
