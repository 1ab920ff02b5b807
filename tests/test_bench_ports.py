"""Tests of the ports that launchers of deployments give out."""

import socket
import subprocess
import sys

import pytest

from bench import ports as ports_module
from bench.ports import HOST, SIZE, PortRange

# Takes a range in a process of its own and holds it until it is ended.
HOLDER = (
    "import pathlib, sys; from bench.ports import PortRange;"
    "held = PortRange(pathlib.Path(sys.argv[1]));"
    "print(held.first, flush=True);"
    "sys.stdin.read()"
)


def test_two_launchers_do_not_give_out_the_same_port(tmp_path):
    """A process of another deployment answers on a port of this one.

    Symptom: `apply_example` gets a 404 from the platform's stand-in.
    Events: two launchers look the same port up before its process listens.
    Cause: a port that is looked up free is not held.
    """
    other = subprocess.Popen(
        [sys.executable, "-c", HOLDER, str(tmp_path)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        first = int(other.stdout.readline())
        own = PortRange(tmp_path)
        theirs = set(range(first, first + SIZE))
        assert not theirs & set(own.take(SIZE // 2))
    finally:
        other.communicate()
    # Its range is free again once the process has ended.
    assert PortRange(tmp_path).first == first


def test_ports_differ_from_call_to_call(tmp_path):
    own = PortRange(tmp_path)
    taken = own.take(20) + own.take(20)
    assert len(set(taken)) == len(taken)


def test_port_in_use_is_passed_over(tmp_path):
    """Guards against a port that another process listens on."""
    own = PortRange(tmp_path)
    # The range has its lock here alone, so any of its ports may be in use.
    (port,) = own.take(1)
    with socket.create_server((HOST, port)):
        assert port not in own.take(SIZE)


def test_no_range_left(tmp_path, monkeypatch):
    monkeypatch.setattr(ports_module, "RANGES", 2)
    held = [PortRange(tmp_path) for _ in range(2)]
    with pytest.raises(RuntimeError):
        PortRange(tmp_path)
    held[0].close()
    assert PortRange(tmp_path).first == held[0].first
