"""Fuzz tests of key files."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingdock.exceptions import LacewingdockError
from lacewingdock.links.keys import load_keys
from tests.fuzz.common import coded, fuzzed


@fuzzed
@given(st.binary(max_size=80))
def test_key_file(tmp_path_factory, data):
    path = tmp_path_factory.mktemp("keys") / "keys"
    path.write_bytes(data)
    coded(load_keys, str(path))


def test_key_file_without_end():
    with pytest.raises(LacewingdockError, match="bad_setting"):
        load_keys("/dev/zero")
