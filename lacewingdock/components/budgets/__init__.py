"""Enforcement of the workspaces' daily budgets at the entry."""

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
from lacewingdock.components.budgets.allowance import Allowance, BudgetExhausted
from lacewingdock.components.budgets.const import (
    DAY_S,
    IDLE_RETURN_S,
    NAME,
    PREFETCH_WINDOW_S,
    RESERVED_TOKENS,
    SWEEP_INTERVAL_S,
)
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.routing import VersionPlan
from lacewingdock.core import Daemon
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.objects import Step, Workspace

AT_LIMIT_CHEAPEST: Final = "cheapest"
AT_LIMIT_REFUSE: Final = "refuse"

log = get_logger(NAME)


class BudgetReservation:
    """The amount reserved for one request until its cost is known.

    Attributes:
        allowance: The allowance that the amount was reserved from; None for a
            request without a budget or beyond its budget.
        reserved: Reserved amount in millionths.
        cost: Cost in millionths of the attempts that have ended.
        final_answer: The answer that ends the request; None until known.
    """

    __slots__ = ("allowance", "cost", "final_answer", "reserved")

    def __init__(self, allowance: Allowance | None, reserved: int) -> None:
        """Create a reservation for a request with no attempt so far."""
        self.allowance = allowance
        self.reserved = reserved
        self.cost = 0
        self.final_answer: Answer | None = None


class Budgets:
    """Admits requests while their workspace's daily budget lasts.

    Attributes:
        daemon: The daemon.
        configuration: Source of the prices and the workspaces.
        entries: Returns the number of live entries.
        allowances: Allowances by workspace name and day.
        reservations: Reservations by request id.
        prefetch_s: Seconds before midnight (UTC) from which the first
            allowances of the next day are acquired.
        over_budget: Counter of requests admitted beyond their budget.
    """

    __slots__ = (
        "_lock",
        "allowances",
        "configuration",
        "daemon",
        "entries",
        "over_budget",
        "prefetch_s",
        "reservations",
    )

    def __init__(
        self,
        daemon: Daemon,
        configuration: Configuration,
        answers: Answers,
        entries: Callable[[], int],
    ) -> None:
        """Register the counter, and a callback for dropped answers."""
        self.daemon = daemon
        self.configuration = configuration
        self.entries = entries
        self.allowances: dict[tuple[str, str], Allowance] = {}
        self.reservations: dict[str, BudgetReservation] = {}
        self.prefetch_s = daemon.random.uniform(
            SWEEP_INTERVAL_S, PREFETCH_WINDOW_S
        )
        self._lock = threading.Lock()
        answers.on_drop.append(self._on_drop)
        self.over_budget = prometheus_client.Counter(
            "lacewingdock_beyond_budget",
            "Requests let in beyond their workspace's budget",
            ["workspace"],
            registry=daemon.metrics,
        )

    def start(self) -> None:
        """Start the periodic renewal and return of allowances."""
        self.daemon.every(SWEEP_INTERVAL_S, self._sweep)

    def admit_chat(
        self,
        request: str,
        name: str,
        workspace: Workspace,
        plan: VersionPlan,
        prompt_bytes: int,
        max_tokens: int | None,
    ) -> None:
        """Admit a chat completion and reserve the cost of all its steps.

        This happens before any step runs. At the limit the plan may be cut
        to its cheapest step.

        Raises:
            LacewingdockError: BUDGET_EXHAUSTED or PLATFORM_UNAVAILABLE; the
                request did not run.
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
        """Admit a call of a plain service.

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
        """Reserve an amount; False if admitted beyond the budget."""
        allowance = self._allowance(name, _utc_day(time.time()))
        try:
            allowance.reserve(amount, _daily_budget(workspace))
        except LacewingdockError as error:
            if workspace.at_limit == AT_LIMIT_REFUSE:
                raise _with_retry_after(error) from error
            self.over_budget.labels(name).inc()
            log.warning(
                "request admitted beyond the workspace's budget",
                workspace=name,
                request_id=request,
            )
            return False
        self.reservations[request] = BudgetReservation(allowance, amount)
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
        """Set the answer that ends a request."""
        reservation = self.reservations.get(request)
        if reservation is not None:
            reservation.final_answer = answer
            if answer.dropped:
                self.close(request)

    def close(self, request: str) -> None:
        """Settle a request and release the unused part of its reservation."""
        reservation = self.reservations.pop(request, None)
        if reservation is not None and reservation.allowance is not None:
            reservation.allowance.settle(reservation.reserved, reservation.cost)

    def _on_drop(self, answer: Answer) -> None:
        """Add an attempt's cost; the final answer settles its request."""
        request = answer.attempt.request
        reservation = self.reservations.get(request)
        if reservation is None:
            return
        reservation.cost += self._cost(answer)
        if reservation.final_answer is answer:
            self.close(request)

    def _cost(self, answer: Answer) -> int:
        """Return the cost of an answer in millionths.

        Without the upstream's token counts the cost is an estimate, or zero.
        """
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
        """Renew used allowances, return idle ones and drop those of past days.

        Shortly before midnight the allowances of the next day are acquired.
        """
        now = time.time()
        today, tomorrow = _utc_day(now), _utc_day(now + DAY_S)
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
        idle = time.monotonic() - allowance.used_at > IDLE_RETURN_S
        if idle and allowance.day == _utc_day(time.time()):
            allowance.return_unused()
        elif workspace is not None and workspace.budget is not None:
            allowance.refill(_daily_budget(workspace))

    def unload(self) -> None:
        """Return unused allowances; those of a killed process lapse."""
        for allowance in tuple(self.allowances.values()):
            with contextlib.suppress(LacewingdockError):
                allowance.return_unused()


def _utc_day(now: float) -> str:
    return time.strftime("%Y%m%d", time.gmtime(now))


def _daily_budget(workspace: Workspace) -> int:
    return round((workspace.budget or 0.0) * MICROS)


def _with_retry_after(error: LacewingdockError) -> LacewingdockError:
    if not isinstance(error, BudgetExhausted):
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
    """Create the budgets and add them to the daemon."""
    budgets = Budgets(daemon, configuration, answers, entries)
    daemon.add(NAME, budgets)
    return budgets
