"""Tests of how often the sidecars of a service look after its partitions."""

from types import SimpleNamespace

import pytest

from lacewingdock.components.claims import takeover
from lacewingdock.components.claims.const import CANDIDATES
from lacewingdock.world.objects import Instance

from .fakes import SERVICE, FakeHome, PlatformStore

SECONDS = 60


class Service:
    """The sidecars of one service, whose looks come round each second."""

    def __init__(self, count, partitions, monkeypatch):
        self.now = 1000.0
        clock = SimpleNamespace(monotonic=lambda: self.now)
        monkeypatch.setattr(takeover, "time", clock)
        self.store = PlatformStore()
        self.lists = 0
        self.store.instances = self.instances
        self.homes = [FakeHome(self.store, f"s-{i}") for i in range(count)]
        self.listed = list(self.homes)
        for home in self.homes:
            world = home.claims.configuration.world
            world.services[SERVICE].partitions = partitions

    def instances(self):
        self.lists += 1
        return [
            Instance(
                name=h.claims.daemon.me.instance,
                role="sidecar",
                failure_domain="hall",
                address="127.0.0.1:1",
                pool=SERVICE,
            )
            for h in self.listed
        ]

    def run(self, seconds):
        for _ in range(seconds):
            self.now += 1.0
            for home in self.homes:
                home.claims.takeover.look_if_due()

    def reads(self):
        return self.store.calls["claims-look"] + self.lists


@pytest.mark.parametrize(
    ("sidecars", "partitions", "most"),
    [
        (4, 8, 4 * 1.2),
        (40, 8, 8 * (1 + CANDIDATES) * 1.2 + 10),
        (100, 8, 8 * (1 + CANDIDATES) * 1.2 + 10),
        (100, 1, (1 + CANDIDATES) * 1.2 + 10),
    ],
)
def test_reads_do_not_grow_with_the_service(
    sidecars, partitions, most, monkeypatch
):
    # Symptom: the platform refuses calls once services have grown.
    # Sequence: hundreds of sidecars each look after all partitions.
    # Cause: each made two reads a second, whoever would take over.
    service = Service(sidecars, partitions, monkeypatch)
    service.run(30)
    before = service.reads()
    service.run(SECONDS)
    assert (service.reads() - before) / SECONDS <= most
    assert sum(len(h.claims.partitions) for h in service.homes) == partitions


def test_all_sidecars_of_a_small_service_look_each_second(monkeypatch):
    service = Service(4, 8, monkeypatch)
    service.run(5)
    before = service.store.calls["claims-look"]
    service.run(10)
    assert service.store.calls["claims-look"] - before == 4 * 10


@pytest.mark.parametrize("is_listed", [False, True])
def test_partition_whose_candidates_died_with_its_home(is_listed, monkeypatch):
    """Symptom: keys of a partition are refused for good.

    Events: a rack goes with the home and all its candidates; the list of
    instances drops them, or goes on naming them. Cause: nobody else looked.
    """
    service = Service(40, 1, monkeypatch)
    service.run(30)
    dead = [h for h in service.homes if h.claims.takeover.near]
    dead += [h for h in service.homes if h.partition and h not in dead]
    assert len(dead) == 1 + CANDIDATES
    for home in dead:
        home.die()
        service.homes.remove(home)
    if not is_listed:
        service.listed = list(service.homes)
    service.run(120 if is_listed else 20)
    assert [h for h in service.homes if h.partition]
