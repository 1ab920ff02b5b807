"""Tests of decoding the heads of upstreams' answers."""

import pytest

from lacewingdock.platform.wire import read_answer


def head(*headers, status=200):
    """Return the decoded head of an answer with the given headers."""
    return read_answer(status, list(headers), list(headers))


@pytest.mark.parametrize(
    ("values", "per_s", "invalid"),
    [
        ([], None, False),
        ([b"3"], 3.0, False),
        ([b" 0.5 "], 0.5, False),
        ([b"0"], 0.0, False),
        ([b"12.25"], 12.25, False),
        # Invalid values set no limit and clear none.
        ([b""], None, True),
        ([b"-1"], None, True),
        ([b"nan"], None, True),
        ([b"inf"], None, True),
        ([b"1e308"], None, True),
        ([b"9" * 400], None, True),
        ([b"1_0"], None, True),
        ([b"3 a second"], None, True),
        ([b"3,4"], None, True),
        ([b"\xb3"], None, True),
        ([b"3", b"3"], None, True),
        ([b"3", b"x"], None, True),
    ],
)
def test_limit_of_an_instance(values, per_s, invalid):
    found = head(*((b"server-limit", value) for value in values))
    assert (found.limit_per_s, found.limit_malformed) == (per_s, invalid)


@pytest.mark.parametrize(
    ("status", "values", "rest_s", "odd"),
    [
        (503, [], None, False),
        (503, [b"3"], 3.0, False),
        (503, [b" 0.25 "], 0.25, False),
        (503, [b"0"], 0.0, False),
        (429, [b"2"], 2.0, False),
        # With other statuses the header is meant for the caller.
        (200, [b"3"], None, False),
        (500, [b"x"], None, False),
        # Invalid values set no rest.
        (503, [b""], None, True),
        (503, [b"-3"], None, True),
        (503, [b"1e308"], None, True),
        (503, [b"9" * 400], None, True),
        (503, [b"Wed, 21 Oct 2026 07:28:00 GMT"], None, True),
        (503, [b"3, 3"], None, True),
        (503, [b"3", b"4"], None, True),
    ],
)
def test_rest_that_an_instance_asks_for(status, values, rest_s, odd):
    found = head(*((b"retry-after", one) for one in values), status=status)
    assert (found.rest_s, "retry-after" in found.odd) == (rest_s, odd)


@pytest.mark.parametrize(
    ("values", "leaving", "odd"),
    [
        ([], False, False),
        ([b"1"], True, False),
        ([b" 1 "], True, False),
        ([b""], False, True),
        ([b"0"], False, True),
        ([b"yes"], False, True),
        ([b"1", b"0"], False, True),
    ],
)
@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_instance_that_announces_that_it_leaves(status, values, leaving, odd):
    found = head(*((b"server-leaving", one) for one in values), status=status)
    assert (found.leaving, "server-leaving" in found.odd) == (leaving, odd)


def test_unknown_headers_are_reported_by_name():
    """Guards against not noticing a new header of an upstream.

    Cause: unknown headers were forwarded to the caller and not recorded.
    """
    found = head(
        (b"attempt-id", b"c"),
        (b"response-seal", b"s"),
        (b"content-type", b"text/plain"),
        (b"connection", b"close"),
        (b"server-mood", b"poor"),
        (b"server-limit", b"3"),
    )
    assert found.unknown == ("server-mood",)
    # All headers but the hop-by-hop ones are forwarded to the caller.
    assert (b"server-mood", b"poor") in found.headers
    assert (b"connection", b"close") not in found.headers
