"""Tests of checking which instance answers at an address."""

import contextlib
import socket

import pytest

from lacewingdock.components.poison_requests.address_check import (
    AddressCheck,
    check_address,
)
from lacewingdock.components.poison_requests.crash_verdict import Responder
from tests.components.gateway.fakes import Upstream


def answer(status, *headers):
    """Return the bytes of an answer without a body."""
    lines = [b"HTTP/1.1 " + status, *headers, b"Content-Length: 0", b"", b""]
    return b"\r\n".join(lines)


class Server(Upstream):
    """Server that sends the same reply to every request; None for none."""

    def __init__(self, reply):
        super().__init__()
        self.reply = reply
        self.asked = []

    def _serve(self, sock):
        self.asked.append(sock.recv(65536).decode())
        with contextlib.suppress(OSError), sock:
            if self.reply is None:
                sock.recv(1)
            sock.sendall(self.reply or b"")


@pytest.mark.parametrize(
    ("reply", "found"),
    [
        (
            answer(b"200 OK", b"Instance-Id: i-1"),
            AddressCheck(Responder.ITSELF, serving=True),
        ),
        (
            answer(b"503 Draining", b"Instance-Id: i-1"),
            AddressCheck(Responder.ITSELF),
        ),
        (
            answer(b"503 Full", b"Not-Executed: 1"),
            AddressCheck(Responder.ITSELF),
        ),
        (answer(b"404 Not Found"), AddressCheck(Responder.ITSELF)),
        # An answer without an id may come from another instance.
        (answer(b"200 OK"), AddressCheck(Responder.ITSELF)),
        (
            answer(b"421 Misdirected", b"Instance-Id: i-2"),
            AddressCheck(Responder.ANOTHER, "i-2"),
        ),
        (answer(b"421 Misdirected"), AddressCheck(Responder.ANOTHER)),
        (
            answer(b"200 OK", b"Instance-Id: i-2"),
            AddressCheck(Responder.ANOTHER, "i-2"),
        ),
        (b"", AddressCheck(Responder.UNCLEAR)),
        (b"garbage\r\n\r\n", AddressCheck(Responder.UNCLEAR)),
        (None, AddressCheck(Responder.UNCLEAR)),
    ],
)
def test_who_answers(reply, found):
    """An open port proves nothing: another process may listen on it."""
    server = Server(reply)
    assert check_address(server.entry("i-1"), "/health") == found
    request = server.asked[0].lower()
    assert request.startswith("get /health http/1.1\r\n")
    assert "expect-instance: i-1\r\n" in request
    assert "attempt-id" not in request
    server.close()


def test_a_closed_port_takes_no_connection():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]
    found = check_address(Upstream().entry(port=port), "/health")
    assert found == AddressCheck(Responder.NOTHING)


def test_each_check_has_a_connection_of_its_own():
    """Guards against an earlier check's second answer, which has no id."""
    server = Server(answer(b"200 OK", b"Instance-Id: i-1") * 2)
    for _ in range(2):
        found = check_address(server.entry("i-1"), "/health")
        assert found == AddressCheck(Responder.ITSELF, serving=True)
    assert server.connections == 2
    server.close()
