"""Support for fuzz tests: a decoder gives a value or a coded error.

Symptom: a daemon ends, a task dies without an answer, or memory grows, after
odd bytes from a caller, a peer, the platform, an upstream or an operator.
Sequence: the bytes meet a decoder; it raises what nobody above it expects, or
builds far more than it was given. Cause: a library's error or limit that the
decoder does not turn into an error kind.
"""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st

from lacewingdock.exceptions import LacewingdockError
from lacewingdock.links.messages import Attempt

DEEP = 20_000


ATTEMPT = Attempt("a1", "r1", "retail", "v1", "POST", "/x", b"{}")


fuzzed = settings(derandomize=True, deadline=None, max_examples=150)


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


json_bytes = json_values.map(msgspec.json.encode) | st.binary(max_size=60)


def coded(function, *arguments):
    """Call a decoder; only a coded error may come out."""
    try:
        return function(*arguments)
    except LacewingdockError as error:
        assert error.kind
        return None
