"""Tests that routers share the limits that instances name."""

import random
import threading
from types import SimpleNamespace

from lacewingdock.components.gossip import MAX_LIMITS, decode, encode
from lacewingdock.components.gossip.load import FleetLoad
from lacewingdock.components.overload.fleet import FleetOverload
from lacewingdock.components.overload.guard import ConnectionGuard
from lacewingdock.components.overload.lateness import LatenessMeter
from lacewingdock.components.poison_requests import PoisonRequests
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.limits import RateLimit
from lacewingdock.daemons.router_ports import build_gossip
from lacewingdock.world.call import ResponseHead
from lacewingdock.world.host import HostProfile
from tests.components.upstreams.entries import entry


def router(name, instances):
    """Return the port of a router with some instances, and its directory."""
    directory = Directory()
    for number in range(instances):
        directory.apply(entry(f"i-{number}", host=f"10.0.{number}.1"))
    host = HostProfile(
        instance=name,
        failure_domain="a",
        address="127.0.0.1",
        callers_address=("127.0.0.1", 0),
        ready_address=("127.0.0.1", 0),
        peer_address=("127.0.0.1", 0),
        platform="http://127.0.0.1:1",
    )
    shifts = SimpleNamespace(
        sessions_to_keep=list, found_bad=list, receive_message=lambda _: None
    )
    routers = SimpleNamespace(addresses=list, is_at=lambda *_: True)
    port = build_gossip(
        host,
        directory,
        FleetLoad(),
        shifts,
        routers,
        PoisonRequests(directory, None, None, None, random.Random(1)),
        ConnectionGuard(
            LatenessMeter(tuple, tuple),
            FleetOverload(lambda: 2),
            random.Random(1),
        ),
        threading.Event(),
        random.Random(1),
    )
    port.close()
    return port, directory


def test_limit_of_one_router_applies_to_all():
    """Guards against each router having to run into a limit itself.

    An overloaded instance then gets one excess request from every router.
    """
    sender, directory = router("r-1", 70)
    receiver, other = router("r-2", 70)
    head = ResponseHead(200, [], limit_per_s=2.0)
    for one in directory.instances.values():
        directory.signals.answered(one.entry, one.signals, head, 0.0)
    message = decode(encode(sender.compose(1)))
    assert len(message.limits) == MAX_LIMITS
    for handler in receiver.handlers:
        handler(message)
    now = other.clock.now()
    limits = [one.limit.at(now) for one in other.instances.values()]
    assert limits.count(2.0) == MAX_LIMITS
    assert limits.count(None) == 70 - MAX_LIMITS


class Ending(RateLimit):
    """A limit that ends between two reads."""

    @property
    def own_per_s(self):
        self.reads += 1
        return 3.0 if self.reads == 1 else None

    @own_per_s.setter
    def own_per_s(self, value):
        self.reads = 0


def test_limit_that_ends_while_it_is_read_is_not_sent_as_zero():
    """Guards against the other routers sending next to nothing to an instance.

    A task reads that there is a limit, an answer ends the limit, and then the
    task reads its rate.
    """
    sender, directory = router("r-1", 1)
    [instance] = directory.instances.values()
    instance.signals.limit = Ending()
    instance.limit.named_at = directory.clock.now()
    assert [row.per_s for row in sender.compose(1).limits] in ([3.0], [])


def test_limit_that_ends_while_it_is_applied_raises_nothing():
    """Guards against a request that fails as a limit ended meanwhile."""
    limit = Ending(peer_per_s=2.0, peer_observed_at=9.0, until=99.0)
    limit.reads = 0
    assert limit.at(10.0) == 2.0
