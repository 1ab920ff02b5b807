"""Tests for rotating link and session keys in place."""

import pytest

from lacewingdock.components.sessions import (
    Session,
    open_session,
    sign_session,
)
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.links.keys import load_keys

OLD = "old a-secret-of-sixteen-or-more\n"
NEW = "new another-secret-of-sixteen\n"
SESSION = Session("retail", "drafter", "drafter-1")


@pytest.mark.parametrize(
    ("after", "accepted"),
    [
        (NEW + OLD, True),
        (OLD + NEW, True),
        (NEW, False),
        ("new short\n", True),
        ("", True),
    ],
)
def test_rotation_keeps_what_is_still_listed(tmp_path, after, accepted):
    # Symptom: sessions and links are refused fleet-wide during a rotation.
    # Sequence: a key file is replaced, or caught half-written.
    # Cause: keys read once at start, or a bad file taken for the new one.
    path = tmp_path / "session.keys"
    path.write_text(OLD)
    ring = load_keys(str(path))
    token = sign_session(SESSION, ring)
    path.write_text(after)
    if accepted:
        assert open_session(token, "retail", ring) == SESSION
    else:
        with pytest.raises(LacewingdockError):
            open_session(token, "retail", ring)


def test_first_key_signs_after_a_rotation(tmp_path):
    path = tmp_path / "link.keys"
    path.write_text(OLD)
    ring = load_keys(str(path))
    assert ring.sign(b"x")[0] == "old"
    path.write_text(NEW + OLD)
    assert ring.sign(b"x")[0] == "new"
