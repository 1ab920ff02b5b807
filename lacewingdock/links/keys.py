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
    """Keys of a file, reloaded when the file changes.

    Attributes:
        path: Key file with one "ID SECRET" per line; empty for no keys.
        keys: Secrets by id in file order; the first one signs.
        stamp: Modification time in nanoseconds and size in bytes of the file
            when it was last read.
    """

    path: str
    keys: dict[str, bytes] = field(default_factory=dict, repr=False)
    stamp: tuple[int, int] = (0, 0)

    def refresh(self) -> None:
        """Reload the file if it changed, so that keys can be rotated."""
        if not self.path:
            return
        try:
            stat = os.stat(self.path)
            stamp = (stat.st_mtime_ns, stat.st_size)
            if stamp == self.stamp:
                return
            keys = _parse_keys(_read_file(self.path))
        except (OSError, UnicodeDecodeError, LacewingdockError):
            # A partially written key file must not replace the current keys:
            # links would be rejected fleet-wide. The old keys stay.
            if self.keys:
                return
            raise
        self.keys, self.stamp = keys, stamp

    def sign(self, *parts: bytes) -> tuple[str, bytes]:
        """Sign with the first key.

        Returns:
            The key id and the signature; both empty if there are no keys.
        """
        self.refresh()
        for key_id, secret in self.keys.items():
            return key_id, _compute_mac(secret, parts)
        return "", b""

    def verify(self, key_id: str, mac: bytes, *parts: bytes) -> bool:
        """Return whether a signature is valid.

        Without a key file every signature is valid.
        """
        self.refresh()
        if not self.keys:
            return not self.path
        secret = self.keys.get(key_id)
        return secret is not None and hmac.compare_digest(
            mac, _compute_mac(secret, parts)
        )


def load_keys(path: str) -> KeyRing:
    """Load a key file.

    Args:
        path: Path of the file; empty for a key ring without keys.

    Raises:
        LacewingdockError: BAD_SETTING if the file is unreadable or malformed.
    """
    ring = KeyRing(path)
    try:
        ring.refresh()
    except OSError as error:
        # The path is not shown: the key itself may be given by mistake.
        raise LacewingdockError(
            ErrorKind.BAD_SETTING, f"key file: {error.strerror}"
        ) from None
    except UnicodeDecodeError as error:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING, "key file: not UTF-8"
        ) from error
    return ring


def _read_file(path: str) -> str:
    """Read a file of limited size.

    The limit keeps a device or a wrong path from exhausting memory.
    """
    with Path(path).open("rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING,
            f"key file has more than {MAX_FILE_BYTES} bytes",
        )
    return data.decode()


def _compute_mac(secret: bytes, parts: tuple[bytes, ...]) -> bytes:
    digest = hmac.new(secret, digestmod=hashlib.sha256)
    for part in parts:
        # The length prefix distinguishes ("ab", "c") from ("a", "bc").
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


def _parse_keys(text: str) -> dict[str, bytes]:
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
