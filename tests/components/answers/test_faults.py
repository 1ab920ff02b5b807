"""Tests for whole answers through real processes and real faults.

What a caller got is compared with what the engine's stand-in writes for its
prompt; what ran is counted at the stand-in.
"""

import signal
import threading
import time

import pytest

from bench.deployment import Shape, wait_until
from bench.example import NOTES_KEY, RETAIL_KEY, apply_example
from bench.http import call
from bench.relay import RelayedDeployment
from bench.stream import Stream
from standins.engine import expected_words
from tests.common import chat

TOKENS = 120
SLOW_FIRST_S = 1.0


@pytest.fixture(scope="module")
def deployment():
    flags = ["--resume_s=4"]
    shape = Shape(entries=2, workers=2, token_s=0.008, sidecar_flags=flags)
    with RelayedDeployment(shape) as running:
        apply_example(running)
        yield running
        # Their stop would wait for answers that a test never fetched.
        for index in range(2):
            running.processes[f"worker-{index}"].kill()


@pytest.fixture(autouse=True)
def restored(deployment):
    """Undo what a test did to the engines and sidecars."""
    yield
    for index in range(2):
        for name in (f"engine-{index}", f"worker-{index}"):
            if deployment.processes[name].popen.poll() is not None:
                deployment.restart(name)
        deployment.wait_port(deployment.processes[f"engine-{index}"])
        control(deployment, index, resumable=True, first_s=0.02, cut_after=0)
    deployment.wait_ready()
    deployment.wait_links()


def control(deployment, index, **change):
    engine = deployment.processes[f"engine-{index}"]
    call("POST", f"{engine.url()}/control", change)


def status(deployment, index):
    engine = deployment.processes[f"engine-{index}"]
    return call("GET", f"{engine.url()}/status").json()


def served(deployment):
    return [
        sum(status(deployment, index)["served"].values()) for index in (0, 1)
    ]


def begin(deployment, prompt, entry="entry-0", key=RETAIL_KEY, **headers):
    url = deployment.processes[entry].url()
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    return Stream(url, key, prompt, TOKENS, headers=sent)


def whole(prompt):
    return expected_words("drafter-1", prompt, TOKENS, True)


def place(deployment, stream):
    """Wait until a stream is under way and return its worker's number."""
    stream.wait_parts(20)
    return int(stream.last_id().split("/")[0].removeprefix("worker-"))


def silence(deployment, index):
    deployment.relays[f"worker-{index}"].swallow()


def silence_and_thaw(deployment, index):
    relay = deployment.relays[f"worker-{index}"]
    opened = len(relay.pairs)
    relay.swallow()
    wait_until(lambda: len(relay.pairs) > opened, "no new link")
    relay.thaw()


def cut(deployment, index):
    deployment.relays[f"worker-{index}"].cut()


def freeze(deployment, index):
    sidecar = deployment.processes[f"worker-{index}"]
    relay = deployment.relays[f"worker-{index}"]
    opened = len(relay.pairs)
    sidecar.signal(signal.SIGSTOP)
    wait_until(lambda: len(relay.pairs) > opened, "no new link")
    sidecar.signal(signal.SIGCONT)


@pytest.mark.parametrize("fault", [silence, silence_and_thaw, cut, freeze])
def test_stream_is_whole_over_a_new_link(deployment, fault):
    """Symptom: an answer hangs, or words are missing or there twice.

    Sequence: in mid-stream the link goes silent for good, goes silent and
    brings all it held back later, breaks, or its sidecar stops for a while.
    Cause: something between the two ends lost track of the connection.
    """
    before = served(deployment)
    prompt = f"plan {fault.__name__}"
    stream = begin(deployment, prompt)
    fault(deployment, place(deployment, stream))
    stream.join()
    assert (stream.words(), stream.is_done()) == (whole(prompt), True)
    assert sum(served(deployment)) == sum(before) + 1


@pytest.mark.parametrize("resumable", [True, False])
def test_engine_connection_breaks(deployment, resumable):
    """Symptom: half an answer, taken for whole, or mixed from two runs.

    Sequence: the connection between sidecar and engine breaks in mid-stream.
    Cause: the engine goes on and can be asked for the rest, or it can't: then
    the caller is told that the answer ran and is not whole.
    """
    before = served(deployment)
    for index in (0, 1):
        control(deployment, index, resumable=resumable, cut_after=30)
    prompt = f"engine cut {resumable}"
    stream = begin(deployment, prompt)
    stream.join()
    assert whole(prompt).startswith(stream.words())
    assert sum(served(deployment)) == sum(before) + 1
    if resumable:
        assert (stream.words(), stream.is_done()) == (whole(prompt), True)
    else:
        assert not stream.is_done()
        problem = stream.error()
        assert (problem["code"], problem["ran"]) == ("upstream_failed", "yes")


@pytest.mark.parametrize(
    ("victim", "code"),
    [("engine", "upstream_failed"), ("worker", "outcome_unknown")],
)
def test_killed_in_mid_stream(deployment, victim, code):
    """Symptom: a caller waits for good, or its answer starts anew.

    Sequence: engine or sidecar is killed in mid-stream. Cause: the rest is
    lost; another run would not go on where this one ended.
    """
    stream = begin(deployment, f"kill {victim}")
    index = place(deployment, stream)
    deployment.processes[f"{victim}-{index}"].kill()
    stream.join()
    assert not stream.is_done()
    assert (stream.error()["code"], stream.error()["ran"]) == (code, "yes")


@pytest.mark.parametrize("fault", ["silence", "kill"])
def test_nothing_shown_goes_elsewhere(deployment, fault):
    """Symptom: a request fails though another upstream could take it.

    Sequence: before its first word the sidecar is killed or its link goes
    silent with the request in it. Cause: one upstream's death.
    """
    for index in (0, 1):
        control(deployment, index, first_s=SLOW_FIRST_S)
    before = served(deployment)
    prompt = f"nothing shown {fault}"
    if fault == "silence":
        silence(deployment, 0)
        silence(deployment, 1)
    stream = begin(deployment, prompt)
    if fault == "kill":
        wait_until(lambda: served(deployment) != before, "not served")
        (index,) = (i for i in (0, 1) if served(deployment)[i] != before[i])
        deployment.processes[f"worker-{index}"].kill()
    stream.join()
    assert (stream.words(), stream.is_done()) == (whole(prompt), True)


def test_entry_replaced_in_mid_stream(deployment):
    """Symptom: a caller loses the rest of its answer, or another gets it.

    Sequence: the entry is killed in mid-stream; the caller comes back to
    another one with its key and the id of the last event it has; so does
    somebody of another workspace. Cause: entries keep nothing.
    """
    prompt = "entry replaced"
    first = begin(deployment, prompt, Idempotency_Key="k1")
    place(deployment, first)
    deployment.processes["entry-0"].kill()
    first.join()
    headers = {"Idempotency_Key": "k1", "Last_Event_ID": first.last_id()}
    rest = begin(deployment, prompt, "entry-1", **headers)
    stranger = begin(deployment, prompt, "entry-1", NOTES_KEY, **headers)
    rest.join()
    stranger.join()
    deployment.restart("entry-0")
    deployment.wait_ready()
    deployment.wait_links()
    assert first.words() + rest.words() == whole(prompt)
    assert rest.is_done()
    assert (stranger.words(), stranger.error()["code"]) == ("", "answer_gone")


def test_caller_leaves_before_the_first_word(deployment):
    """Symptom: slots are taken by requests that nobody waits for.

    Sequence: a caller closes its connection while its upstream has not
    written anything. Cause: the leave shows only when something is written.
    """
    for index in (0, 1):
        control(deployment, index, first_s=30.0)

    def running():
        return sum(status(deployment, index)["running"] for index in (0, 1))

    wait_until(lambda: running() == 0, "earlier streams run on")
    stream = begin(deployment, "caller leaves")
    wait_until(lambda: running() == 1, "not running")
    stream.leave()
    wait_until(lambda: running() == 0, "runs on for nobody", 5.0)


def test_answer_not_shown_goes_elsewhere_half_way(deployment):
    """Symptom: a caller that does not stream gets a needless error.

    Sequence: its sidecar is killed when half of the answer has come. Cause:
    what had come was taken for shown.
    """
    before = served(deployment)
    prompt = "half way"
    replies = []
    task = threading.Thread(
        target=lambda: replies.append(chat(deployment, prompt, tokens=TOKENS))
    )
    task.start()
    wait_until(lambda: served(deployment) != before, "not served")
    (index,) = (i for i in (0, 1) if served(deployment)[i] != before[i])
    # Time for some pieces; with none of them the test is a milder one.
    time.sleep(0.3)
    deployment.processes[f"worker-{index}"].kill()
    task.join()
    assert replies[0].status == 200, replies[0].body
    message = replies[0].json()["choices"][0]["message"]
    assert message["content"] == whole(prompt)
