"""Support for fingerprints, by which repeats of a request are recognised."""

from typing import Any, Final

import msgspec

from lacewingdock.helpers.digest import digest
from lacewingdock.helpers.json import decode_json
from lacewingdock.links.messages import Attempt

# Fields of a chat completion that do not change what the engine runs.
_IGNORED: Final = frozenset({"metadata", "stream", "stream_options", "user"})


def fingerprint_of(attempt: Attempt) -> str:
    """Return the fingerprint of a request: the same for every repeat of it.

    Two requests are the same when their workspace, target, method, path and
    normalised body are equal. The target is included because a request that
    crashes one version may be harmless to the next; the workspace, so that a
    request of one workspace never causes the refusal of another's.

    Returns:
        32 hex digits.
    """
    return digest(
        attempt.workspace.encode(),
        attempt.target.encode(),
        attempt.method.encode(),
        attempt.path.encode(),
        _normalise(attempt.body),
    )


def _normalise(body: bytes) -> bytes:
    """Remove key order, white space and fields that the model does not get.

    A body that is not JSON is returned unchanged.
    """
    try:
        value: Any = decode_json(body)
        if isinstance(value, dict):
            value = {k: v for k, v in value.items() if k not in _IGNORED}
        return msgspec.json.encode(value, order="deterministic")
    except msgspec.DecodeError:
        return body
