"""Support for workspaces' daily budgets at the entry."""

import contextlib
import threading
import time
from collections.abc import Callable
from typing import Final

import prometheus_client

from lacewingdock.components.answers import Answers
from lacewingdock.components.answers.answer import Answer
from lacewingdock.components.billing.const import BYTES_PER_TOKEN, MICROS
from lacewingdock.components.billing.record import call_cost, token_cost
from lacewingdock.components.budgets.allowance import Allowance, Exhausted
from lacewingdock.components.budgets.const import (
    DAY_S,
    IDLE_S,
    NAME,
    PREFETCH_S,
    RESERVED_TOKENS,
    SWEEP_S,
)
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.routing import Plan
from lacewingdock.core import Daemon
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.objects import Step, Workspace

AT_LIMIT_CHEAPEST: Final = "cheapest"
AT_LIMIT_REFUSE: Final = "refuse"

log = get_logger(NAME)


class Hold:
    """What is set aside for one request until its cost is known.

    Attributes:
        allowance: Where it came from; None for a request without a budget
            or beyond it.
        reserved: Millionths set aside.
        cost: Millionths of the attempts that have ended.
        last: The answer with which the request ends; None until known.
    """

    __slots__ = ("allowance", "cost", "last", "reserved")

    def __init__(self, allowance: Allowance | None, reserved: int) -> None:
        """Start before anything ran."""
        self.allowance = allowance
        self.reserved = reserved
        self.cost = 0
        self.last: Answer | None = None


class Budgets:
    """Lets requests in as far as their workspace's budget goes.

    Attributes:
        daemon: The daemon.
        configuration: Gives the prices.
        entries: Returns the number of live entries.
        allowances: What may be spent, by workspace and day.
        holds: What is set aside, by request id.
        prefetch_s: Seconds before midnight at which the next day's first
            allowances are taken.
        beyond: Counts requests let in beyond a budget.
    """

    __slots__ = (
        "_lock",
        "allowances",
        "beyond",
        "configuration",
        "daemon",
        "entries",
        "holds",
        "prefetch_s",
    )

    def __init__(
        self,
        daemon: Daemon,
        configuration: Configuration,
        answers: Answers,
        entries: Callable[[], int],
    ) -> None:
        """Join the answers."""
        self.daemon = daemon
        self.configuration = configuration
        self.entries = entries
        self.allowances: dict[tuple[str, str], Allowance] = {}
        self.holds: dict[str, Hold] = {}
        self.prefetch_s = daemon.random.uniform(SWEEP_S, PREFETCH_S)
        self._lock = threading.Lock()
        answers.on_drop.append(self._on_drop)
        self.beyond = prometheus_client.Counter(
            "lacewingdock_beyond_budget",
            "Requests let in beyond their workspace's budget",
            ["workspace"],
            registry=daemon.metrics,
        )

    def start(self) -> None:
        """Start giving back what is not used."""
        self.daemon.every(SWEEP_S, self._sweep)

    def admit_chat(
        self,
        request: str,
        name: str,
        workspace: Workspace,
        plan: Plan,
        prompt_bytes: int,
        max_tokens: int | None,
    ) -> None:
        """Let a chat completion in, all its steps at once, before any ran.

        At the limit the plan may be cut to its cheapest step.

        Raises:
            LacewingdockError: BUDGET_EXHAUSTED or PLATFORM_UNAVAILABLE; it
                did not run.
        """
        if workspace.budget is None:
            return
        tokens = (
            prompt_bytes // BYTES_PER_TOKEN,
            max_tokens or RESERVED_TOKENS,
        )
        world = self.configuration.world
        amount = sum(token_cost(world, s.version, *tokens) for s in plan.steps)
        if self._admit(request, name, workspace, amount):
            return
        if workspace.at_limit == AT_LIMIT_CHEAPEST:

            def price(step: Step) -> int:
                return token_cost(world, step.version, *tokens)

            plan.steps = [min(plan.steps, key=price)]

    def admit_call(
        self,
        request: str,
        name: str,
        workspace: Workspace,
        service: str,
        method: str,
        path: str,
    ) -> None:
        """Let a call of a plain service in.

        Raises:
            LacewingdockError: As `admit_chat`.
        """
        if workspace.budget is None:
            return
        world = self.configuration.world
        amount = call_cost(world, service, method, path)
        if amount:
            self._admit(request, name, workspace, amount)

    def _admit(
        self, request: str, name: str, workspace: Workspace, amount: int
    ) -> bool:
        """Set an amount aside; False for a request let in beyond the budget."""
        allowance = self._allowance(name, _day(time.time()))
        try:
            allowance.reserve(amount, _budget(workspace))
        except LacewingdockError as error:
            if workspace.at_limit == AT_LIMIT_REFUSE:
                raise _final(error) from error
            self.beyond.labels(name).inc()
            log.warning("beyond budget", workspace=name, request_id=request)
            return False
        self.holds[request] = Hold(allowance, amount)
        return True

    def _allowance(self, name: str, day: str) -> Allowance:
        key = (name, day)
        with self._lock:
            found = self.allowances.get(key)
            if found is None:
                found = self.allowances[key] = Allowance(
                    self.daemon.store, *key, self.entries, time.monotonic
                )
            return found

    def set_final_answer(self, request: str, answer: Answer) -> None:
        """Say with which answer a request ends."""
        hold = self.holds.get(request)
        if hold is not None:
            hold.last = answer
            if answer.dropped:
                self.close(request)

    def close(self, request: str) -> None:
        """Settle a request; what it did not use may be spent by others."""
        hold = self.holds.pop(request, None)
        if hold is not None and hold.allowance is not None:
            hold.allowance.settle(hold.reserved, hold.cost)

    def _on_drop(self, answer: Answer) -> None:
        """Count an attempt's cost; the last one settles its request."""
        request = answer.attempt.request
        hold = self.holds.get(request)
        if hold is None:
            return
        hold.cost += self._cost(answer)
        if hold.last is answer:
            self.close(request)

    def _cost(self, answer: Answer) -> int:
        """What an answer cost, as far as this entry knows."""
        attempt = answer.attempt
        world = self.configuration.world
        finish = answer.finish
        if attempt.target in world.services:
            path = attempt.path.partition("?")[0]
            return call_cost(world, attempt.target, attempt.method, path)
        if finish is not None:
            tokens = finish.input_tokens, finish.output_tokens
        elif answer.left and answer.next_offset:
            tokens = len(attempt.body) // BYTES_PER_TOKEN, answer.next_offset
        else:
            tokens = 0, 0
        return token_cost(world, attempt.target, *tokens)

    def _sweep(self) -> None:
        """Renew what is in use, give back what is idle, change days."""
        now = time.time()
        today, tomorrow = _day(now), _day(now + DAY_S)
        for (name, day), allowance in tuple(self.allowances.items()):
            if day not in (today, tomorrow):
                del self.allowances[name, day]
                continue
            with contextlib.suppress(LacewingdockError):
                self._renew(name, allowance)
                if day == today and seconds_left(now) < self.prefetch_s:
                    self._renew(name, self._allowance(name, tomorrow))

    def _renew(self, name: str, allowance: Allowance) -> None:
        workspace = self.configuration.world.workspaces.get(name)
        idle = time.monotonic() - allowance.used_at > IDLE_S
        if idle and allowance.day == _day(time.time()):
            allowance.give_back()
        elif workspace is not None and workspace.budget is not None:
            allowance.refill(_budget(workspace))

    def unload(self) -> None:
        """Give back what is left; after a kill it lapses."""
        for allowance in tuple(self.allowances.values()):
            with contextlib.suppress(LacewingdockError):
                allowance.give_back()


def _day(now: float) -> str:
    return time.strftime("%Y%m%d", time.gmtime(now))


def _budget(workspace: Workspace) -> int:
    return round((workspace.budget or 0.0) * MICROS)


def _final(error: LacewingdockError) -> LacewingdockError:
    if not isinstance(error, Exhausted):
        return error
    return LacewingdockError(
        error.kind, error.detail, retry_after_s=seconds_left(time.time())
    )


def seconds_left(now: float) -> float:
    """Seconds from a wall-clock time to the end of its day (UTC)."""
    return DAY_S - now % DAY_S


def setup(
    daemon: Daemon,
    configuration: Configuration,
    answers: Answers,
    entries: Callable[[], int],
) -> Budgets:
    """Set the budgets up."""
    budgets = Budgets(daemon, configuration, answers, entries)
    daemon.add(NAME, budgets)
    return budgets
