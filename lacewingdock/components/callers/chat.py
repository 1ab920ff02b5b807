"""Support for answering chat completions."""

import re
from collections.abc import Callable, Iterator
from typing import Final

import msgspec
from werkzeug.wrappers import Response

from lacewingdock.components.answers.answer import Answer
from lacewingdock.components.budgets import Budgets
from lacewingdock.components.callers.assemble import assemble
from lacewingdock.components.callers.relay import BY_CONFIGURATION, Relay
from lacewingdock.components.callers.requests import (
    Caller,
    ChatBody,
    read_chat,
)
from lacewingdock.components.callers.sink import (
    Sink,
    event_bytes,
    sink_for,
)
from lacewingdock.components.callers.steps import Asked, Begun, Steps
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.routing import plan_request
from lacewingdock.components.sessions import (
    Session,
    open_session,
    sign_session,
)
from lacewingdock.const import HEADER_SESSION, HEADER_VERSION, RAN_YES
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.problem import problem_body
from lacewingdock.links.keys import KeyRing
from lacewingdock.world.objects import Workspace

EVENT_STREAM: Final = "text/event-stream"
DONE_EVENT: Final = b"data: [DONE]\n\n"
HEADER_MOVED: Final = "Lacewingdock-Moved-From"
# A withdrawal and a roll-out can follow each other closely.
MAX_PLANS: Final = 3

# An offset fits the frame's field.
_OFFSET: Final = re.compile("[0-9]{1,9}")

log = get_logger("chat")


class Chat:
    """Answers chat completions by plans of one step or several.

    Attributes:
        configuration: The configuration in force.
        relay: Gets attempts answered.
        session_keys: Keys that sign session tokens.
        steps: Runs the plans.
        budgets: Let requests in as far as the workspace's budget goes.
    """

    __slots__ = ("budgets", "configuration", "relay", "session_keys", "steps")

    def __init__(
        self,
        configuration: Configuration,
        relay: Relay,
        session_keys: KeyRing,
        steps: Steps,
        budgets: Budgets,
    ) -> None:
        """Take what it works with."""
        self.budgets = budgets
        self.configuration = configuration
        self.relay = relay
        self.session_keys = session_keys
        self.steps = steps

    def answer(
        self, body: bytes, caller: Caller, name: str, workspace: Workspace
    ) -> Response:
        """Answer one chat completion.

        Raises:
            LacewingdockError: It is refused.
        """
        chat = read_chat(body)
        if caller.last_event:
            return self._resume(caller, name)
        session = None
        if caller.session:
            session = open_session(caller.session, name, self.session_keys)
        begun = self.begin(chat, caller, name, workspace, session)
        if chat.stream:
            events = self._events(begun.answer, begun.pieces, caller, begun)
            response = Response(events, content_type=EVENT_STREAM)
        else:
            response = self._whole(begun)
        self._mark(response, begun)
        return response

    def begin(
        self,
        chat: ChatBody,
        caller: Caller,
        name: str,
        workspace: Workspace,
        session: Session | None,
    ) -> Begun:
        """Plan and run; plan again if the plan was made on old news.

        An entry that was frozen or cut off plans with a version that has
        been withdrawn. The sidecar refuses it, the entry catches up with
        the sidecar, and the caller needn't know.
        """
        last: LacewingdockError | None = None
        for _ in range(MAX_PLANS):
            revision = self.configuration.revision
            world = self.configuration.world
            workspace = world.workspaces.get(name, workspace)
            plan = plan_request(
                world, workspace, chat.model, session, self.relay.source
            )
            asked = Asked(chat, caller, name, workspace, world, revision, plan)
            try:
                return self._run_within_budget(asked)
            except LacewingdockError as error:
                if last and error.kind is ErrorKind.BUDGET_EXHAUSTED:
                    # A step of the first plan may have run; its own refusal
                    # says so, and this one would not.
                    break
                last = error
                if not self._outdated(revision)(error):
                    break
        assert last is not None
        raise last

    def _run_within_budget(self, asked: Asked) -> Begun:
        """Set aside what all steps may cost, then run them."""
        request, chat = asked.caller.request_id, asked.chat
        size = sum(len(str(m.get("content"))) for m in chat.messages)
        self.budgets.admit_chat(
            request,
            asked.name,
            asked.workspace,
            asked.plan,
            size,
            chat.max_tokens,
        )
        try:
            begun = self.steps.run(asked, self._outdated(asked.revision))
        except BaseException:
            self.budgets.close(request)
            raise
        self.budgets.set_final_answer(request, begun.answer)
        return begun

    def _outdated(self, revision: int) -> Callable[[LacewingdockError], bool]:
        """Tell of refusals whether they only show that a plan was too old."""
        return lambda error: (
            error.kind in BY_CONFIGURATION
            and self.configuration.revision > revision
        )

    def _events(
        self,
        answer: Answer,
        pieces: list[bytes],
        caller: Caller,
        begun: Begun | None = None,
    ) -> Iterator[bytes]:
        """Yield server-sent events; pieces that wait together go together."""
        sampled = begun is not None and begun.sampled
        seen: list[bytes] = []
        prefix = f"{answer.upstream.name}/{answer.attempt.attempt}".encode()
        # A sampled answer's text is wanted here, not only at the caller.
        sink = None if sampled else sink_for(caller.served, prefix)
        whole = False
        try:
            while pieces:
                start = answer.next_offset - len(pieces)
                yield b"".join(
                    event_bytes(prefix, index, data)
                    for index, data in enumerate(pieces, start)
                )
                seen += pieces if sampled else ()
                pieces = [] if answer.finish else self.more(answer, sink)
            whole = True
            yield DONE_EVENT
            if begun is not None:
                self.steps.ended(begun, seen)
        except LacewingdockError as error:
            whole = True
            if answer.next_offset:
                error.ran = RAN_YES
            body = problem_body(error, caller.request_id)
            yield b"event: error\ndata: " + body + b"\n\n"
        finally:
            # A caller that went away and has no key can't come back.
            gone = not whole and not caller.key
            # Before the connection closes: another may get its number.
            answer.divert(None)
            self.relay.answers.drop(answer, cancel=gone)

    def more(self, answer: Answer, sink: Sink | None) -> list[bytes]:
        """Return the next pieces that the sink does not take."""
        while True:
            if sink is not None:
                answer.divert(sink.write)
            pieces = self.relay.take(answer)
            if sink is None or not sink.finish():
                return pieces
            if len(pieces) > 1:
                return pieces[1:]

    def _whole(self, begun: Begun) -> Response:
        answer, pieces = begun.answer, begun.pieces
        try:
            if answer.finish is None and pieces:
                self.relay.collect(answer, pieces)
        finally:
            self.relay.answers.drop(answer)
        self.steps.ended(begun, pieces)
        return Response(
            msgspec.json.encode(assemble(pieces)),
            content_type="application/json",
        )

    def _resume(self, caller: Caller, workspace: str) -> Response:
        """Give the rest of an answer that the caller lost the way to."""
        parts = caller.last_event.split("/")
        if len(parts) != 3 or not _OFFSET.fullmatch(parts[2]):
            raise LacewingdockError(
                ErrorKind.BAD_REQUEST, f"Last-Event-ID: {caller.last_event!r}"
            )
        upstream = self.relay.membership.reach(parts[0])
        if upstream is None:
            raise LacewingdockError(
                ErrorKind.ANSWER_GONE, f"{parts[0]} is not known here"
            )
        answer = self.relay.answers.resume(
            upstream,
            parts[1],
            workspace,
            int(parts[2]) + 1,
            caller.request_id,
        )
        try:
            pieces = self.relay.take(answer)
        except LacewingdockError:
            self.relay.answers.drop(answer)
            raise
        events = self._events(answer, pieces, caller)
        return Response(events, content_type=EVENT_STREAM)

    def _mark(self, response: Response, begun: Begun) -> None:
        """Tell the caller which version answered, and how to stay on it."""
        plan, version = begun.asked.plan, begun.step.version
        session = Session(begun.asked.name, plan.name, version)
        response.headers[HEADER_SESSION] = sign_session(
            session, self.session_keys
        )
        response.headers[HEADER_VERSION] = version
        if plan.moved_from:
            response.headers[HEADER_MOVED] = plan.moved_from
