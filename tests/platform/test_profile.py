"""Tests of reading the settings file that the platform writes."""

import copy

import pytest

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.profile import load_profile, read_profile

FILE = {
    "node_name": "n-1",
    "ip": "10.1.0.4",
    "zone": "hall",
    "port_range": [7340, 7355],
    "seeds": ["10.2.0.1:8229"],
    "listen": {
        "front": "10.1.0.4:8227",
        "ready": "10.1.0.4:8220",
        "control": "10.1.0.4:8229",
    },
    "platform": {"address": "10.9.0.1:8223", "writes_per_s": 400},
    "bounds": {"contact_ms": 2500, "grace_s": 9, "retry_budget_ratio": 0.9},
    "new_field": {"of": "a later version"},
}
GONE = object()


def changed(path, value):
    """Return the settings with one value changed, or removed if `GONE`."""
    found = copy.deepcopy(FILE)
    table = found
    *keys, last = path.split(".")
    for key in keys:
        table = table[key]
    if value is GONE:
        del table[last]
    else:
        table[last] = value
    return found


def test_values_are_converted_to_internal_units():
    host = read_profile(FILE, "boot.toml")
    assert host.callers_address == ("10.1.0.4", 8227)
    assert host.peer_address == ("10.1.0.4", 8229)
    assert host.first_peers == ("10.2.0.1:8229",)
    assert (host.bounds.contact_s, host.bounds.grace_s) == (2.5, 9.0)
    assert host.platform_writes_per_s == 400.0


def test_peer_address_defaults_to_first_port_of_range():
    host = read_profile(changed("listen.control", GONE), "boot.toml")
    assert host.peer_address == ("10.1.0.4", 7340)


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        ("node_name", GONE, "node_name"),
        ("node_name", "", "node_name"),
        ("listen", GONE, "listen"),
        ("listen.front", "nowhere", "'nowhere'"),
        ("listen.ready", 7, "ready"),
        ("platform.address", "http://a", "'http://a'"),
        ("platform.writes_per_s", -1, "-1"),
        ("port_range", [1], "port_range"),
        ("bounds.grace_s", "soon", "'soon'"),
        ("bounds.exposure_share", 3, "exposure_share"),
        ("seeds", ["x"], "seeds"),
    ],
)
def test_fault_names_key_and_value(path, value, expected):
    with pytest.raises(LacewingdockError) as caught:
        read_profile(changed(path, value), "boot.toml")
    assert caught.value.kind is ErrorKind.BAD_SETTING
    assert expected in caught.value.detail


@pytest.mark.parametrize("text", [None, "= no toml", "\x00"])
def test_unreadable_file_is_a_coded_error(tmp_path, text):
    path = tmp_path / "boot.toml"
    if text is not None:
        path.write_text(text)
    with pytest.raises(LacewingdockError) as caught:
        load_profile(str(path))
    assert caught.value.kind is ErrorKind.BAD_SETTING
