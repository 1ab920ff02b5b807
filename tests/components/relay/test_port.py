"""Tests of asking and telling over real sockets."""

import random
import socket
import threading
import time

import pytest

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.copies import Copy
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.relay import (
    KindState,
    Question,
    Voucher,
    decode,
    encode,
    mark_of,
)
from lacewingdock.components.relay.follower import Follower
from lacewingdock.components.relay.port import RelayPort
from lacewingdock.components.relay.watcher import Watcher
from lacewingdock.platform.object_api import ObjectApi
from lacewingdock.platform.objects import (
    ObjectChange,
    ObjectChanges,
    StoredObject,
)
from tests.waiting import wait

KIND = "things"
NAMES = tuple(f"r-{number}" for number in range(9))
WAIT_S = 5.0


class Listens:
    """Notes what a mirror tells."""

    def __init__(self):
        self.found = {}

    def replace(self, snapshot, *, doubtful):
        """Take a whole list in."""
        self.found = dict(snapshot.objects)

    def change(self, change, *, doubtful):
        """Take one change in."""
        self.found[change.object.name] = change.object


def mirror():
    """Return a mirror with a copy of revision 1 that never calls."""
    found = Mirror(
        KIND,
        ObjectApi("http://127.0.0.1:1"),
        StoreHealth(1.0),
        Listens(),
        lambda *_: Copy(False),
        random.Random(1),
        lambda: 1.0,
    )
    found.revision, found.as_of = 1, time.monotonic()
    return found


class Site:
    """A router's port, and a socket in the place of all other routers.

    Attributes:
        mirror: The router's copy.
        fetched: What it fetched, as (router, kind, revision).
        port: The port.
        other: The socket.
    """

    def __init__(self):
        self.mirror = mirror()
        self.fetched = []
        mirrors = {KIND: self.mirror}
        self.follower = Follower(
            "r-0",
            mirrors,
            lambda: NAMES,
            self._fetch,
            lambda _: 3.0,
            random.Random(1),
        )
        self.watcher = Watcher("r-0", mirrors, self.mirror.health)
        hosts = dict.fromkeys(NAMES[1:], "127.0.0.1")
        self.port = RelayPort(
            ("127.0.0.1", 0), self.follower, self.watcher, hosts.get
        )
        self.other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.other.bind(("127.0.0.1", 0))
        self.other.settimeout(WAIT_S)
        # The port is the same on all instances; here both are on one.
        self.port.peer_port = self.other.getsockname()[1]
        self.stopping = threading.Event()
        self.start(self.port.listen)

    def start(self, task):
        """Start one of the port's tasks."""
        threading.Thread(
            target=task, args=(self.stopping,), daemon=True
        ).start()

    def send(self, data):
        """Send a datagram as another router."""
        self.other.sendto(data, self.port.datagrams.sock.getsockname())

    def receive(self):
        """Return the next message to another router."""
        return decode(self.other.recv(2048))

    def close(self):
        """End the tasks."""
        self.stopping.set()
        self.send(b"")
        self.port.close()
        self.other.close()

    def _fetch(self, router, kind, after):
        self.fetched.append((router, kind, after))
        found = ObjectChanges(
            9, [ObjectChange(StoredObject("a", 9), removed=False)]
        )
        return Copy(True, changes=found, age_s=0.1)


@pytest.fixture
def site():
    """A router's port."""
    found = Site()
    yield found
    found.close()


def test_question_is_answered_and_news_told(site):
    site.send(encode(Question("r-3", 77)))
    answer = site.receive()
    assert (answer.router, answer.number) == ("r-0", 77)
    assert answer.kinds[0].mark == mark_of(KIND)
    assert site.follower.watches
    site.port.tell()
    assert site.receive().number == 0


def test_watcher_keeps_the_copy_young_and_is_fetched_from(site):
    site.mirror.as_of = 0.0
    site.start(site.port.ask)
    number = site.receive().number
    watcher = site.follower.asked
    state = KindState(mark_of(KIND), 1, 5, 0)
    site.send(encode(Voucher(watcher, number, [state])))
    wait(lambda: site.mirror.revision == 5, WAIT_S)
    assert time.monotonic() - site.mirror.as_of < WAIT_S
    assert site.follower.kept_s(KIND) > 0
    # News that it lacks is fetched, once.
    told = Voucher(watcher, 0, [KindState(mark_of(KIND), 9, 9, 0)])
    site.send(encode(told))
    wait(lambda: site.mirror.revision == 9, WAIT_S)
    assert site.fetched == [(watcher, KIND, 5)]
    assert "a" in site.mirror.listener.found


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense",
        encode(Question("nobody", 1)),
        encode(Question("r-0", 1)),
        encode(Voucher("nobody", 0, [KindState(mark_of(KIND), 9, 9, 0)])),
    ],
)
def test_what_no_router_sent_is_refused(site, data):
    """Symptom: a router is kept from news by whoever reaches its port."""
    site.send(data)
    wait(lambda: site.port.datagrams.refused == 1, WAIT_S)
    assert site.fetched == []
    assert not site.watcher.listeners()


def test_answer_to_another_question_vouches_for_nothing(site):
    """Symptom: a copy counts as younger than it is.

    Sequence: an answer comes late, after the next question went out. Cause: it
    was counted from the later one.
    """
    name, question = site.follower.question()
    site.mirror.as_of = 0.0
    state = KindState(mark_of(KIND), 1, 5, 0)
    for number in (question.number - 1, question.number + 1):
        site.follower.hear(Voucher(name, number, [state]))
    assert site.mirror.as_of == 0.0
    site.follower.hear(Voucher(name, question.number, [state]))
    assert site.mirror.as_of > 0.0
