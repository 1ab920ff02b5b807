"""Tests of invalid requests, which must get an error with a code."""

import pytest

from lacewingdock.world.route import CallerLimits
from tests.components.gateway.fakes import (
    GatewayHarness,
    Upstream,
    answer,
    read_answer,
    request,
    route,
)

LIMITS = CallerLimits(header_bytes=2048, body_bytes=1000, read_s=0.3, idle_s=1)
HEAD = "POST /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: c\r\n"


@pytest.fixture(scope="module")
def harness():
    upstream = Upstream(*[answer()] * 50)
    found = GatewayHarness([route(public=False)], [upstream], LIMITS)
    found.upstream = upstream
    yield found
    found.close()


SMUGGLED = request("inner").decode()

REQUESTS = {
    "no route for the host": (request(host="other"), 404, "not_found"),
    "no route for the path": (request(path="/q/"), 404, "not_found"),
    "prefix is whole segments": (request(path="/rx/"), 404, "not_found"),
    "unknown key": (request(key="nobody"), 401, "unauthorized"),
    "no key": (request(key=""), 401, "unauthorized"),
    "no http": (b"hello\r\n\r\n", 400, "bad_request"),
    "no host": (b"GET /r/ HTTP/1.1\r\n\r\n", 400, "bad_request"),
    "two lengths": (
        (HEAD + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd").encode(),
        400,
        "bad_request",
    ),
    "length and chunks": (
        (
            HEAD + f"Content-Length: {len(SMUGGLED) + 5}\r\n"
            f"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n{SMUGGLED}"
        ).encode(),
        400,
        "bad_request",
    ),
    "bad chunk": (
        (HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\n").encode(),
        400,
        "bad_request",
    ),
    "long head": (
        request(extra=f"X: {'x' * 4000}\r\n"),
        431,
        "headers_too_large",
    ),
    "long body": (request(body=b"x" * 2000), 413, "body_too_large"),
    "slow head": (HEAD.encode(), 408, "slow_caller"),
    "slow body": (
        (HEAD + "Content-Length: 9\r\n\r\nhalf").encode(),
        408,
        "slow_caller",
    ),
}


@pytest.mark.parametrize("name", REQUESTS)
def test_refused(harness, name):
    data, status, code = REQUESTS[name]
    before = len(harness.upstream.requests)
    sock = harness.connect()
    sock.sendall(data)
    found, headers, body = read_answer(sock)
    assert (found, f'"code":"{code}"'.encode() in body) == (status, True)
    assert headers["content-type"] == "application/problem+json"
    assert len(harness.upstream.requests) == before


def test_chunked_body_arrives_whole(harness):
    data = HEAD + "Credential: key-1\r\nTransfer-Encoding: chunked\r\n\r\n"
    sock = harness.connect()
    sock.sendall(data.encode() + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert read_answer(sock)[0] == 200
    assert harness.upstream.bodies[-1] == b"abcde"


def test_idle_connection_is_closed(harness):
    sock = harness.connect()
    assert sock.recv(1) == b""


def test_first_configuration_is_waited_for(harness):
    table, harness.routes.table = harness.routes.table, None
    harness.routes.loaded.clear()
    try:
        status, _, body = harness.call()
        assert (status, b"not_ready" in body) == (503, True)
    finally:
        harness.routes.table = table
        harness.routes.loaded.set()


def test_shut_port_refuses_what_it_reads(harness):
    sock = harness.connect()
    assert harness.call(sock)[0] == 200
    harness.port.is_shut = True
    try:
        status, headers, body = harness.call(sock)
        assert (status, b"leaving" in body) == (503, True)
        assert headers["connection"] == "close"
    finally:
        harness.port.is_shut = False
