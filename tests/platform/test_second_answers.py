"""Tests of connections over which an answer comes twice."""

import time

import msgspec
import pytest

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.engine_report import ReportReader
from lacewingdock.platform.object_api import ObjectApi
from tests.repeating_server import ARRIVAL_S, Moment, RepeatingServer


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


def encode_object(target):
    """Return the body of an object with the name in the target."""
    name = target.rpartition("/")[2]
    metadata = {"name": name, "revision": 5}
    return msgspec.json.encode({"metadata": metadata, "spec": name})


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


@pytest.mark.parametrize("moment", list(Moment))
def test_second_object_is_not_read_as_another(serve, moment):
    """Guards against an object of the store in place of another one."""
    server = serve(encode_object, moment)
    api = ObjectApi("http://{}:{}".format(*server.address))
    found = []
    for name in ("a", "b", "c", "d"):
        try:
            found.append(api.read("kind", name, "test").name == name)
        except LacewingdockError as error:
            assert error.kind is ErrorKind.PLATFORM_UNAVAILABLE
        time.sleep(2 * ARRIVAL_S)
    assert len(found) >= 2
    assert all(found)


@pytest.mark.parametrize("moment", list(Moment))
def test_second_answer_does_not_confirm_another_write(serve, moment):
    """Guards against a write that counts as done by another one's answer."""
    server = serve(encode_object, moment)
    api = ObjectApi("http://{}:{}".format(*server.address))
    for name in ("a", "b", "c", "d"):
        try:
            _, written = api.write("kind", name, name, 3, "test")
            assert written.name == name
        except LacewingdockError as error:
            assert error.kind is ErrorKind.PLATFORM_UNAVAILABLE
            assert error.ran == "unknown"
        time.sleep(2 * ARRIVAL_S)
