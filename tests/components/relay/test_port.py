"""Tests of queries, answers and announcements over real sockets."""

import random
import socket
import threading
import time

import pytest

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.copies import Copy
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.relay import (
    FreshnessQuery,
    FreshnessReport,
    KindState,
    decode,
    encode,
    kind_digest,
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


class RecordingListener:
    """Records the objects that a mirror reports."""

    def __init__(self):
        self.found = {}

    def replace(self, snapshot, *, doubtful):
        """Store a complete list."""
        self.found = dict(snapshot.objects)

    def change(self, change, *, doubtful):
        """Store a changed object."""
        self.found[change.object.name] = change.object


def mirror():
    """Return a mirror with a copy of revision 1 that never calls the store."""
    found = Mirror(
        KIND,
        ObjectApi("http://127.0.0.1:1"),
        StoreHealth(1.0),
        RecordingListener(),
        lambda *_: Copy(False),
        random.Random(1),
        lambda: 1.0,
    )
    found.revision, found.as_of = 1, time.monotonic()
    return found


class Site:
    """A router's port, and a socket that stands in for all other routers.

    Attributes:
        mirror: The router's mirror.
        fetched: Its fetches, as (router, kind, revision).
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
        # All routers use the same port on separate instances. Here both sockets
        # share an instance, so the ports differ.
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
        """End the tasks and close the sockets."""
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


def test_query_is_answered_and_changes_are_announced(site):
    site.send(encode(FreshnessQuery("r-3", 77)))
    answer = site.receive()
    assert (answer.router, answer.number) == ("r-0", 77)
    assert answer.kinds[0].mark == kind_digest(KIND)
    assert site.follower.watches
    site.port.announce()
    assert site.receive().number == 0


def test_watcher_keeps_the_copy_fresh_and_serves_changes(site):
    site.mirror.as_of = 0.0
    site.start(site.port.send_queries)
    number = site.receive().number
    watcher = site.follower.asked
    state = KindState(kind_digest(KIND), 1, 5, 0)
    site.send(encode(FreshnessReport(watcher, number, [state])))
    wait(lambda: site.mirror.revision == 5, WAIT_S)
    assert time.monotonic() - site.mirror.as_of < WAIT_S
    assert site.follower.fresh_for_s(KIND) > 0
    # Announced changes that the copy lacks are fetched, once.
    report = FreshnessReport(
        watcher, 0, [KindState(kind_digest(KIND), 9, 9, 0)]
    )
    site.send(encode(report))
    wait(lambda: site.mirror.revision == 9, WAIT_S)
    assert site.fetched == [(watcher, KIND, 5)]
    assert "a" in site.mirror.listener.found


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense",
        encode(FreshnessQuery("nobody", 1)),
        encode(FreshnessQuery("r-0", 1)),
        encode(
            FreshnessReport(
                "nobody", 0, [KindState(kind_digest(KIND), 9, 9, 0)]
            )
        ),
    ],
)
def test_message_from_an_unknown_sender_is_refused(site, data):
    """Guards against any host cutting a router off from changes."""
    site.send(data)
    wait(lambda: site.port.datagrams.refused == 1, WAIT_S)
    assert site.fetched == []
    assert not site.watcher.listeners()


def test_answer_to_another_query_is_dropped(site):
    """Guards against a copy that counts as fresher than it is.

    An answer arrives late, after the next query was sent, and its age was
    counted from the later query.
    """
    name, query = site.follower.query()
    site.mirror.as_of = 0.0
    state = KindState(kind_digest(KIND), 1, 5, 0)
    for number in (query.number - 1, query.number + 1):
        site.follower.receive_report(FreshnessReport(name, number, [state]))
    assert site.mirror.as_of == 0.0
    site.follower.receive_report(FreshnessReport(name, query.number, [state]))
    assert site.mirror.as_of > 0.0
