"""Tests for the rotation of link and session keys."""

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
def test_rotation_keeps_keys_that_are_still_listed(tmp_path, after, accepted):
    # Guards against sessions and links being rejected fleet-wide while a key
    # file is replaced: if keys are read only at start, or if a partially
    # written file replaces the current keys.
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
