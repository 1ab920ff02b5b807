"""Tests of long answers of the platform's store."""

import math
import time

import msgspec
import pytest

from lacewingdock.exceptions import LacewingdockError
from lacewingdock.platform.object_api import (
    LONG_TRANSFER_S,
    LongAnswerError,
    ObjectApi,
)
from lacewingdock.platform.objects import StoredObject
from tests.paced_server import PacedServer

LONG_S = LONG_TRANSFER_S + 0.1


def encoded(names=("a",), length=1000):
    """Return the answer to a watch, with one change of each object."""
    events = [
        {
            "object": {
                "metadata": {"name": name, "revision": 5},
                "spec": "x" * length,
            }
        }
        for name in names
    ]
    return msgspec.json.encode({"events": events, "current_rev": 5})


def with_length(body):
    """Return head and body of an answer that tells its length."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body


def chunked(body):
    """Return head and body of an answer that does not."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head, b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


class Store(PacedServer):
    """Answers each request with the same parts, with a pause before each."""

    def __init__(self, parts, pause_s=0.0):
        super().__init__([(pause_s, part) for part in parts])
        self.api = ObjectApi(self.url)

    def watch(self, **fields):
        """Watch for changes after revision 1."""
        return self.api.watch_kind("k", 1, 0.0, "test", **fields)


@pytest.mark.parametrize("answer", [with_length, chunked])
@pytest.mark.parametrize("spare", [0, -1], ids=["fits", "too long"])
def test_longest_answer_of_a_watch(answer, spare):
    """Guards against: versions that fill a link, of which only one counts."""
    body = encoded()
    store = Store(answer(body))
    limit = len(body) + spare
    if spare:
        with pytest.raises(LongAnswerError):
            store.watch(max_bytes=limit)
        # The connection with the rest of the answer is not used again.
        store.parts = [(0.0, one) for one in answer(encoded(length=10))]
    (change,) = store.watch(max_bytes=limit).changes
    assert change.object == StoredObject("a", 5, "x" * (10 if spare else 1000))
    assert change.object.size == len(body) - len(
        b'{"events":[{"object":}],"current_rev":5}'
    ) - (990 if spare else 0)


@pytest.mark.parametrize(
    ("pause_s", "long"), [(0.0, False), (LONG_S / 2, True)]
)
def test_bytes_of_a_long_transfer_show_that_the_store_is_there(pause_s, long):
    """Guards against: a busy link that is taken for an outage."""
    head, body = with_length(encoded())
    store = Store([head, body[:500], body[500:700], body[700:]], pause_s)
    assert store.api.transferred_at == -math.inf
    store.watch()
    age_s = time.monotonic() - store.api.transferred_at
    assert age_s < 0.1 if long else age_s == math.inf


def test_transfer_ends_with_the_limit_of_its_caller():
    head, body = with_length(encoded())
    store = Store([head, *(body[one : one + 1] for one in range(99))], 0.1)
    with pytest.raises(LacewingdockError, match="too slow: 5 of"):
        store.watch(transfer_s=0.45)
