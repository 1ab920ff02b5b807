"""Tests for settings from flags and environment variables."""

from typing import Annotated

import pytest
from msgspec import Meta
from testtools.matchers import Contains, MatchesAll, Not

from lacewingdock import settings as settings_module
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.describe import allowed, describe
from lacewingdock.settings import (
    OTHER_SETTINGS,
    EntrySettings,
    SidecarSettings,
    load_settings,
    variable_name,
)

ENTRY = {
    "instance": "entry-0",
    "failure_domain": "hall-a",
    "platform": "http://127.0.0.1:1",
    "port": "0",
    "plain_links": "true",
    "plain_callers": "true",
}
SIDECAR = {
    "instance": "worker-0",
    "failure_domain": "hall-a",
    "platform": "http://127.0.0.1:1",
    "upstream": "http://127.0.0.1:2",
    "plain_links": "true",
}


def fault(cls, flags, environ=None):
    """Return the error detail for settings; empty if they are valid."""
    try:
        load_settings(cls, flags, environ or {})
    except LacewingdockError as error:
        assert error.answer.exit_status == 2
        return error.detail
    return ""


@pytest.mark.parametrize(
    ("cls", "change", "message"),
    [
        (EntrySettings, {}, ""),
        (SidecarSettings, {}, ""),
        (EntrySettings, {"instance": "007"}, ""),
        (EntrySettings, {"instance": "1e3\n"}, "--instance='1e3\\n': want low"),
        (EntrySettings, {"port": "70000"}, "an integer from 0 to 65535"),
        (EntrySettings, {"port": "x"}, "--port='x': want an integer"),
        (EntrySettings, {"grace_s": "nan"}, "a number above 0 up to 86400"),
        (EntrySettings, {"host": "1.2.3.256"}, "want an IPv4 address"),
        (EntrySettings, {"host": "localhost"}, "want an IPv4 address"),
        (EntrySettings, {"platform": "http://1.2.3.4:65536"}, "want a URL"),
        (EntrySettings, {"platform": "ftp://1.2.3.4:1"}, "want a URL"),
        (EntrySettings, {"log_level": "loud"}, "one of debug, info"),
        (EntrySettings, {"plain_links": "maybe"}, "true or false"),
        (EntrySettings, {"max_body_bytes": "99999999"}, "to 3932160"),
        (EntrySettings, {"color": "red"}, "--color: no such setting"),
        (EntrySettings, {"tls_cert": "a.pem"}, "want both or neither"),
        (EntrySettings, {"plain_callers": "false"}, "--tls_cert: required"),
        (
            EntrySettings,
            {"plain_links": "false", "link_keys_file": "k"},
            "--session_keys_file: required",
        ),
        (SidecarSettings, {"plain_links": "0"}, "--link_keys_file: required"),
        (SidecarSettings, {"upstream_kind": "service"}, "--service: required"),
        (SidecarSettings, {"service": "booking"}, "--service: only with"),
    ],
)
def test_each_fault_names_the_setting_and_allowed_values(cls, change, message):
    base = ENTRY if cls is EntrySettings else SIDECAR
    found = fault(cls, {**base, **change})
    assert message in found and bool(message) == bool(found)


def test_all_faults_are_named_at_once():
    found = fault(EntrySettings, {"port": "x", "color": "red", "subset": "1"})
    wanted = ("--port", "--color", "--subset", "--instance", "--tls_cert")
    assert MatchesAll(*map(Contains, wanted)).match(found) is None


def test_flag_takes_precedence_over_its_variable():
    environ = {variable_name(n): v for n, v in ENTRY.items()}
    found = load_settings(EntrySettings, {"instance": "flag"}, environ)
    assert (found.instance, found.failure_domain) == ("flag", "hall-a")


def test_a_misspelt_variable_is_named_without_its_value():
    environ = {"LACEWINGDOCK_LINK_KEY": "secret", "LACEWINGDOCK_SUBSET": "9"}
    found = fault(SidecarSettings, SIDECAR, environ)
    assert Contains("LACEWINGDOCK_LINK_KEY: no such").match(found) is None
    assert Not(Contains("secret")).match(found) is None
    assert "SUBSET" not in found


@pytest.mark.parametrize("cls", [EntrySettings, SidecarSettings])
def test_variables_of_each_command_are_accepted_by_all(cls):
    """Guards against daemons that reject the variable of another command.

    Daemons failed to start because the settings class of the command was
    missing from `OTHER_SETTINGS`.
    """
    settings = [
        found
        for found in vars(settings_module).values()
        if isinstance(found, type) and found.__name__.endswith("Settings")
    ]
    assert len(settings) > 5
    names = {s.name for found in settings for s in describe(found)}
    environ = {variable_name(name): "" for name in names}
    assert "no such setting" not in fault(cls, {}, environ)


@pytest.mark.parametrize(
    "cls", [EntrySettings, SidecarSettings, *OTHER_SETTINGS]
)
def test_every_setting_has_a_meaning(cls):
    for setting in describe(cls):
        assert setting.meaning and setting.allowed


@pytest.mark.parametrize(
    ("bounds", "description"),
    [
        (Meta(ge=0, le=1), "a number from 0 to 1"),
        (Meta(ge=0.0, le=1.0), "a number from 0 to 1"),
        (Meta(gt=0.25, lt=86400.0), "a number above 0.25 below 86400"),
    ],
)
def test_description_of_bounds_is_independent_of_import_order(
    bounds, description
):
    """Guards against descriptions that depend on the order of imports.

    `typing` caches one of two equal annotations, and 0 equals 0.0, so a table
    showed "from 0" or "from 0.0" depending on the order of the tests.
    """
    assert allowed(Annotated[float, bounds]) == description
