"""Support for answering calls of plain services."""

import time
from http import HTTPStatus
from typing import Final

import msgspec
from werkzeug.wrappers import Request, Response

from lacewingdock.components.answers import retry_of
from lacewingdock.components.answers.answer import Answer
from lacewingdock.components.budgets import Budgets
from lacewingdock.components.callers.relay import Relay
from lacewingdock.components.callers.requests import Caller
from lacewingdock.components.claims import partition_of
from lacewingdock.components.claims.tickets import (
    TICKET_S,
    mint_ticket,
    parse_ticket,
)
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.routing import choose_upstream
from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.links.messages import Attempt
from lacewingdock.world.objects import Operation, Workspace
from lacewingdock.world.upstream import Upstream

PREFIX: Final = "/services/"
TICKETS_PATH: Final = "/tickets"
MAX_SENDS: Final = 4
SEND_PAUSE_S: Final = 0.25
# A home that leaves in good order has a successor within a look; a request
# that comes in between waits for it rather than being turned away.
HOME_WAIT_S: Final = 1.5
HOME_POLL_S: Final = 0.02
HOME_RETRY_S: Final = 1.0
# What a home says that is going, or whoever isn't home any more.
_SEND_AGAIN: Final = frozenset({ErrorKind.LEAVING, ErrorKind.NOT_HOME})


class ServiceCalls:
    """Answers calls of plain services by their contracts.

    Attributes:
        configuration: The configuration in force.
        relay: Gets attempts answered.
        budgets: Let calls in as far as the workspace's budget goes.
    """

    __slots__ = ("budgets", "configuration", "relay")

    def __init__(
        self, configuration: Configuration, relay: Relay, budgets: Budgets
    ) -> None:
        """Take what it works with."""
        self.budgets = budgets
        self.configuration = configuration
        self.relay = relay

    def answer(
        self,
        request: Request,
        body: bytes,
        caller: Caller,
        name: str,
        workspace: Workspace,
    ) -> Response:
        """Answer one call.

        Raises:
            LacewingdockError: It is refused.
        """
        service, path = _target(request)
        world = self.configuration.world
        if service in world.services and service not in workspace.services:
            raise LacewingdockError(
                ErrorKind.MODEL_NOT_ALLOWED, f"service {service!r}"
            )
        if self._takes_tickets(request, service, path):
            return self._ticket(service)
        operation = world.operation(service, request.method, path)
        if not operation.repeatable and not caller.key:
            raise LacewingdockError(
                ErrorKind.KEY_REQUIRED, f"{request.method} {path}"
            )
        attempt = self._new_attempt(request, body, caller, name, operation)
        self.budgets.admit_call(
            caller.request_id, name, workspace, service, request.method, path
        )
        try:
            if operation.repeatable:
                answer, pieces = self.relay.whole(attempt)
            else:
                answer, pieces = self._once(attempt)
            return self._whole(answer, pieces)
        finally:
            self.budgets.close(caller.request_id)

    def _new_attempt(
        self,
        request: Request,
        body: bytes,
        caller: Caller,
        workspace: str,
        operation: Operation,
    ) -> Attempt:
        service, path = _target(request)
        query = request.query_string.decode("latin-1")
        return Attempt(
            attempt=new_id(),
            request=caller.request_id,
            workspace=workspace,
            target=service,
            method=request.method,
            path=f"{path}?{query}" if query else path,
            body=body,
            content_type=request.content_type or "application/json",
            key=caller.key,
            priority=caller.priority,
            deadline_ms=min(int(operation.timeout_s * 1000), caller.left_ms()),
            repeatable=operation.repeatable,
            traceparent=caller.traceparent,
            revision=self.configuration.revision,
        )

    def _takes_tickets(self, request: Request, service: str, path: str) -> bool:
        found = self.configuration.world.services.get(service)
        return (
            found is not None
            and (request.method, path) == ("POST", TICKETS_PATH)
            and any(o.on_outage == "tickets" for o in found.operations)
        )

    def _ticket(self, service: str) -> Response:
        """Give out a key that names the process that will run it."""
        upstream = choose_upstream(
            self.relay.membership.serving(service), (), self.relay.source
        )
        link = upstream.link
        if link is None:
            raise LacewingdockError(
                ErrorKind.NO_UPSTREAM, f"no link to {upstream.name}", RAN_NO
            )
        ticket = mint_ticket(link.peer.instance, link.peer.incarnation)
        body = {"ticket": ticket, "expires_in_s": TICKET_S}
        return Response(
            msgspec.json.encode(body),
            status=HTTPStatus.CREATED,
            content_type="application/json",
        )

    def _once(self, attempt: Attempt) -> tuple[Answer, list[bytes]]:
        """Get a call that may not be repeated answered by its home.

        The home runs a key once, so after a lost link the request may be
        sent again: it meets its own run, or the record of it.
        """
        end = time.monotonic() + attempt.deadline_ms / 1000
        last = _no_home(attempt)
        for _ in range(MAX_SENDS):
            home = self._wait_home(attempt, end)
            if home is None:
                break
            try:
                return self._ask_home(home, attempt)
            except LacewingdockError as error:
                if error.kind not in _SEND_AGAIN:
                    raise
                last = error
            time.sleep(SEND_PAUSE_S)
            attempt = retry_of(attempt, end)
        raise last

    def _ask_home(
        self, home: Upstream, attempt: Attempt
    ) -> tuple[Answer, list[bytes]]:
        """Send a request to a home and wait for its first pieces.

        Raises:
            LacewingdockError: As the home refused; NOT_HOME, run or not
                unknown, when the home can't be reached.
        """
        try:
            answer = self.relay.answers.ask(home, attempt)
        except LacewingdockError as error:
            raise _no_home(attempt) from error
        try:
            return answer, self.relay.take(answer)
        except LacewingdockError as error:
            is_lost = answer.link is None or error.kind is ErrorKind.ANSWER_GONE
            self.relay.answers.drop(answer)
            if is_lost and error.ran == RAN_UNKNOWN:
                # No link came back, or the home had not read the request
                # when the link went.
                raise _no_home(attempt) from error
            raise

    def _wait_home(self, attempt: Attempt, end: float) -> Upstream | None:
        """Find the home of a key, over the moment that it changes in."""
        ticket = parse_ticket(attempt.key)
        if ticket is not None:
            self.relay.membership.hasten(ticket.instance)
        end = min(end, time.monotonic() + HOME_WAIT_S)
        while True:
            home = self._home(attempt)
            if home is not None or time.monotonic() > end:
                return home
            time.sleep(HOME_POLL_S)

    def _home(self, attempt: Attempt) -> Upstream | None:
        membership = self.relay.membership
        ticket = parse_ticket(attempt.key)
        if ticket is not None:
            upstream = membership.upstreams.get(ticket.instance)
            link = upstream.link if upstream else None
            is_it = link and link.peer.incarnation == ticket.incarnation
            return upstream if is_it else None
        service = self.configuration.world.services[attempt.target]
        number = partition_of(
            attempt.workspace, attempt.key, service.partitions
        )
        return membership.home(f"{attempt.target}/{number}")

    def _whole(self, answer: Answer, pieces: list[bytes]) -> Response:
        try:
            if answer.finish is None and pieces:
                self.relay.collect(answer, pieces)
        finally:
            self.relay.answers.drop(answer)
        finish = answer.finish
        assert finish is not None
        return Response(
            b"".join(pieces),
            status=finish.status,
            content_type=finish.content_type or "application/octet-stream",
        )


def _target(request: Request) -> tuple[str, str]:
    """Return the service that a call names, and the path at it."""
    service, _, rest = request.path.removeprefix(PREFIX).partition("/")
    return service, f"/{rest}"


def _no_home(attempt: Attempt) -> LacewingdockError:
    """Refuse a key whose home can't be asked.

    It may be the second time that the key is sent, and the first may have
    run: only its home can say "not run".
    """
    if parse_ticket(attempt.key) is not None:
        detail = "the process that the ticket names can't be reached"
    else:
        detail = f"the key's partition of {attempt.target} has no home now"
    return LacewingdockError(
        ErrorKind.NOT_HOME, detail, RAN_UNKNOWN, HOME_RETRY_S
    )
