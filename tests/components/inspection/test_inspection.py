"""Tests of the inspection of a running router."""

import socket
import threading

import msgspec
import pytest

from lacewingdock.components.gateway.metrics import GatewayMetrics
from lacewingdock.components.gateway.outcome import answered
from lacewingdock.components.inspection import InspectionPort
from lacewingdock.components.inspection.show import read_state, show_state
from lacewingdock.components.inspection.state import (
    CopyState,
    RollOutState,
    RouterState,
    ServiceState,
    UpstreamState,
)
from lacewingdock.components.upstreams.instance import InstanceState
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.http_client import get
from lacewingdock.platform.object_api import ObjectApi
from lacewingdock.world.route import Repeat

STATE = RouterState(
    instance="r-1",
    failure_domain="d1",
    release="1",
    up_s=3.5,
    missing="",
    leaving=False,
    active=2,
    configuration=7,
    store_away=True,
    store_doubtful=False,
    store_returned_s=1.5,
    store_era=4,
    store_restored=3,
    older_answers=11,
    eras_unread=12,
    older_entries=13,
    told_bytes=2048,
    messages_refused=3,
    copies=[CopyState("config", "1.41", 1, 0.25)],
    services=[ServiceState("svc", "v1", "", 12, 7.5, 0.1, 1.5)],
    roll_outs=[RollOutState("svc", "v2", "RAMP", 3.5, 20.0, 9, 2, True, "", 4)],
    upstreams=[
        UpstreamState(
            "i-1",
            "svc",
            "v1",
            "d1",
            "lapsed",
            3,
            1.5,
            7,
            0.2,
            None,
            2.5,
            0.4,
            6.0,
            1.25,
        )
    ],
    limits_named=2,
    leavings_said=5,
    rests_asked=7,
    suspects=14,
    suspects_held=15,
    suspect_decisions={"tried": 16},
    odd_values={"server-limit": 6},
    unknown_headers={"server-mood": 4},
    unknown_fields={"config.mood": 2},
)


METRICS = GatewayMetrics()
for taken_s in (0.1, 0.025, 40.0):
    METRICS.count_outcome("svc", Repeat.ONCE, 1, answered(200), taken_s)
METRICS.count_attempt(InstanceState.SOUND, "Whole", skipped_answers=2)


@pytest.fixture
def port():
    """Serve an inspection port; yield its URL."""
    api = ObjectApi("http://127.0.0.1:1")
    api.failures["list-config"] = 2
    found = InspectionPort(("127.0.0.1", 0), lambda: STATE, METRICS, api)
    stopping = threading.Event()
    threading.Thread(
        target=found.listener.run, args=(stopping,), daemon=True
    ).start()
    yield "http://{}:{}".format(*found.listener.address)
    stopping.set()
    found.listener.close()


def test_state_round_trip(port):
    assert read_state(port) == STATE


def test_metrics_text(port):
    text = get(f"{port}/metrics").decode()
    for line in (
        'lacewingdock_gateway_requests_total{code="200",contract="once",'
        'end="answered",rank="1",service="svc"} 3.0',
        'lacewingdock_gateway_attempts_total{result="Whole",state="sound"} 1.0',
        "lacewingdock_gateway_skipped_answers_total 2.0",
        'lacewingdock_gateway_request_seconds_bucket{contract="once",'
        'end="answered",le="0.1",rank="1"} 2.0',
        'lacewingdock_gateway_request_seconds_bucket{contract="once",'
        'end="answered",le="+Inf",rank="1"} 3.0',
        'lacewingdock_gateway_request_seconds_sum{contract="once",'
        'end="answered",rank="1"} 40.125',
        'lacewingdock_router_upstreams{service="svc",state="lapsed"} 1.0',
        'lacewingdock_router_retries_left{service="svc"} 7.5',
        "lacewingdock_router_active_requests 2.0",
        "lacewingdock_router_store_away 1.0",
        "lacewingdock_router_store_doubtful 0.0",
        "lacewingdock_router_store_returned_seconds 1.5",
        "lacewingdock_router_store_era 4.0",
        "lacewingdock_router_store_restored_total 3.0",
        "lacewingdock_router_older_answers_total 11.0",
        "lacewingdock_router_eras_unread_total 12.0",
        "lacewingdock_router_older_entries 13.0",
        "lacewingdock_router_told_bytes_total 2048.0",
        "lacewingdock_router_messages_refused_total 3.0",
        "lacewingdock_router_limits_named_total 2.0",
        "lacewingdock_router_leavings_said_total 5.0",
        "lacewingdock_router_rests_asked_total 7.0",
        "lacewingdock_router_suspects 14.0",
        "lacewingdock_router_suspects_held 15.0",
        'lacewingdock_router_suspect_decisions_total{decision="tried"} 16.0',
        'lacewingdock_router_unknown_names_total{name="server-limit",'
        'where="value"} 6.0',
        'lacewingdock_router_unknown_names_total{name="server-mood",'
        'where="answer"} 4.0',
        'lacewingdock_router_unknown_names_total{name="config.mood",'
        'where="object"} 2.0',
        'lacewingdock_router_limit_per_second{service="svc",'
        'upstream="i-1"} 2.5',
        'lacewingdock_router_copy_age_seconds{kind="config"} 0.25',
        'lacewingdock_platform_calls_failed_total{purpose="list-config"} 2.0',
        'lacewingdock_router_roll_out_answers{bad="yes",service="svc",'
        'stage="RAMP"} 2.0',
    ):
        assert line in text.splitlines()


@pytest.mark.parametrize("path", ["/", "/state/x", "/metricsx"])
def test_other_paths_are_not_found(port, path):
    with pytest.raises(OSError, match="404"):
        get(port + path)


@pytest.mark.parametrize(
    "data", [b"\r\n\r\n", b"GET /state HTTP/9.9\r\n\r\n", b"\xff" * 99]
)
def test_invalid_request_ends_only_its_connection(port, data):
    host, _, number = port.removeprefix("http://").partition(":")
    with socket.create_connection((host, int(number)), 5) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        sock.recv(65536)
    assert read_state(port) == STATE


@pytest.mark.parametrize("body", [b"{}", b"no json", b'{"instance": 3}'])
def test_invalid_state_is_a_coded_error(monkeypatch, body):
    name = "lacewingdock.components.inspection.show.get"
    monkeypatch.setattr(name, lambda _: body)
    with pytest.raises(LacewingdockError, match="no router"):
        read_state("http://127.0.0.1:1")


def test_shown_state_has_every_field_and_row():
    text = show_state(STATE)
    for name in msgspec.to_builtins(STATE):
        assert name in text
    assert "upstreams (1)" in text
    row = next(line for line in text.splitlines() if line.startswith("i-1"))
    cells = "i-1 svc v1 d1 lapsed 3 1.5 7 0.2 - 2.5 0.4 6 1.25"
    assert row.split() == cells.split()
