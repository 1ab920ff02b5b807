"""Compares HTTP parsers as a router would use them.

    python -m bench.http_parsers

Prints the processor time of a request read and an answer written, of a
streamed event read, and which malformed requests each library refuses.
"""

import time
from collections.abc import Callable
from typing import Final

import h11
import httptools

ROUNDS: Final = 5000
BODY: Final = b"x" * 400
HEADERS: Final = b"".join(
    b"Field-%d: value-of-some-length-%d\r\n" % (number, number)
    for number in range(12)
)
REQUEST: Final = (
    b"POST /r/generate?a=1 HTTP/1.1\r\nHost: h.example\r\n"
    + HEADERS
    + b"Content-Length: %d\r\n\r\n" % len(BODY)
    + BODY
)
HEAD: Final = (
    b"HTTP/1.1 200 OK\r\n" + HEADERS + b"Transfer-Encoding: chunked\r\n\r\n"
)
EVENT_TEXT: Final = b"id: 1\ndata: 0123456789012345678901234567\n\n"
EVENT: Final = b"%x\r\n%s\r\n" % (len(EVENT_TEXT), EVENT_TEXT)
END: Final = b"0\r\n\r\n"
EVENTS: Final = 100
# What two readers of one connection could take apart differently.
MALFORMED: Final = {
    "both lengths": b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
    b"Content-Length: 5\r\n\r\nabcde",
    "signed length": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Content-Length: +4\r\n\r\nabcd",
    "space before colon": b"GET / HTTP/1.1\r\nHost : h\r\n\r\n",
    "bare line feeds": b"GET / HTTP/1.1\nHost: h\n\n",
    "folded header": b"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\nA: b\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "null in a value": b"GET / HTTP/1.1\r\nHost: h\r\nA: \x00\r\n\r\n",
    "space in the target": b"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
    "chunk of odd size": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0x4\r\nabcd\r\n0\r\n\r\n",
}


class Collector:
    """Takes what httptools calls back with."""

    def __init__(self) -> None:
        """Start empty."""
        self.headers: list[tuple[bytes, bytes]] = []
        self.parts: list[bytes] = []
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self.headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self.parts.append(data)

    def on_message_complete(self) -> None:
        """Take the end."""
        self.complete = True


def read_h11(connection: h11.Connection, data: bytes) -> int:
    """Feed bytes and read all events; return how many bodies came."""
    connection.receive_data(data)
    count = 0
    while True:
        event = connection.next_event()
        if event in (h11.NEED_DATA, h11.PAUSED):
            return count
        if isinstance(event, h11.EndOfMessage):
            return count
        count += isinstance(event, h11.Data)


def request_h11() -> None:
    """Read a request and write an answer."""
    connection = h11.Connection(h11.SERVER)
    read_h11(connection, REQUEST)
    length = (b"Content-Length", b"%d" % len(BODY))
    connection.send(h11.Response(status_code=200, headers=[length]))
    connection.send(h11.Data(data=BODY))
    connection.send(h11.EndOfMessage())


def request_httptools() -> None:
    """Read a request and write an answer, which is plain text here."""
    found = Collector()
    parser = httptools.HttpRequestParser(found)
    parser.feed_data(REQUEST)
    b"".join(
        [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY), BODY]
    )


def events_h11() -> None:
    """Read a stream, its events one by one."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(
        h11.Request(method="GET", target="/", headers=[("Host", "h")])
    )
    connection.send(h11.EndOfMessage())
    read_h11(connection, HEAD)
    for _ in range(EVENTS):
        read_h11(connection, EVENT)
    read_h11(connection, END)


def events_httptools() -> None:
    """Read a stream, its events one by one."""
    parser = httptools.HttpResponseParser(Collector())
    for data in (HEAD, *[EVENT] * EVENTS, END):
        parser.feed_data(data)


def refused_h11(data: bytes) -> bool:
    """Whether a request is refused."""
    try:
        read_h11(h11.Connection(h11.SERVER), data)
    except h11.RemoteProtocolError:
        return True
    return False


def refused_httptools(data: bytes) -> bool:
    """Whether a request is refused."""
    try:
        httptools.HttpRequestParser(Collector()).feed_data(data)
    except httptools.HttpParserError:
        return True
    return False


def microseconds(function: Callable[[], None], rounds: int) -> float:
    """Return the processor time of a call."""
    start = time.process_time()
    for _ in range(rounds):
        function()
    return (time.process_time() - start) / rounds * 1e6


def main() -> None:
    """Measure and print."""
    for name, request, events, refused in (
        ("h11", request_h11, events_h11, refused_h11),
        ("httptools", request_httptools, events_httptools, refused_httptools),
    ):
        request_us = microseconds(request, ROUNDS)
        event_us = microseconds(events, ROUNDS // EVENTS) / EVENTS
        taken = [what for what, data in MALFORMED.items() if not refused(data)]
        print(f"{name}: request {request_us:.1f} us, event {event_us:.1f} us")
        print(f"  takes: {', '.join(taken) or 'none'}")


if __name__ == "__main__":
    main()
