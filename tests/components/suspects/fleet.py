"""Routers that hear of each other's losses at once, in virtual time."""

import random
import time

from lacewingdock.components.suspects import Suspects
from lacewingdock.components.suspects.look import Found
from lacewingdock.components.suspects.verdict import Look
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.world.backend import UpstreamEntry
from lacewingdock.world.call import Call


def call(name="c-1", body=b"poison", target=b"/r/x"):
    """Return a request."""
    return Call(
        id=name, method=b"POST", target=target, host="h", path="/r/x", body=body
    )


class Clock:
    """Stands in for the monotonic clock."""

    def __init__(self, monkeypatch):
        self.now = 1000.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)


class Fleet:
    """Routers that hear each other at once."""

    def __init__(self, count, instances=8):
        self.directories = [Directory() for _ in range(count)]
        for directory in self.directories:
            for number in range(instances):
                directory.apply(entry(f"i-{number}"))
        self.writes = 0
        self.alive = set()
        self.unclear = set()
        self.routers = [
            Suspects(
                directory,
                lambda losses, n=n: self.publish(n, losses),
                self.reach,
                random.Random(n),
            )
            for n, directory in enumerate(self.directories)
        ]

    def reach(self, instance):
        """Ask an instance: crashed ones take no connection."""
        if instance.entry.id in self.unclear:
            return Found(Look.UNCLEAR)
        alive = instance.entry.id in self.alive
        return Found(Look.ITSELF if alive else Look.NOTHING)

    def publish(self, number, losses):
        """Take what one router tells to all others."""
        self.writes += 1
        for other, router in enumerate(self.routers):
            if other != number:
                router.hear(f"r-{number}", losses)
        return True

    def round(self, only_due=False):
        """Let all routers tell, or those that have something to tell now."""
        for router in self.routers:
            if router.due.is_set() or not only_due:
                router.due.clear()
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
