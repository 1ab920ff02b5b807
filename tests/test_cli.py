"""Tests for the command line and its error codes and exit statuses."""

import socket

import pytest

from lacewingdock.cli import run_command
from lacewingdock.const import VERSION

EXAMPLE = "examples/carpato.yaml"
ENTRY = [
    "entry",
    "--instance=e",
    "--failure_domain=d",
    "--platform=http://127.0.0.1:1",
    "--port=0",
    "--plain_callers",
]


@pytest.fixture
def parameters(tmp_path):
    """Provides paths and a port in use for the command lines of the table."""
    (tmp_path / "keys").write_text("k1 sixteen-characters-at-least\n")
    (tmp_path / "short").write_text("k1 my-secret\n")
    (tmp_path / "faulty.yaml").write_text(
        "cascade: {c: {steps: [{version: none}]}}\nbrand: {}\n"
    )
    with socket.create_server(("127.0.0.1", 0)) as taken:
        yield {
            "tmp": tmp_path,
            "keys": f"--link_keys_file={tmp_path}/keys"
            f" --session_keys_file={tmp_path}/keys",
            "taken": taken.getsockname()[1],
        }


@pytest.mark.parametrize(
    ("line", "status", "message"),
    [
        ("", 0, "Commands:"),
        ("--help", 0, "Commands:"),
        ("version", 0, VERSION),
        ("version upper", 2, "bad_command: version: too many"),
        ("version --loud", 2, "bad_command: version: got an unexpected"),
        ("version - upper", 2, "bad_command: '-'"),
        ("version -- --interactive", 2, "bad_command: '--'"),
        ("nonsense", 2, "bad_command: 'nonsense': want one of apply"),
        ("check", 2, "bad_command: check: missing a required"),
        ("check {tmp}/none", 2, "bad_command"),
        ("check {tmp}/faulty.yaml", 2, "cascade/c: no version 'none'"),
        ("check {tmp}/faulty.yaml", 2, "brand: want a map under one of"),
        (f"check {EXAMPLE}", 0, "no faults"),
        (f"diff {EXAMPLE}", 2, "--platform: required"),
        (
            f"apply {EXAMPLE} --platform=http://127.0.0.1:1",
            1,
            "platform_unavailable",
        ),
        ("bills", 2, "bad_command: bills: missing a required"),
        ("bills retail", 2, "--platform: required"),
        ("bills retail --day=today", 2, "--day='today'"),
        (
            "bills retail --platform=http://127.0.0.1:1",
            1,
            "platform_unavailable",
        ),
        ("ask show --operator_key=my-secret", 2, "--operator_key: is a secret"),
        ("ask show", 2, "--entry: required"),
        ("entry --help", 0, "LACEWINGDOCK_SLOW_CALLER_S"),
        ("sidecar -h", 0, "--replay_bytes"),
        ("ENTRY --plain_links --color=red", 2, "--color: no such setting"),
        (
            "ENTRY --link_keys_file={tmp}/none --session_keys_file=x",
            2,
            "bad_setting: key file: No such file",
        ),
        (
            "ENTRY --link_keys_file={tmp}/short --session_keys_file=x",
            2,
            "bad_setting: key file line 1",
        ),
        ("ENTRY {keys} --link_port={taken}", 3, "port_taken: 127.0.0.1:"),
        ("ENTRY {keys} --port={taken}", 3, "port_taken: 127.0.0.1:"),
        ("ENTRY {keys} --host=203.0.113.1", 2, "bad_setting: 203.0.113.1"),
        (
            "ENTRY {keys} --tls_cert={tmp}/none --tls_key={tmp}/none",
            2,
            "bad_setting: TLS files",
        ),
        (
            "ENTRY {keys} --tls_cert={tmp}/keys --tls_key={tmp}/keys",
            2,
            "bad_setting: TLS files",
        ),
    ],
)
def test_exit_status_and_message(parameters, capfd, line, status, message):
    words = line.format(**parameters).split()
    if words[:1] == ["ENTRY"]:
        words[:1] = ENTRY
    assert run_command(words) == status
    output = "".join(capfd.readouterr())
    assert message in output
    assert "my-secret" not in output and "Traceback" not in output
