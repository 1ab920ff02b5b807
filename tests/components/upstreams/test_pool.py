"""Tests of the pool of connections to upstream instances."""

import pytest

from lacewingdock.components.upstreams import connection as connections
from lacewingdock.components.upstreams.pool import ConnectionPool
from lacewingdock.helpers.byte_budget import ByteBudget
from tests.components.gateway.fakes import Upstream

TIMEOUT_S = 0.5


@pytest.fixture
def upstream():
    upstream = Upstream()
    yield upstream
    upstream.close()


def exchange(pool, entry, call_id):
    """Make a request over a connection of the pool; return its number."""
    connection = pool.acquire(entry, call_id, TIMEOUT_S)
    headers = [(b"Host", b"h")]
    if call_id:
        headers.append((b"Attempt-Id", call_id.encode()))
    connection.send(call_id, b"GET", b"/", headers, b"", TIMEOUT_S)
    head = connection.read_head(connection.sent_at + TIMEOUT_S)
    connection.read_full_body(
        connection.sent_at + TIMEOUT_S, 1000, ByteBudget(1000)
    )
    pool.release(entry, connection, head.keep_alive_s, head.closes)
    return connection.number


@pytest.mark.parametrize(
    ("ids", "used"),
    [
        ("abc", [0, 0, 0]),
        ("aa", [0, 1]),
        ("aab", [0, 1, 1]),
        ("abab", [0, 0, 1, 1]),
        ("aaab", [0, 1, 2, 2]),
        # Requests without an id cannot be told apart either.
        (["", ""], [0, 1]),
        (["", "a", ""], [0, 0, 1]),
    ],
)
def test_connection_carries_an_id_once(upstream, ids, used):
    """Guards against an answer that two requests of a connection could have."""
    pool = ConnectionPool()
    found = [exchange(pool, upstream.entry(), call_id) for call_id in ids]
    order = list(dict.fromkeys(found))
    assert [order.index(number) for number in found] == used
    assert upstream.connections == len(order)


def test_connection_is_closed_after_its_last_request(upstream, monkeypatch):
    """Guards against a connection whose list of ids grows without bound."""
    monkeypatch.setattr(connections, "MAX_REQUESTS", 3)
    pool = ConnectionPool()
    found = [exchange(pool, upstream.entry(), f"c-{n}") for n in range(7)]
    assert [number - found[0] for number in found] == [0, 0, 0, 1, 1, 1, 2]


def test_connection_that_is_passed_over_stays_in_the_pool(upstream):
    pool = ConnectionPool()
    entry = upstream.entry()
    first = exchange(pool, entry, "a")
    second = exchange(pool, entry, "a")
    assert {one.number for one in pool.idle[entry.incarnation]} == {
        first,
        second,
    }
