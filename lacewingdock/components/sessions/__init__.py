"""Support for session tokens, which entries verify without shared state."""

import base64
import binascii
from dataclasses import dataclass
from typing import Final

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.json import decode_json
from lacewingdock.links.keys import KeyRing

SIGNATURE_LABEL: Final = b"lacewingdock session"
MAX_TOKEN_CHARS: Final = 1024


@dataclass(slots=True, frozen=True)
class Session:
    """The content of a session token.

    Attributes:
        workspace: The workspace that the session belongs to.
        name: The model or cascade that the session asked for.
        version: The version that the session is pinned to.
        step: The cascade step of that version.
    """

    workspace: str
    name: str
    version: str
    step: int = 0


def sign_session(session: Session, keys: KeyRing) -> str:
    """Return a signed token for a session."""
    payload = msgspec.json.encode(session)
    key_id, mac = keys.sign(SIGNATURE_LABEL, payload)
    parts = (payload, key_id.encode(), mac)
    return ".".join(base64.urlsafe_b64encode(p).decode() for p in parts)


def open_session(token: str, workspace: str, keys: KeyRing) -> Session:
    """Verify a token and return its session.

    Args:
        token: The token that the caller sent.
        workspace: The caller's workspace, which must be the token's.
        keys: Keys that are accepted.

    Raises:
        LacewingdockError: BAD_TOKEN when the token is malformed, its
            signature is invalid or it belongs to another workspace.
    """
    try:
        if len(token) > MAX_TOKEN_CHARS:
            raise ValueError("longer than the limit")
        payload, key_id, mac = (
            base64.urlsafe_b64decode(part) for part in token.split(".")
        )
        if not keys.verify(key_id.decode(), mac, SIGNATURE_LABEL, payload):
            raise ValueError("the signature is invalid")
        session = decode_json(payload, Session)
    except (ValueError, binascii.Error, msgspec.DecodeError) as error:
        raise LacewingdockError(
            ErrorKind.BAD_TOKEN, f"session token: {error}"
        ) from error
    if session.workspace != workspace:
        raise LacewingdockError(
            ErrorKind.BAD_TOKEN, "the session belongs to another workspace"
        )
    return session
