"""Tests for session tokens."""

import base64
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.sessions import (
    Session,
    open_session,
    sign_session,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.keys import KeyRing, load_keys

SESSION = Session("retail", "drafter", "drafter-1")
OLD = "s1 a-session-key-of-the-tests\n"
NEW = "s2 another-key-of-the-tests\n"
FOREIGN = KeyRing("x", {"s1": b"not-the-key-of-the-tests"}, (1, 1))


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "session.keys"
    path.write_text(OLD)
    return path


def rotate(file, text):
    """Rewrite the key file as an operator does, with a new mtime."""
    file.write_text(text)
    stat = os.stat(file)
    os.utime(file, ns=(stat.st_atime_ns, stat.st_mtime_ns + 1_000_000))


def forged(token):
    payload = b'{"workspace":"retail","name":"drafter","version":"planner-1"}'
    return ".".join(
        [base64.urlsafe_b64encode(payload).decode(), *token.split(".")[1:]]
    )


@pytest.mark.parametrize(
    "corrupt",
    [
        forged,
        lambda token: token[:-4],
        lambda token: token.rpartition(".")[0],
        lambda token: token + ".",
        lambda token: "",
        lambda token: "é" * 8,
        lambda token: "a" * 5000,
        lambda token: sign_session(SESSION, FOREIGN),
    ],
)
def test_a_token_that_is_not_genuine_is_refused(file, corrupt):
    keys = load_keys(str(file))
    token = sign_session(SESSION, keys)
    with pytest.raises(LacewingdockError) as refused:
        open_session(corrupt(token), "retail", keys)
    assert refused.value.kind is ErrorKind.BAD_TOKEN
    assert refused.value.ran == "no"


def test_another_workspace_s_token_is_refused(file):
    keys = load_keys(str(file))
    with pytest.raises(LacewingdockError) as refused:
        open_session(sign_session(SESSION, keys), "notes", keys)
    assert refused.value.kind is ErrorKind.BAD_TOKEN


def test_a_token_outlives_the_rotation_of_its_key(file):
    """The session keys are rotated while sessions continue.

    Symptom: a session is refused, or moves to another version.
    Cause: its token was signed with the previous signing key.
    """
    one, other = load_keys(str(file)), load_keys(str(file))
    token = sign_session(SESSION, one)
    rotate(file, NEW + OLD)
    assert open_session(token, "retail", other) == SESSION
    renewed = sign_session(SESSION, one)
    rotate(file, NEW)
    assert open_session(renewed, "retail", other) == SESSION
    with pytest.raises(LacewingdockError):
        open_session(token, "retail", other)


@settings(derandomize=True, deadline=None)
@given(st.text(max_size=60))
def test_any_text_is_refused_as_a_bad_token(text):
    keys = KeyRing("x", {"s1": b"a-session-key-of-the-tests"}, (1, 1))
    with pytest.raises(LacewingdockError) as refused:
        open_session(text, "retail", keys)
    assert refused.value.kind is ErrorKind.BAD_TOKEN
