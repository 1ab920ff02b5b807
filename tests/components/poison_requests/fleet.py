"""Fleet of routers that exchange losses at once, in virtual time."""

import random
import time

from lacewingdock.components.poison_requests import PoisonRequests
from lacewingdock.components.poison_requests.address_check import AddressCheck
from lacewingdock.components.poison_requests.crash_verdict import Responder
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.world.backend import UpstreamEntry
from lacewingdock.world.call import Call
from tests.components.poison_requests.claims import Claims


def call(name="c-1", body=b"poison", target=b"/r/x"):
    """Return a request."""
    return Call(
        id=name, method=b"POST", target=target, host="h", path="/r/x", body=body
    )


class Clock:
    """Fake monotonic clock, advanced by the test."""

    def __init__(self, monkeypatch):
        self.now = 1000.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)


class Fleet:
    """Routers that receive each other's publications at once."""

    def __init__(self, count, instances=8):
        self.directories = [Directory() for _ in range(count)]
        for directory in self.directories:
            for number in range(instances):
                directory.apply(entry(f"i-{number}"))
        self.writes = 0
        self.claims = Claims()
        self.alive = set()
        self.unclear = set()
        self.routers = [
            PoisonRequests(
                directory,
                lambda report, n=n: self.publish(n, report),
                self.claims.claim,
                self.reach,
                random.Random(n),
            )
            for n, directory in enumerate(self.directories)
        ]

    def reach(self, instance):
        """Return a check's result; crashed instances accept no connection."""
        if instance.entry.id in self.unclear:
            return AddressCheck(Responder.UNCLEAR)
        alive = instance.entry.id in self.alive
        return AddressCheck(Responder.ITSELF if alive else Responder.NOTHING)

    def publish(self, number, report):
        """Deliver a router's publication to all other routers."""
        self.writes += 1
        for other, router in enumerate(self.routers):
            if other != number:
                router.receive(f"r-{number}", report)
        return True

    def round(self, only_due=False):
        """Run a round of all routers, or of those with a publication due."""
        for router in self.routers:
            if router.publication.due.is_set() or not only_due:
                router.publication.due.clear()
                router.round()


def entry(name):
    """Return an upstream's entry."""
    return UpstreamEntry(
        id=name,
        service="svc",
        host="127.0.0.1",
        port=1,
        failure_domain="d1",
        version="v1",
        slots=4,
    )
