"""Support for the operators' language at an entry."""

from dataclasses import dataclass, field
from typing import Any

import msgspec
from werkzeug.wrappers import Request, Response

from lacewingdock.components.admin import Admin
from lacewingdock.components.answers import Answers
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.language.const import (
    KEYWORDS,
    NAME,
    ROLE_ADMIN,
    ROLE_OPERATOR,
    ROLE_RANKS,
    ROLE_VIEWER,
    SHOW_KINDS,
)
from lacewingdock.components.membership import Membership
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.problem_response import problem_response

log = get_logger(NAME)

BEARER = "Bearer "


class Question(msgspec.Struct):
    """What an operator sends.

    Attributes:
        text: One command.
        id: Id under which an order takes effect once; empty for a new one.
    """

    text: str
    id: str = ""


@dataclass(slots=True)
class Reply:
    """What an operator gets.

    Attributes:
        columns: Names of the columns, in order.
        rows: The rows, each a map from column to value.
        message: What was done, for people.
        command: Id of the command, for sending it again.
        source: The entry that answers and its configuration revision, or
            "platform".
    """

    columns: list[str] = field(default_factory=list)
    rows: list[dict[str, Any]] = field(default_factory=list)
    message: str = ""
    command: str = ""
    source: str = ""


class Language:
    """Answers operators' commands at this entry's admin port.

    Attributes:
        daemon: The daemon.
        configuration: The configuration in force.
        membership: Upstreams and instances.
        answers: Open requests.
    """

    __slots__ = ("answers", "configuration", "daemon", "membership")

    def __init__(
        self,
        daemon: Daemon,
        configuration: Configuration,
        membership: Membership,
        answers: Answers,
    ) -> None:
        """Take what can be asked about."""
        self.daemon = daemon
        self.configuration = configuration
        self.membership = membership
        self.answers = answers

    def serve_ask(self, request: Request) -> Response:
        """Answer POST /ask."""
        request_id = new_id()
        try:
            name, role = self._authenticate(request)
            question = decode_json(request.get_data(), Question)
            reply = self.ask(question, name, role)
        except msgspec.DecodeError as error:
            return problem_response(
                LacewingdockError(ErrorKind.BAD_REQUEST, str(error)),
                request_id,
            )
        except LacewingdockError as error:
            return _with_column(error, problem_response(error, request_id))
        return Response(
            msgspec.json.encode(reply), content_type="application/json"
        )

    def serve_words(self, request: Request) -> Response:
        """Answer GET /words: what a command line may complete to."""
        try:
            self._authenticate(request)
        except LacewingdockError as error:
            return problem_response(error, new_id())
        world = self.configuration.world
        names = {*KEYWORDS, *SHOW_KINDS}
        for objects in (world.versions, world.models, world.workspaces):
            names.update(objects)
        names.update(i.name for i in self.membership.instances)
        return Response(
            msgspec.json.encode(sorted(names)), content_type="application/json"
        )

    def _authenticate(self, request: Request) -> tuple[str, str]:
        header = request.headers.get("Authorization", "")
        key = header.removeprefix(BEARER) if header.startswith(BEARER) else ""
        name, operator = self.configuration.world.operator(key)
        return name, operator.role

    def ask(self, question: Question, operator: str, role: str) -> Reply:
        """Carry a command out.

        Raises:
            LacewingdockError: BAD_COMMAND with the place of the fault,
                PERMISSION_DENIED, CONFLICT, NOT_FOUND and what the platform
                raises.
        """
        # Imported here: the parser's library is only worth its memory at
        # the entries that operators talk to.
        from lacewingdock.components.language.parser import (
            check_command_id,
            parse,
        )
        from lacewingdock.components.language.statements import (
            Change,
            Explain,
            Release,
            RollOut,
            SetState,
            Show,
            Stop,
            Unload,
        )

        if question.id:
            check_command_id(question.id, 0)
        statement = parse(question.text)
        match statement:
            case Show():
                _require(role, ROLE_VIEWER)
                return self._show(statement)
            case Explain():
                _require(role, ROLE_VIEWER)
                return self._explain(statement)
            case Stop():
                _require(role, ROLE_ADMIN)
            case RollOut() | Unload() | Change() | SetState() | Release():
                _require(role, ROLE_OPERATOR)
        return self._order(statement, question, operator)

    def _show(self, statement: Any) -> Reply:
        from lacewingdock.components.language.query import select_rows
        from lacewingdock.components.language.views import VIEWS

        view = VIEWS[statement.kind.text]
        rows = select_rows(statement, view.columns, view.rows(self._sources()))
        source = self._here() if view.local else "platform"
        return Reply(list(view.columns), rows, source=source)

    def _explain(self, statement: Any) -> Reply:
        from lacewingdock.components.language.explain import (
            COLUMNS,
            explain_route,
        )

        rows = explain_route(statement, self._sources())
        return Reply(list(COLUMNS), rows, source=self._here())

    def _order(
        self, statement: Any, question: Question, operator: str
    ) -> Reply:
        from lacewingdock.components.language.audit import (
            carry_out,
            settle_write,
        )
        from lacewingdock.components.language.plans import plan_order
        from lacewingdock.components.language.statements import Stop
        from lacewingdock.components.language.stops import (
            plan_stop,
            settle_stop,
        )

        store, daemon = self.daemon.store, self.daemon
        stop = isinstance(statement, Stop)

        def plan() -> Any:
            if stop:
                return plan_stop(statement, daemon, self.membership)
            return plan_order(statement, operator, store)

        if statement.tail.dry_run:
            planned = plan()
            return Reply(
                message=f"would do: {planned.summary} "
                f"({planned.name} at revision {planned.expect})",
                source="platform",
            )
        command = statement.tail.command_id or question.id or f"c-{new_id()}"
        log.info(
            "order", operator=operator, command=command, text=question.text
        )
        record = carry_out(
            store,
            command,
            operator,
            question.text,
            plan,
            (lambda s, r, f: settle_stop(daemon, s, r, f))
            if stop
            else settle_write,
        )
        return Reply(message=record.detail, command=command, source="platform")

    def _sources(self) -> Any:
        from lacewingdock.components.language.views import Sources

        return Sources(
            self.configuration, self.membership, self.answers, self.daemon.store
        )

    def _here(self) -> str:
        me = self.daemon.me.instance
        return f"{me} at revision {self.configuration.revision}"

    def unload(self) -> None:
        """Nothing is held beyond the admin port's routes."""


def _require(role: str, needed: str) -> None:
    if ROLE_RANKS[role] < ROLE_RANKS[needed]:
        raise LacewingdockError(
            ErrorKind.PERMISSION_DENIED,
            f"this needs the role {needed}, the key has {role}",
        )


def _with_column(error: LacewingdockError, response: Response) -> Response:
    """Add the place in the line to a problem, where there is one."""
    column = getattr(error, "column", None)
    if column is not None:
        body = msgspec.json.decode(response.get_data())
        response.set_data(msgspec.json.encode({**body, "column": column}))
    return response


def setup(
    daemon: Daemon,
    admin: Admin,
    configuration: Configuration,
    membership: Membership,
    answers: Answers,
) -> Language:
    """Set the language up on the admin port."""
    language = Language(daemon, configuration, membership, answers)
    admin.routes["/ask"] = ("POST", language.serve_ask)
    admin.routes["/words"] = ("GET", language.serve_words)
    daemon.add(NAME, language)
    return language
