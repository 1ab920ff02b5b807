"""Tests of reloading the profile file while a router runs."""

import logbook
import pytest

from lacewingdock.components.host_watch import HostWatch
from lacewingdock.platform.profile import parse_profile

FILE = """
node_name = "{name}"
ip = "10.1.0.4"
zone = "hall"
port_range = [7340, 7355]
seeds = ["{seed}"]
[listen]
front = "10.1.0.4:8227"
ready = "10.1.0.4:8220"
[platform]
address = "10.9.0.1:8223"
writes_per_s = {writes}
[bounds]
grace_s = {grace}
retry_budget_ratio = {ratio}
"""
PLAIN = {
    "name": "n-1",
    "seed": "10.2.0.1:8229",
    "writes": 400,
    "grace": 8,
    "ratio": 0.5,
}


def file(**changes):
    """Return the text of a profile file."""
    return FILE.format(**PLAIN | changes)


@pytest.fixture
def watched(tmp_path):
    """Return a profile file and the watch that was started with it."""
    path = tmp_path / "boot.toml"
    path.write_text(file())
    text = file()
    return path, HostWatch(str(path), text, parse_profile(text, str(path)))


def logged(handler):
    """Return message and fields of the logged records."""
    return [(one.message, dict(one.kwargs)) for one in handler.records]


@pytest.mark.parametrize(
    ("changes", "taken", "fixed"),
    [
        ({"grace": 5}, ["bounds"], []),
        ({"seed": "10.3.0.1:8229"}, ["first_peers"], []),
        ({"writes": 90}, ["platform_writes_per_s"], []),
        ({"name": "n-2"}, [], ["instance"]),
        ({"name": "n-2", "ratio": 0.1}, ["bounds"], ["instance"]),
    ],
)
def test_changed_file_is_applied_without_a_signal(
    watched, changes, taken, fixed
):
    path, watch = watched
    host = watch.host
    path.write_text(file(**changes))
    with logbook.TestHandler() as handler:
        watch.check(asked=False)
        watch.check(asked=False)
    fields = {"asked": False, "taken": taken, "need_restart": fixed}
    assert logged(handler) == [("settings read again", fields)]
    wanted = parse_profile(file(**changes), "x")
    assert watch.host is host
    for name in taken:
        assert getattr(host, name) == getattr(wanted, name)
    assert host.instance == "n-1"


@pytest.mark.parametrize("text", [None, "grace_s = ", file(grace=-1)])
def test_invalid_file_leaves_the_previous_settings_in_use(watched, text):
    path, watch = watched
    if text is None:
        path.unlink()
    else:
        path.write_text(text)
    with logbook.TestHandler() as handler:
        watch.check(asked=False)
        watch.check(asked=False)
    assert [message for message, _ in logged(handler)] == [
        "settings not read again"
    ]
    assert watch.host.bounds.grace_s == 8.0
    path.write_text(file(grace=5))
    watch.check(asked=False)
    assert watch.host.bounds.grace_s == 5.0


def test_signal_is_logged_even_if_nothing_changed(watched):
    _, watch = watched
    with logbook.TestHandler() as handler:
        watch.check(asked=True)
    fields = {"asked": True, "taken": [], "need_restart": []}
    assert logged(handler) == [("settings read again", fields)]
