"""Tests for lost attempts, whose outcome is unknown, with fakes."""

import random
import threading
import time
from types import SimpleNamespace

import prometheus_client
import pytest

from lacewingdock.components.quarantine import Quarantine
from lacewingdock.components.quarantine import const as quarantine_const
from lacewingdock.components.quarantine.evidence import (
    BlastRadius,
    EvidenceTable,
    QuarantineVerdict,
)
from lacewingdock.components.quarantine.loss_publisher import LossPublisher
from lacewingdock.components.quarantine.loss_resolver import LossResolver
from lacewingdock.components.quarantine.lost_attempts import (
    LostAttempt,
    LostAttempts,
)
from lacewingdock.components.quarantine.placement import Placement
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.messages import Cancel, Evidence, Refusal
from tests.components.quarantine.common import upstream as bare_upstream

F = "f"
NAMES = ["w0", "w1", "w2", "w3"]
NOW = 1_000_000.0


class FakeLink:
    """A link that records the frames that are sent."""

    def __init__(self, instance="w0", incarnation="i"):
        self.closed = False
        self.sent = []
        self.peer = SimpleNamespace(instance=instance, incarnation=incarnation)

    def send(self, message):
        """Record a frame."""
        self.sent.append(message)
        return True


def upstream(name, *, linked=True):
    made = bare_upstream(name)
    if linked:
        made.set_link(FakeLink(name))
    return made


def loss(instance, attempt="a", fingerprint=F, since=0.0):
    return LostAttempt(attempt, fingerprint, instance, "i", since)


@pytest.fixture
def quarantine(monkeypatch):
    """Quarantine of an entry that waits for no evidence or silent sidecar."""
    for name in ("MAX_WAIT_S", "EVIDENCE_DELAY_S"):
        monkeypatch.setattr(f"lacewingdock.components.quarantine.{name}", 0.0)
    links = {FakeLink("w0"), FakeLink("w1")}
    peers = SimpleNamespace(
        links=links, handle=lambda *_: None, on_open=[], on_close=[]
    )
    daemon = SimpleNamespace(metrics=prometheus_client.CollectorRegistry())
    configuration = SimpleNamespace(world=SimpleNamespace(quarantines={}))
    return Quarantine(daemon, peers, configuration)


def crash(quarantine, name, *, isolated=False, fingerprint=F):
    evidence = Evidence(f"{name}/1", isolated, False, [fingerprint])
    quarantine._on_evidence(None, evidence)


def sent_evidence(quarantine):
    """Return the evidence that was sent over the first link."""
    first = next(iter(quarantine.peers.links))
    return [m for m in first.sent if isinstance(m, Evidence)]


def choose(quarantine, candidates, tried=()):
    return quarantine.choose(
        F, candidates, tried, random.Random(1), time.monotonic() + 1
    ).name


@pytest.mark.parametrize(
    ("lost", "crashed", "silent", "allowed"),
    [
        # A single silent upstream must not block the request.
        (["w0"], [], ["w0"], {"w1", "w2", "w3"}),
        # With two silent upstreams it may have crashed both.
        (["w0", "w1"], [], ["w0", "w1"], None),
        (["w0", "w1"], [], ["w0"], {"w1"}),
        # A crash and a silent upstream: it stays with the silent one.
        (["w0"], ["w1"], ["w0"], None),
        (["w0"], ["w1"], [], {"w0"}),
        ([], ["w1"], [], {"w0", "w2", "w3"}),
        # Two crashes, never alone: it may be harmless, and runs where it puts
        # no other upstream at risk.
        ([], ["w0", "w1"], [], {"w0", "w1"}),
        ([], ["w0", "w1"], ["w0", "w1"], None),
        (["w2"], ["w0", "w1"], [], {"w2"}),
    ],
)
def test_a_request_endangers_two_upstreams(
    quarantine, lost, crashed, silent, allowed
):
    """A request goes to a third upstream while it may have crashed two.

    Symptom: three or more engines crash during a pause.
    Events: copies run at an upstream that crashes and at one whose sidecar is
    silent.
    Cause: an attempt with an unknown outcome counted as harmless.
    """
    for index, name in enumerate(lost):
        quarantine.record_loss(loss(name, f"a{index}"), abandoned=True)
    for name in crashed:
        crash(quarantine, name)
    candidates = [upstream(n, linked=n not in silent) for n in NAMES]
    if allowed is None:
        with pytest.raises(LacewingdockError) as caught:
            choose(quarantine, candidates)
        assert caught.value.kind is ErrorKind.NO_UPSTREAM
        assert caught.value.ran == "no"
        assert caught.value.retry_after_s
        return
    for seed in range(20):
        chosen = quarantine.choose(
            F, candidates, lost, random.Random(seed), time.monotonic() + 1
        )
        assert chosen.name in allowed


def test_suspect_stays_with_a_silent_host(quarantine):
    """A suspect runs on a second host while copies run on the first.

    Symptom: one more engine crashes for each host that is silent.
    Events: the host of a suspect is paused while it runs the suspect.
    Cause: a silent upstream was no candidate, so the next one became the host.
    """
    crash(quarantine, "w0")
    candidates = [upstream(n) for n in NAMES]
    host = choose(quarantine, candidates)
    next(u for u in candidates if u.name == host).set_link(None)
    with pytest.raises(LacewingdockError) as caught:
        choose(quarantine, candidates)
    assert caught.value.retry_after_s
    # An upstream that is known to be gone runs no copies any more.
    left = [u for u in candidates if u.name != host]
    assert choose(quarantine, left) != host


def test_waiting_ends_when_the_silent_one_tells(quarantine, monkeypatch):
    monkeypatch.setattr("lacewingdock.components.quarantine.MAX_WAIT_S", 5.0)
    quarantine.record_loss(loss("w0", "a0"), abandoned=True)
    quarantine.record_loss(loss("w1", "a1"), abandoned=True)
    candidates = [upstream(n, linked=n > "w1") for n in NAMES]
    threading.Timer(0.1, quarantine.resolve_loss, ["a0"]).start()
    start = time.monotonic()
    chosen = quarantine.choose(
        F, candidates, ["w0", "w1"], random.Random(1), start + 10.0
    )
    assert chosen.name in ("w2", "w3")
    assert time.monotonic() - start < 1.0


@pytest.mark.parametrize("left", ["lost", "open"])
def test_losses_are_told_once_they_matter(quarantine, left):
    """Entries that do not share their losses choose different upstreams.

    Symptom: a third engine crashes during a pause, through two entries.
    Events: copies through one entry are at a silent upstream, those through
    the other crash another upstream and are then isolated at a third one.
    Cause: only the entry that sent an attempt knew that it was lost.
    """
    if left == "lost":
        quarantine.record_loss(loss("w1"), abandoned=True)
    else:
        track_attempt = quarantine.track_attempt(F, upstream("w1"))
        track_attempt.__enter__()
    assert not sent_evidence(quarantine)
    crash(quarantine, "w0")
    unresolved = [e for e in sent_evidence(quarantine) if e.unresolved]
    assert [e.crash.partition("/")[0] for e in unresolved] == ["w1"]
    other = EvidenceTable()
    for evidence in sent_evidence(quarantine):
        other.merge(evidence, time.monotonic())
    assert other.get(F).unresolved_instances() == {"w1"}
    if left == "lost":
        quarantine.resolve_loss("a")
    else:
        track_attempt.__exit__(None, None, None)
    for evidence in sent_evidence(quarantine):
        other.merge(evidence, time.monotonic())
    assert other.get(F).unresolved_instances() == set()
    assert other.get(F).verdict() is QuarantineVerdict.SUSPECT


def test_loss_that_is_resolved_while_it_is_told_is_taken_back():
    """A request is refused for a minute although no loss is unresolved.

    Symptom: callers of a harmless request are refused after a pause.
    Events: an entry publishes a loss in one task while another resolves it.
    Cause: when the loss was resolved, it had no published id to retract yet.
    """
    lost_attempts, sent_evidence = LostAttempts(), []

    def broadcast(evidence):
        sent_evidence.append(evidence.excused)
        lost_attempts.remove("a")

    lost_attempts.add(loss("w1"))
    publisher = LossPublisher(lost_attempts, Placement(), broadcast)
    publisher.update(F, BlastRadius({"w0"}, {"w1"}, 0.0))
    assert sent_evidence == [False, True]


def test_loss_is_told_once_by_two_tasks():
    """Two tasks that publish a loss must use the same id.

    Symptom: the first of two ids of one loss is never retracted.
    """
    lost_attempts, sent_evidence = LostAttempts(), []

    def broadcast(evidence):
        sent_evidence.append(evidence.crash)
        if len(sent_evidence) == 1:
            publisher.update(F, radius)

    lost_attempts.add(loss("w1"))
    radius = BlastRadius({"w0"}, {"w1"}, 0.0)
    publisher = LossPublisher(lost_attempts, Placement(), broadcast)
    publisher.update(F, radius)
    lost_attempts.remove("a")
    publisher.retract(F, "w1")
    assert len(sent_evidence) == 2
    assert len(set(sent_evidence)) == 1


def test_harmless_losses_are_not_told(quarantine):
    """Losses of requests below the limit are not published.

    Symptom: each pause floods the fleet with evidence on every request.
    """
    for index in range(50):
        quarantine.record_loss(
            loss("w0", f"a{index}", f"f{index}"), abandoned=True
        )
    assert not sent_evidence(quarantine)


@pytest.mark.parametrize(
    ("crashed", "lost", "refused"),
    [
        ([], [], False),
        (["w0"], [], False),
        (["w0"], ["w1"], True),
        (["w0", "w1"], [], True),
        (["w0", "w2"], [], False),
        ([], ["w0", "w1"], True),
        (["w2"], ["w0"], False),
    ],
)
def test_sidecar_refuses_what_endangers_two_others(
    quarantine, crashed, lost, refused
):
    for name in crashed:
        crash(quarantine, name)
    for name in lost:
        evidence = Evidence(f"{name}/lost-1", False, False, [F], 0, True)
        quarantine._on_evidence(None, evidence)
    if not refused:
        quarantine.check_blast_radius(F, "w2")
        return
    with pytest.raises(LacewingdockError) as caught:
        quarantine.check_blast_radius(F, "w2")
    assert caught.value.ran == "no"


@pytest.mark.parametrize(
    ("steps", "verdict", "lost"),
    [
        (["lost"], QuarantineVerdict.CLEAR, {"a"}),
        (["lost", "excused"], QuarantineVerdict.CLEAR, set()),
        (["lost", "crashed"], QuarantineVerdict.SUSPECT, set()),
        (["excused", "lost"], QuarantineVerdict.CLEAR, set()),
        (["crashed", "lost"], QuarantineVerdict.SUSPECT, set()),
    ],
)
def test_loss_convicts_nobody(steps, verdict, lost):
    kinds = {
        "lost": Evidence("a/1", False, False, [F], 0, True),
        "excused": Evidence("a/1", False, True, [F], 0, True),
        "crashed": Evidence("a/1", False, False, [F], 0, False),
    }
    table = EvidenceTable()
    for step in steps:
        table.merge(kinds[step], NOW)
    assert table.get(F).verdict() is verdict
    assert table.get(F).unresolved_instances() == lost


def test_losses_leave_room_for_crashes():
    table = EvidenceTable()
    for index in range(quarantine_const.MAX_CRASHES):
        table.merge(Evidence(f"l{index}/1", False, False, [F], 0, True), NOW)
    assert table.merge(Evidence("w0/1", False, False, [F]), NOW)
    assert table.get(F).verdict() is QuarantineVerdict.SUSPECT


def test_losses_are_forgotten_after_a_while():
    table = EvidenceTable()
    table.merge(Evidence("w0/1", False, False, [F], 0, True), NOW)
    table.sweep(NOW + quarantine_const.LOSS_TTL_S + 1)
    assert not table.records
    late = int((quarantine_const.LOSS_TTL_S + 1) * 1000)
    assert not table.merge(Evidence("w0/1", False, False, [F], late, True), NOW)


def test_losses_are_bounded(monkeypatch):
    monkeypatch.setattr(
        "lacewingdock.components.quarantine.lost_attempts.MAX_LOST_ATTEMPTS", 3
    )
    lost_attempts = LostAttempts()
    for index in range(5):
        lost_attempts.add(loss("w0", f"a{index}", f"f{index}"))
        lost_attempts.abandon(f"a{index}")
    assert [one.attempt for one in lost_attempts.abandoned()] == [
        "a2",
        "a3",
        "a4",
    ]
    assert not lost_attempts.instances("f0")


@pytest.mark.parametrize(
    ("gone", "linked", "age_s", "build_refusal", "left"),
    [
        (False, True, 0.0, "w0", False),
        # Only the sidecar itself may report the outcome of an attempt.
        (False, True, 0.0, "w1", True),
        (False, False, 0.0, None, True),
        (True, False, 0.0, None, False),
        (False, False, 61.0, None, False),
    ],
)
def test_silent_sidecar_is_asked(
    quarantine, gone, linked, age_s, build_refusal, left
):
    handlers = []
    peers = SimpleNamespace(handle=lambda _, handler: handlers.append(handler))
    silent = upstream("w0", linked=linked)
    membership = SimpleNamespace(
        upstreams={"w0": silent}, is_gone=lambda *_: gone
    )
    loss_resolver = LossResolver(peers, membership, quarantine)
    lost = loss("w0", since=time.monotonic() - age_s)
    quarantine.record_loss(lost)
    loss_resolver.send_queries()
    # The entry still waits for the answer over a new link.
    assert not linked or not silent.link.sent
    quarantine.record_loss(lost, abandoned=True)
    loss_resolver.send_queries()
    if linked:
        assert silent.link.sent == [Cancel("a", settle=True)]
    if build_refusal is not None:
        link = FakeLink(build_refusal)
        handlers[0](link, Refusal("a", "no_upstream", "no", ""))
    assert bool(quarantine.lost_attempts.instances(F)) is left
