"""Tests of a router process that is paused while callers' requests wait."""

import os
import signal
import time

import pytest

from tests.components.gateway.fakes import Upstream, read_answer, request
from tests.daemons.router_site import server
from tests.waiting import wait

CALLS = 5


def ready_router(site):
    router = site.first
    router.start()
    wait(router.is_ready)
    wait(lambda: '"message":"upstream"' in router.log.read_text())
    return router


def paused(router, seconds):
    os.kill(router.popen.pid, signal.SIGSTOP)
    time.sleep(seconds)
    os.kill(router.popen.pid, signal.SIGCONT)


@pytest.mark.parametrize("kind", ["closed", "kept"])
def test_paused_router_begins_nothing_whose_caller_left(site, kind):
    """Symptom: upstreams work for callers that left during a pause.

    Sequence: requests wait in the sockets of a paused router; their callers
    disconnect one after the other; the router resumes.
    """
    router = ready_router(site)
    socks = [router.connect() for _ in range(CALLS)]
    if kind == "kept":
        for number, sock in enumerate(socks):
            assert router.call(sock, call_id=f"before-{number}")[0] == 200
    os.kill(router.popen.pid, signal.SIGSTOP)
    for number, sock in enumerate(socks):
        sock.sendall(request(call_id=f"given-up-{number}"))
        sock.close()
    os.kill(router.popen.pid, signal.SIGCONT)
    assert router.call(call_id="after")[0] == 200
    time.sleep(0.3)
    assert not [r for r in site.upstream.requests if "given-up" in r]


def test_router_that_wakes_after_the_deadline_sends_nothing(site):
    """Symptom: a request is retried after its deadline.

    Sequence: a router is paused with an attempt in flight until after the
    request's deadline; the attempt's upstream does not answer.
    """
    router = ready_router(site)
    silent = [Upstream(lambda *_: time.sleep(20)) for _ in range(2)]
    for number, upstream in enumerate(silent, 2):
        site.api.write("servers", f"i-{number}", server(upstream.port), 0, "t")
    site.upstream.steps = [lambda *_: time.sleep(20)] * 3
    wait(lambda: router.log.read_text().count('"message":"upstream"') > 2)
    sock = router.connect()
    sock.sendall(request(call_id="slow", deadline_ms=1000))
    upstreams = [site.upstream, *silent]

    def sent():
        return sum(len(upstream.requests) for upstream in upstreams)

    wait(lambda: sent() == 1)
    paused(router, 2.0)
    assert read_answer(sock)[0] in (502, 504)
    time.sleep(0.3)
    assert sent() == 1
    for upstream in silent:
        upstream.close()
