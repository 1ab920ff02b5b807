"""Support for answering calls of plain services."""

from typing import Final

from werkzeug.wrappers import Request, Response

from lacewingdock.components.answers.answer import Answer
from lacewingdock.components.budgets import Budgets
from lacewingdock.components.callers.relay import Relay
from lacewingdock.components.callers.requests import Caller
from lacewingdock.components.claims import partition_of
from lacewingdock.components.configuration import Configuration
from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.links.messages import Attempt
from lacewingdock.world.objects import Workspace

PREFIX: Final = "/services/"


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
        caller: Caller,
        name: str,
        workspace: Workspace,
    ) -> Response:
        """Answer one call.

        Raises:
            LacewingdockError: It is refused.
        """
        service, _, rest = request.path.removeprefix(PREFIX).partition("/")
        path = f"/{rest}"
        world = self.configuration.world
        if service in world.services and service not in workspace.services:
            raise LacewingdockError(
                ErrorKind.MODEL_NOT_ALLOWED, f"service {service!r}"
            )
        operation = world.operation(service, request.method, path)
        if not operation.repeatable and not caller.key:
            raise LacewingdockError(
                ErrorKind.KEY_REQUIRED, f"{request.method} {path}"
            )
        query = request.query_string.decode("latin-1")
        attempt = Attempt(
            attempt=new_id(),
            request=caller.request_id,
            workspace=name,
            target=service,
            method=request.method,
            path=f"{path}?{query}" if query else path,
            body=request.get_data(),
            content_type=request.content_type or "application/json",
            key=caller.key,
            priority=caller.priority,
            deadline_ms=int(operation.timeout_s * 1000),
            repeatable=operation.repeatable,
            traceparent=caller.traceparent,
            revision=self.configuration.revision,
        )
        self.budgets.admit_call(
            caller.request_id, name, workspace, service, request.method, path
        )
        try:
            if operation.repeatable:
                answer, pieces = self.relay.start(attempt)
            else:
                answer, pieces = self._once(attempt)
            return self._whole(answer, pieces)
        finally:
            self.budgets.close(caller.request_id)

    def _once(self, attempt: Attempt) -> tuple[Answer, list[bytes]]:
        """Get a call that may not be repeated answered by its home."""
        service = self.configuration.world.services[attempt.target]
        number = partition_of(
            attempt.workspace, attempt.key, service.partitions
        )
        home = self.relay.membership.home(f"{attempt.target}/{number}")
        if home is None:
            raise LacewingdockError(
                ErrorKind.NOT_HOME,
                f"partition {number} of {attempt.target} has no home",
                RAN_NO,
            )
        answer = self.relay.answers.ask(home, attempt)
        try:
            return answer, self.relay.take(answer)
        except LacewingdockError as error:
            self.relay.answers.drop(answer)
            if error.kind is ErrorKind.ANSWER_GONE and error.ran == RAN_UNKNOWN:
                # The link went before the home had read the request, or the
                # home is another process now; either way it is not known.
                raise LacewingdockError(
                    ErrorKind.OUTCOME_UNKNOWN, error.detail
                ) from error
            raise

    def _whole(self, answer: Answer, pieces: list[bytes]) -> Response:
        try:
            while pieces and (more := self.relay.take(answer)):
                pieces += more
        finally:
            self.relay.answers.drop(answer)
        finish = answer.finish
        assert finish is not None
        return Response(
            b"".join(pieces),
            status=finish.status,
            content_type=finish.content_type or "application/octet-stream",
        )
