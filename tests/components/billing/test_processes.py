"""Tests of billing with real processes, kills and platform outages.

Bills are counted in the objects of the platform stand-in, and requests and
tokens in the responses to the callers. Neither relies on figures that the
system reports about itself.
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
    """Return every row of the ledger as a list of the fields of `Bill`."""
    url = deployment.processes["platform"].url()
    listing = call("GET", url + LEDGER).json()
    rows = []
    for stored in listing["items"]:
        rows += json.loads(
            zlib.decompress(base64.b64decode(stored["spec"]["value"]))
        )
    return rows


def wait_billed(deployment, replies):
    """Wait until all bills are in the ledger; return the rows per attempt."""
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
    """Send requests to an entry and check that each succeeds."""
    replies = [
        chat(deployment, f"sofa {n}", tokens=4, entry=entry)
        for n in range(count)
    ]
    assert {reply.status for reply in replies} == {200}
    return replies


def find_entry_with_bills(deployment):
    """Return the name of an entry that holds pending bills."""
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
    """Stream through an entry in a thread.

    Its links then carry a request, so that its silence is detected once it is
    frozen.
    """
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


# Guards against requests that are never billed because they ran during a
# platform outage: a failed ledger write that is not retried loses its bills.
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
    """End the platform outage and return every row of the ledger."""
    deployment.faults()
    return ledger(deployment)


# Guards against duplicate bills after the answer of a ledger write was lost:
# the write took effect, and a writer that assumes it didn't writes again.
def test_lost_ledger_answers(deployment):
    deployment.faults(lose_answers=3, lose_collection="ledger")
    replies = send_requests(deployment, "entry-1")
    counts = wait_billed(deployment, replies)
    deployment.faults()
    assert set(counts.values()) == {1}


# Guards against lost or duplicate bills of an entry that is killed, or frozen
# until another entry has written its bills and then thawed. They are lost if
# the entry held the only copy, and duplicated if both entries write them.
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


# Guards against lost bills of a sidecar that is killed after the callers got
# their complete answers and before the bills are in the ledger: they are lost
# if the sidecar held the only copy.
def test_a_sidecar_is_killed_with_bills_held(deployment):
    deployment.faults(down=True)
    replies = send_requests(deployment, "entry-0")
    deployment.processes["worker-0"].kill()
    deployment.faults()
    counts = wait_billed(deployment, replies)
    deployment.restart("worker-0")
    deployment.wait_ready()
    assert set(counts.values()) == {1}


# Guards against charging a repeated booking again: one idempotency key is sent
# through three entries, and a bill per request rather than per run charges it
# three times.
def test_a_repeated_claim_is_billed_once(deployment):
    first, *_ = (
        book(deployment, "bill-slot", "bill-key", entry=f"entry-{n}")
        for n in range(3)
    )
    wait_billed(deployment, [first])
    bookings = [row for row in ledger(deployment) if row[5] == "booking"]
    assert len(bookings) == 1


# Guards against billing nothing, or the complete answer, when a caller closes
# its connection in mid-stream: the engine reports its token count only with
# the last event.
def test_a_cancelled_stream_is_billed_for_what_was_generated(deployment):
    # The engine's sidecar was restarted, and the entry may still be dialing it.
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
