"""Support for answering chat completions."""

import re
from collections.abc import Iterator
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
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.routing import Plan, plan_request
from lacewingdock.components.sessions import (
    Session,
    open_session,
    sign_session,
)
from lacewingdock.const import HEADER_SESSION, HEADER_VERSION, RAN_YES
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.problem import problem_body
from lacewingdock.links.keys import KeyRing
from lacewingdock.links.messages import Attempt
from lacewingdock.platform.ratings import Ratings
from lacewingdock.world.objects import Step, Workspace

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
        ratings: The rating service; None when there is none.
        budgets: Let requests in as far as the workspace's budget goes.
    """

    __slots__ = (
        "budgets",
        "configuration",
        "ratings",
        "relay",
        "session_keys",
    )

    def __init__(
        self,
        configuration: Configuration,
        relay: Relay,
        session_keys: KeyRing,
        ratings: Ratings | None,
        budgets: Budgets,
    ) -> None:
        """Take what it works with."""
        self.budgets = budgets
        self.configuration = configuration
        self.relay = relay
        self.session_keys = session_keys
        self.ratings = ratings

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
        plan, step, answer, pieces = self._start(
            chat, caller, name, workspace, session
        )
        if chat.stream:
            response = self._stream(answer, pieces, caller)
        else:
            response = self._whole(answer, pieces)
        self._mark(response, plan, step, name)
        return response

    def _start(
        self,
        chat: ChatBody,
        caller: Caller,
        name: str,
        workspace: Workspace,
        session: Session | None,
    ) -> tuple[Plan, Step, Answer, list[bytes]]:
        """Plan and run; plan again if the plan was made on old news.

        An entry that was frozen or cut off plans with a version that has
        been withdrawn. The sidecar refuses it, the entry catches up with
        the sidecar, and the caller needn't know.
        """
        last: LacewingdockError | None = None
        for _ in range(MAX_PLANS):
            revision = self.configuration.revision
            world = self.configuration.world
            plan = plan_request(
                world,
                world.workspaces.get(name, workspace),
                chat.model,
                session,
                self.relay.source,
            )
            try:
                return plan, *self._run_within_budget(
                    plan, revision, chat, caller, name, workspace
                )
            except LacewingdockError as error:
                if last is not None and error.kind is (
                    ErrorKind.BUDGET_EXHAUSTED
                ):
                    # A step of the first plan may have run; its own refusal
                    # says so, and this one would not.
                    break
                last = error
                if not self._outdated(error, revision):
                    break
        assert last is not None
        raise last

    def _run_within_budget(
        self,
        plan: Plan,
        revision: int,
        chat: ChatBody,
        caller: Caller,
        name: str,
        workspace: Workspace,
    ) -> tuple[Step, Answer, list[bytes]]:
        """Set aside what all steps may cost, then run them."""
        request = caller.request_id
        size = sum(len(str(m.get("content"))) for m in chat.messages)
        self.budgets.admit_chat(
            request, name, workspace, plan, size, chat.max_tokens
        )
        try:
            step, answer, pieces = self._run(plan, revision, chat, caller, name)
        except BaseException:
            self.budgets.close(request)
            raise
        self.budgets.end_with(request, answer)
        return step, answer, pieces

    def _outdated(self, error: LacewingdockError, revision: int) -> bool:
        """Tell whether a refusal only shows that a plan was too old."""
        return (
            error.kind in BY_CONFIGURATION
            and self.configuration.revision > revision
        )

    def _run(
        self,
        plan: Plan,
        revision: int,
        chat: ChatBody,
        caller: Caller,
        workspace: str,
    ) -> tuple[Step, Answer, list[bytes]]:
        """Run the steps until one's answer is good enough to give.

        An answer that waits for a verdict is held back whole: what the
        caller has seen can't be taken back. Its price is the first token's
        latency; the last step streams.
        """
        for index, step in enumerate(plan.steps[:-1]):
            try:
                answer, pieces = self._ask(step, index, chat, caller, workspace)
                if pieces:
                    self.relay.collect(answer, pieces)
            except LacewingdockError as error:
                gone = error.kind is ErrorKind.CALLER_LEFT
                if gone or self._outdated(error, revision):
                    raise
                log.info(
                    "step failed",
                    request_id=caller.request_id,
                    version=step.version,
                    code=error.kind,
                )
                continue
            if self._accepts(step, chat, pieces):
                return step, answer, pieces
            self.relay.answers.drop(answer)
        last = plan.steps[-1]
        index = len(plan.steps) - 1
        return last, *self._ask(last, index, chat, caller, workspace)

    def _ask(
        self,
        step: Step,
        index: int,
        chat: ChatBody,
        caller: Caller,
        workspace: str,
    ) -> tuple[Answer, list[bytes]]:
        fields = {
            **chat.fields,
            "model": step.version,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        return self.relay.start(
            Attempt(
                attempt=new_id(),
                request=caller.request_id,
                workspace=workspace,
                target=step.version,
                method="POST",
                path="/v1/chat/completions",
                body=msgspec.json.encode(fields),
                key=caller.key,
                priority=caller.priority,
                deadline_ms=caller.left_ms(),
                traceparent=caller.traceparent,
                revision=self.configuration.revision,
                resumable=bool(caller.key),
                step=index,
            )
        )

    def _accepts(self, step: Step, chat: ChatBody, pieces: list[bytes]) -> bool:
        """Ask the rating service whether a cheap answer will do."""
        if self.ratings is None:
            return True
        text = assemble(pieces)["choices"][0]["message"]["content"]
        try:
            return self.ratings.rate(chat.messages, text) >= step.accept
        except LacewingdockError:
            # Without a verdict the quality target decides: go to the dearer.
            return False

    def _stream(
        self, answer: Answer, first: list[bytes], caller: Caller
    ) -> Response:
        return Response(
            self._events(answer, first, caller), content_type=EVENT_STREAM
        )

    def _events(
        self, answer: Answer, pieces: list[bytes], caller: Caller
    ) -> Iterator[bytes]:
        """Yield server-sent events; pieces that wait together go together."""
        prefix = f"{answer.upstream.name}/{answer.attempt.attempt}".encode()
        sink = sink_for(caller.served, prefix)
        whole = False
        try:
            while pieces:
                start = answer.next_offset - len(pieces)
                yield b"".join(
                    event_bytes(prefix, index, data)
                    for index, data in enumerate(pieces, start)
                )
                pieces = [] if answer.finish else self._more(answer, sink)
            whole = True
            yield DONE_EVENT
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

    def _more(self, answer: Answer, sink: Sink | None) -> list[bytes]:
        """Return the next pieces that the sink does not take."""
        while True:
            if sink is not None:
                answer.divert(sink.write)
            pieces = self.relay.take(answer)
            if sink is None or not sink.finish():
                return pieces
            if len(pieces) > 1:
                return pieces[1:]

    def _whole(self, answer: Answer, pieces: list[bytes]) -> Response:
        try:
            if answer.finish is None and pieces:
                self.relay.collect(answer, pieces)
        finally:
            self.relay.answers.drop(answer)
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
        return self._stream(answer, pieces, caller)

    def _mark(
        self, response: Response, plan: Plan, step: Step, workspace: str
    ) -> None:
        """Tell the caller which version answered, and how to stay on it."""
        session = Session(workspace, plan.name, step.version)
        response.headers[HEADER_SESSION] = sign_session(
            session, self.session_keys
        )
        response.headers[HEADER_VERSION] = step.version
        if plan.moved_from:
            response.headers[HEADER_MOVED] = plan.moved_from
