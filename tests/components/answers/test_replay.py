"""Tests for answers over lost, crossed and foreign links."""

import pytest

from lacewingdock.components.answers.answer import (
    LINK_LOST,
    MAX_WAITING_BYTES,
)
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.links.messages import Chunk, Finish, Refusal, Resume
from tests.memory_links import Pair, attempt_of


@pytest.fixture
def pair():
    return Pair()


def begin(pair, name="a1", **fields):
    """Ask, let the attempt arrive, and return the answer and its run."""
    answer = pair.answers.ask(pair.upstream, attempt_of(name, **fields))
    pair.deliver_all()
    return answer, pair.runs.run_store.get(name)


def test_cancel_spares_a_run_between_two_links(pair):
    """Symptom: an answer ends with an upstream error after a link was lost.

    Sequence: link lost; before its answer is resumed, another caller leaves.
    Cause: a cancel stopped every run that had no watcher just then.
    """
    _, run = begin(pair, "a1")
    pair.close(pair.links[0])
    pair.connect()
    other, other_run = begin(pair, "a2")
    pair.answers.drop(other)
    pair.deliver_all()
    assert other_run.cancelled.is_set()
    assert not run.cancelled.is_set()


def test_cancel_stops_a_run_that_was_resumed(pair):
    """Symptom: an upstream runs on for nobody after a link was lost.

    Sequence: link lost, answer resumed under a new id, caller leaves.
    Cause: the cancel's new id named no run.
    """
    answer, run = begin(pair)
    pair.close(pair.links[0])
    pair.connect()
    pair.answers.reattach(answer)
    pair.deliver_all()
    pair.answers.drop(answer)
    pair.deliver_all()
    assert run.cancelled.is_set()


def test_resume_replaces_the_silent_link(pair):
    """Symptom: an upstream runs on for nobody.

    Sequence: a link goes silent so that its sidecar does not see it close;
    the answer is resumed over a new one; the caller leaves. Cause: the old
    link still counted as waiting for the answer.
    """
    answer, run = begin(pair)
    answer.lose()
    pair.connect()
    pair.answers.reattach(answer)
    pair.deliver_all()
    pair.answers.drop(answer)
    pair.deliver_all()
    assert run.cancelled.is_set()
    assert pair.links[0].other.busy.value == 0


@pytest.mark.parametrize(
    ("resumable", "cancelled"), [(True, False), (False, True)]
)
def test_drop_frees_the_link_and_the_run(pair, resumable, cancelled):
    """Symptom: a sidecar gives healthy links up as silent.

    Sequence: a caller with a key leaves in mid-stream; its entry owes the
    sidecar nothing any more and beats rarely. Cause: the sidecar was not told
    and counted an answer as outstanding.
    """
    answer, run = begin(pair, resumable=resumable)
    pair.answers.drop(answer)
    pair.deliver_all()
    assert pair.links[0].other.busy.value == 0
    assert run.cancelled.is_set() == cancelled


def test_attempt_that_comes_twice_runs_once(pair):
    """Symptom: a request runs twice and its first answer is lost.

    Sequence: the frame of an attempt is delivered again. Cause: the second
    run took the first one's place on the shelf.
    """
    answer, run = begin(pair)
    run.add(b"one")
    pair.peers.deliver(pair.links[0].other, answer.attempt)
    run.end(Finish("a1", 0))
    pair.deliver_all()
    assert pair.runs.run_store.get("a1") is run
    assert (answer.take(), answer.take()) == ([b"one"], [])


@pytest.mark.parametrize("frame", ["resume", "attempt"])
def test_other_workspace_gets_nothing(pair, frame):
    """Symptom: a brand reads another's answer.

    Sequence: it learns or guesses an attempt id and resumes, or sends an
    attempt with that id. Cause: the id alone opened the answer.
    """
    _, run = begin(pair)
    run.add(b"secret")
    pair.deliver_all()
    far = pair.links[0].other
    if frame == "resume":
        pair.peers.deliver(far, Resume("b1", "a1", "other", 0))
    else:
        stolen = attempt_of("a1")
        stolen.workspace = "other"
        pair.peers.deliver(far, stolen)
    (refusal,) = far.sent
    assert isinstance(refusal, Refusal)
    assert (refusal.code, refusal.ran) == ("answer_gone", "unknown")


@pytest.mark.parametrize(
    ("incarnation", "age_ms", "ran"),
    [
        ("w1", 900, "no"),
        # Another process has no memory of the one that had the attempt.
        ("w0", 900, "unknown"),
        # A frozen entry may come after the answer was forgotten.
        ("w1", 600_000, "unknown"),
        ("", 0, "unknown"),
    ],
)
def test_resume_of_what_never_came(pair, incarnation, age_ms, ran):
    """Symptom: "not run" is said of a request that then runs.

    Sequence: a link goes silent with the attempt in it; the entry resumes;
    the old link thaws. Cause: the late attempt was run all the same.
    """
    near = pair.links[0]
    resume = Resume("b1", "a1", "retail", 0, incarnation, age_ms)
    pair.peers.deliver(near.other, resume)
    (refusal,) = near.other.sent
    assert refusal.ran == ran
    pair.peers.deliver(near.other, attempt_of("a1"))
    assert (pair.runs.run_store.get("a1") is None) == (ran == "no")


def test_frames_of_a_stranger_are_dropped(pair):
    """Symptom: a caller sees a piece that its upstream did not send.

    Sequence: another sidecar sends frames with the answer's id. Cause: the
    id was believed whichever link it came over.
    """
    answer, _ = begin(pair)
    stranger = pair.connect()
    for frame in (Chunk("a1", 0, b"forged"), Finish("a1", 0)):
        pair.entry_peers.deliver(stranger, frame)
    assert answer.events.empty()


def test_late_frame_of_the_old_id_is_dropped(pair):
    """Symptom: a caller sees a piece twice.

    Sequence: the old link's reading task is held up between finding the
    answer and delivering; meanwhile the answer moves to a new link. Cause:
    the id was checked only before.
    """
    answer, _ = begin(pair)
    answer.restart("b1")
    answer.deliver(Chunk("a1", 0, b"late"))
    assert answer.events.empty()


def test_cancel_while_kept_pieces_are_sent(pair):
    """Symptom: a link stays busy for good and is given up again and again.

    Sequence: a caller leaves while the kept part of its answer is sent.
    Cause: its watcher was counted off at the end that it never got.
    """
    _, run = begin(pair, resumable=True)
    for _ in range(200):
        run.add(b"x")
    run.end(Finish("a1", 0))
    far = pair.connect().other
    far.wait_for_room = lambda: run.detach(far, "b1")
    run.attach(far, "b1", 0)
    assert far.busy.value == 0
    assert not any(isinstance(f, Finish) for f in far.sent)


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_missing_frame_is_fetched(pair, lost):
    """Symptom: an answer lacks a piece, or ends with an internal error.

    Sequence: one frame does not arrive, those after it do. Cause: pieces
    after a gap were left out and never asked for again.
    """
    answer, run = begin(pair)
    for index in range(3):
        run.add(b"%d" % index)
    run.end(Finish("a1", 0))
    del pair.links[0].other.sent[lost]
    pair.deliver_all()
    taken = []
    while (got := answer.take()) != []:
        if got is LINK_LOST:
            pair.answers.reattach(answer)
            pair.deliver_all()
        else:
            taken += got
    assert taken == [b"0", b"1", b"2"]


def test_slow_caller_bounds_memory(pair):
    """Symptom: an entry's memory grows without bound.

    Sequence: a caller reads slowly, its upstream writes fast. Cause: all that
    came was kept until the caller took it.
    """
    answer, run = begin(pair)
    piece = b"x" * 50_000
    for _ in range(40):
        run.add(piece)
        pair.deliver_all()
    assert answer.waiting <= MAX_WAITING_BYTES + len(piece)
    assert not run.cancelled.is_set()
    run.end(Finish("a1", 0))
    taken = []
    while (got := answer.take()) != []:
        if got is LINK_LOST:
            pair.answers.reattach(answer)
            pair.deliver_all()
        else:
            taken += got
    assert taken == [piece] * 40


def test_reattach_to_a_link_that_just_closed(pair):
    """Symptom: a caller waits until its deadline though links are there.

    Sequence: a link goes silent; the new one closes before the resume is
    sent. Cause: nobody was told that the resume was not sent.
    """
    answer, _ = begin(pair)
    pair.close(pair.links[0])
    doomed = pair.connect()

    def send(_message):
        doomed.closed = True
        pair.connect()
        return False

    doomed.send = send
    pair.answers.reattach(answer)
    assert answer.link is pair.links[-1]


def test_watcher_of_a_closed_link_is_not_kept(pair):
    """Symptom: a run that nobody waits for never ends.

    Sequence: a link closes while a resume that came over it is served.
    Cause: its watcher was added after the close had forgotten them.
    """
    _, run = begin(pair)
    far = pair.links[0].other
    pair.close(pair.links[0])
    run.attach(far, "b1", 0)
    assert not run.subscribers


def test_evicted_answer_is_a_clear_error():
    """Symptom: a caller comes back and waits, or gets half an answer.

    Sequence: answers beyond the byte limit ended since. Cause: the answer
    was dropped to bound memory.
    """
    pair = Pair(replay_bytes=65536)
    _, run = begin(pair, resumable=True)
    run.add(b"x" * 70_000)
    run.end(Finish("a1", 0))
    pair.runs.run_store.sweep()
    pair.upstream.in_flight.add(1)
    answer = pair.answers.resume(pair.upstream, "a1", "retail", 0)
    pair.deliver_all()
    with pytest.raises(LacewingdockError) as caught:
        answer.take()
    assert (caught.value.kind, caught.value.ran) == ("answer_gone", "yes")


@pytest.mark.parametrize(
    ("fields", "ended", "active"),
    [
        ({}, False, 1),
        ({"resumable": True}, False, 1),
        ({}, True, 0),
        ({"resumable": True}, True, 0),
    ],
)
def test_stop_waits_for_answers_not_fetched(pair, fields, ended, active):
    """Symptom: a planned stop cuts an answer whose run had ended.

    Sequence: the end is sent into a silent link and the sidecar ends. Cause:
    what was sent was taken for received.
    """
    answer, run = begin(pair, **fields)
    run.end(Finish("a1", 0))
    if ended:
        pair.deliver_all()
        assert answer.take() == []
        pair.answers.drop(answer)
        pair.deliver_all()
    else:
        pair.close(pair.links[0])
    assert pair.runs.run_store.active() == active
