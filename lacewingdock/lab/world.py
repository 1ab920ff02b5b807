"""Interfaces of a simulated router: clock, requests, engines, sidecars."""

import threading
from dataclasses import dataclass
from typing import Protocol

import simpy

from lacewingdock.components.probes import Load
from lacewingdock.lab.deployment import Deployment, Traffic
from lacewingdock.lab.engine import Engine
from lacewingdock.lab.policy import Policy


class SimulatedClock:
    """The simulation's time behind the interface of the product's clock."""

    __slots__ = ("env",)

    def __init__(self, env: simpy.Environment) -> None:
        """Build a clock that reads a simulation environment."""
        self.env = env

    def now(self) -> float:
        """Return the simulated time, in seconds."""
        return float(self.env.now)

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Raise NotImplementedError: a simulation must not block a thread."""
        raise NotImplementedError


@dataclass(slots=True)
class CallerRequest:
    """A request as its caller sends it.

    Attributes:
        call: Id of the request.
        traffic: Traffic class of its route.
        subject: Id of the prompt prefix that it shares with other requests.
        tokens_in: Prompt tokens that no other request shares.
        tokens_out: Tokens of the answer.
        hardness: Share of the requests that are easier, between 0 and 1.
        end: Time at which its caller gives up.
    """

    call: str
    traffic: Traffic
    subject: str
    tokens_in: int
    tokens_out: int
    hardness: float
    end: float


@dataclass(slots=True)
class Answer:
    """The answer that a caller receives from a router.

    Attributes:
        complete: Whether the answer is complete.
        first_event_at: Time of the first event; 0 if none came.
        longest_gap_s: Longest pause between two events, in seconds.
        too_hard: Whether the request was too hard for a model that generated
            part of the answer.
        after_s: Seconds after which a refused caller may retry; None if the
            request was sent to an engine.
        price: Price of all generated answers, including discarded answers.
    """

    complete: bool = False
    first_event_at: float = 0.0
    longest_gap_s: float = 0.0
    too_hard: bool = False
    after_s: float | None = None
    price: float = 0.0


class World(Protocol):
    """Environment of a simulated router."""

    env: simpy.Environment
    deployment: Deployment
    policy: Policy
    turned_away: int

    def engine_at(self, host: str) -> Engine | None:
        """Return the engine that runs at an address, if any."""

    def load_at(self, host: str) -> Load | None:
        """Return a sidecar's load report; None if it does not answer."""

    def add_in_flight(self, host: str, count: int) -> None:
        """Add to the number of requests in flight to an address."""

    def delay_s(self, domain: str, other: str) -> float:
        """Return the one-way delay between two failure domains, in seconds."""


class SimulatedProber:
    """Stands in for `Prober`: sidecars answer without delay."""

    __slots__ = ("world",)

    def __init__(self, world: World) -> None:
        """Build a prober of the sidecars in a simulated environment."""
        self.world = world

    def ask(self, hosts: list[str]) -> dict[str, Load]:
        """Return the load of each host whose sidecar answers."""
        loads = {one: self.world.load_at(one) for one in hosts}
        return {one: load for one, load in loads.items() if load is not None}

    def announce(self, host: str, request: str, unread: float) -> None:
        """Announce a request that is about to be sent to a host."""
        del request, unread
        self.world.add_in_flight(host, 1)
