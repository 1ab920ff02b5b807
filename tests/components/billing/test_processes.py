"""Tests of billing through real processes, kills and outages.

Bills are counted in the platform stand-in's objects, requests and tokens as
the callers got them; neither is the system's own word.
"""

import base64
import json
import signal
import threading
import time
import zlib
from collections import Counter

import pytest

from bench.deployment import Deployment, Shape, wait_until
from bench.example import apply_example
from bench.http import call
from tests.common import book, chat

LEDGER = "/objects/ledger"
REQUEST_ID = "lacewingdock-request-id"


@pytest.fixture(scope="module")
def deployment():
    with Deployment(Shape(entries=3)) as running:
        apply_example(running)
        yield running


def ledger(deployment):
    """Return every row of the ledger: attempt, request, step and so on."""
    url = deployment.processes["platform"].url()
    listing = call("GET", url + LEDGER).json()
    rows = []
    for stored in listing["items"]:
        rows += json.loads(
            zlib.decompress(base64.b64decode(stored["spec"]["value"]))
        )
    return rows


def wait_billed(deployment, replies):
    """Wait until each request is in the ledger, then count again."""
    wanted = {reply.headers[REQUEST_ID] for reply in replies}
    wait_until(
        lambda: wanted <= {row[1] for row in ledger(deployment)},
        "requests are not in the ledger",
    )
    held = "lacewingdock_bills_held"
    wait_until(
        lambda: (
            not any(
                deployment.metric(p, held)
                for p in deployment.daemons()
                if p.popen.poll() is None
            )
        ),
        "bills are still held",
    )
    return Counter(row[0] for row in ledger(deployment))


def send_requests(deployment, entry, count=6):
    replies = [
        chat(deployment, f"sofa {n}", tokens=4, entry=entry)
        for n in range(count)
    ]
    assert {reply.status for reply in replies} == {200}
    return replies


def find_entry_with_bills(deployment):
    """Return the name of the entry that holds bills now."""
    name = "lacewingdock_bills_pending"
    found = []

    def refresh():
        found[:] = [
            p.name
            for p in deployment.daemons()
            if p.name.startswith("entry") and deployment.metric(p, name) > 0
        ]
        return bool(found)

    wait_until(refresh, "no entry holds bills")
    return found[0]


def start_stream(deployment, entry):
    """Stream through an entry; its links then carry work, and silence shows."""
    begun = threading.Event()
    options = {"stream": True, "tokens": 300, "entry": entry}
    thread = threading.Thread(
        target=lambda: chat(
            deployment, "held", on_data=lambda _: begun.set(), **options
        )
    )
    thread.start()
    assert begun.wait(10)
    return thread


# Symptom: the platform was down and requests of that time are never billed.
# Events: the platform goes down, requests run, it comes back. Cause: a
# ledger write that failed is given up.
def test_requests_of_an_outage_are_billed_once(deployment):
    deployment.faults(down=True)
    replies = send_requests(deployment, "entry-0")
    time.sleep(2)
    assert not {r.headers[REQUEST_ID] for r in replies} & {
        row[1] for row in restore_and_read_ledger(deployment)
    }
    counts = wait_billed(deployment, replies)
    assert set(counts.values()) == {1}


def restore_and_read_ledger(deployment):
    deployment.faults()
    return ledger(deployment)


# Symptom: bills stand twice after a ledger write's answer was lost. Events:
# the write takes effect, its answer never comes, it is tried again. Cause:
# the writer takes no answer for no effect.
def test_lost_ledger_answers(deployment):
    deployment.faults(lose_answers=3, lose_collection="ledger")
    replies = send_requests(deployment, "entry-1")
    counts = wait_billed(deployment, replies)
    deployment.faults()
    assert set(counts.values()) == {1}


# Symptom: the bills that an entry held are gone or stand twice. Events: the
# platform is down, requests run, the entry that holds their bills is killed,
# or freezes until another took its bills over and then thaws. Cause: the
# entry's memory was the only place, or two entries write the same bills.
@pytest.mark.parametrize("end", ["kill", "freeze"])
def test_an_entry_goes_with_bills_pending(deployment, end):
    deployment.faults(down=True)
    replies = send_requests(deployment, "entry-2")
    name = find_entry_with_bills(deployment)
    process = deployment.processes[name]
    if end == "kill":
        process.kill()
        deployment.faults()
    else:
        stream = start_stream(deployment, name)
        process.signal(signal.SIGSTOP)
        deployment.faults()
        wanted = {reply.headers[REQUEST_ID] for reply in replies}
        wait_until(
            lambda: wanted <= {row[1] for row in ledger(deployment)},
            "no other entry wrote the bills",
        )
        process.signal(signal.SIGCONT)
        stream.join()
    counts = wait_billed(deployment, replies)
    if end == "kill":
        deployment.restart(name)
        deployment.wait_ready()
    assert set(counts.values()) == {1}


# Symptom: what a killed sidecar's upstream ran is never billed. Events:
# requests run, their callers have whole answers, the sidecar is killed before
# the ledger has the bills. Cause: the sidecar's memory was the only place.
def test_a_sidecar_is_killed_with_bills_held(deployment):
    deployment.faults(down=True)
    replies = send_requests(deployment, "entry-0")
    deployment.processes["worker-0"].kill()
    deployment.faults()
    counts = wait_billed(deployment, replies)
    deployment.restart("worker-0")
    deployment.wait_ready()
    assert set(counts.values()) == {1}


# Symptom: a caller that sends a booking again pays twice. Events: the same
# key comes three times through three entries. Cause: a bill for each request
# rather than for each run.
def test_a_repeated_claim_is_billed_once(deployment):
    first, *_ = (
        book(deployment, "bill-slot", "bill-key", entry=f"entry-{n}")
        for n in range(3)
    )
    wait_billed(deployment, [first])
    bookings = [row for row in ledger(deployment) if row[5] == "booking"]
    assert len(bookings) == 1


# Symptom: a caller that leaves a stream pays nothing, or for all of it.
# Events: a caller closes its connection in mid-stream. Cause: the engine
# says its token count only with the last event.
def test_a_cancelled_stream_is_billed_for_what_was_generated(deployment):
    # The engine's sidecar was restarted; the entry may be dialing it still.
    wait_until(
        lambda: chat(deployment, "probe", tokens=2).status == 200,
        "no engine is linked",
    )

    def hang_up(_):
        raise ConnectionAbortedError

    reply = chat(deployment, "left", stream=True, tokens=4000, on_data=hang_up)
    assert reply.status == 200
    request = reply.headers[REQUEST_ID]
    found = []

    def refresh():
        found[:] = [r for r in ledger(deployment) if r[1] == request]
        return bool(found)

    wait_until(refresh, "the cancelled stream is not billed")
    (row,) = found
    assert row[10] == "cancelled"
    assert 0 < row[8] < 4000
