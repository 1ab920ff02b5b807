"""Support for shared keys that sign links and session tokens."""

import hashlib
import hmac
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError

MIN_SECRET_CHARS: Final = 16
MAX_FILE_BYTES: Final = 64 * 1024


@dataclass(slots=True)
class KeyRing:
    """Keys read from a file and read again when the file changes.

    Attributes:
        path: The file, a line "ID SECRET" each; empty for no keys.
        keys: Secrets by id, in the file's order; the first signs.
        stamp: The file's change stamp when it was read.
    """

    path: str
    keys: dict[str, bytes] = field(default_factory=dict, repr=False)
    stamp: tuple[int, int] = (0, 0)

    def refresh(self) -> None:
        """Read the file again if it changed, so keys rotate in place."""
        if not self.path:
            return
        try:
            stat = os.stat(self.path)
            stamp = (stat.st_mtime_ns, stat.st_size)
            if stamp == self.stamp:
                return
            keys = _parse(_read(self.path))
        except (OSError, UnicodeDecodeError, LacewingdockError):
            # A key file caught half-written must not take the keys in force
            # away: links would be refused fleet-wide. The old ones stay.
            if self.keys:
                return
            raise
        self.keys, self.stamp = keys, stamp

    def sign(self, *parts: bytes) -> tuple[str, bytes]:
        """Sign with the first key; without keys the signature is empty."""
        self.refresh()
        for key_id, secret in self.keys.items():
            return key_id, _mac(secret, parts)
        return "", b""

    def verify(self, key_id: str, mac: bytes, *parts: bytes) -> bool:
        """Tell whether a signature by any accepted key is genuine."""
        self.refresh()
        if not self.keys:
            return not self.path
        secret = self.keys.get(key_id)
        return secret is not None and hmac.compare_digest(
            mac, _mac(secret, parts)
        )


def load_keys(path: str) -> KeyRing:
    """Read a key file.

    Args:
        path: The file, or empty for a ring without keys.

    Raises:
        LacewingdockError: BAD_SETTING when it can't be read or is malformed.
    """
    ring = KeyRing(path)
    try:
        ring.refresh()
    except OSError as error:
        # The value is not shown: by mistake it may be the key itself.
        raise LacewingdockError(
            ErrorKind.BAD_SETTING, f"key file: {error.strerror}"
        ) from None
    except UnicodeDecodeError as error:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING, "key file: not UTF-8"
        ) from error
    return ring


def _read(path: str) -> str:
    """Read a small file; a device or a wrong path must not fill memory."""
    with Path(path).open("rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING,
            f"key file has more than {MAX_FILE_BYTES} bytes",
        )
    return data.decode()


def _mac(secret: bytes, parts: tuple[bytes, ...]) -> bytes:
    digest = hmac.new(secret, digestmod=hashlib.sha256)
    for part in parts:
        # The length keeps ("ab", "c") and ("a", "bc") apart.
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


def _parse(text: str) -> dict[str, bytes]:
    keys: dict[str, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        key_id, _, secret = line.strip().partition(" ")
        if len(secret) < MIN_SECRET_CHARS:
            raise LacewingdockError(
                ErrorKind.BAD_SETTING,
                f"key file line {number}: want ID SECRET, secret of at "
                f"least {MIN_SECRET_CHARS} characters",
            )
        keys[key_id] = secret.encode()
    if not keys:
        raise LacewingdockError(ErrorKind.BAD_SETTING, "key file has no keys")
    return keys
