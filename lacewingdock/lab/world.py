"""What a router of the laboratory meets: time, requests, engines, sidecars."""

import threading
from dataclasses import dataclass
from typing import Protocol

import simpy

from lacewingdock.components.probes import Load
from lacewingdock.lab.deployment import Deployment, Traffic
from lacewingdock.lab.engine import Engine
from lacewingdock.lab.policy import Policy


class SimulatedClock:
    """The simulation's time, as the product's classes take it."""

    __slots__ = ("env",)

    def __init__(self, env: simpy.Environment) -> None:
        """Take the simulation."""
        self.env = env

    def now(self) -> float:
        """Return the time, in seconds."""
        return float(self.env.now)

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Refuse: nothing in a simulation may block."""
        raise NotImplementedError


@dataclass(slots=True)
class CallerRequest:
    """A request as its caller sends it.

    Attributes:
        call: Its id.
        traffic: Its route.
        subject: Shared part of its prompt.
        tokens_in: Tokens of the prompt that are its own.
        tokens_out: Tokens of the answer.
        hardness: Part of the requests that are easier.
        end: When its caller gives it up.
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
    """What a caller gets.

    Attributes:
        whole: Whether it is the whole answer.
        first_at: When its first event came; 0 without.
        longest_gap_s: Longest pause between two.
        too_hard: Whether the request was too hard for a model that made it.
        after_s: When a refused caller may come back; None where it was sent.
        price: Price of all answers, dropped ones too.
    """

    complete: bool = False
    first_event_at: float = 0.0
    longest_gap_s: float = 0.0
    too_hard: bool = False
    after_s: float | None = None
    price: float = 0.0


class World(Protocol):
    """What a router reaches."""

    env: simpy.Environment
    deployment: Deployment
    policy: Policy
    turned_away: int

    def engine_at(self, host: str) -> Engine | None:
        """Return the engine that lives at an address, if any."""

    def load_at(self, host: str) -> Load | None:
        """Return what a sidecar says; None where it does not answer."""

    def add_in_flight(self, host: str, count: int) -> None:
        """Count requests that are on their way to an address."""

    def delay_s(self, domain: str, other: str) -> float:
        """Return the delay between two failure domains, one way."""


class SimulatedProber:
    """Stands in for `Prober`: sidecars answer at once."""

    __slots__ = ("world",)

    def __init__(self, world: World) -> None:
        """Take whom to ask."""
        self.world = world

    def ask(self, hosts: list[str]) -> dict[str, Load]:
        """Return the loads of those that answer."""
        loads = {one: self.world.load_at(one) for one in hosts}
        return {one: load for one, load in loads.items() if load is not None}

    def announce(self, host: str, request: str, unread: float) -> None:
        """Tell of a request that is about to come."""
        del request, unread
        self.world.add_in_flight(host, 1)
