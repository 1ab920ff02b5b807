"""Support for taking a request through the steps of its plan."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from lacewingdock.components.answers.answer import Answer
from lacewingdock.components.callers.assemble import assemble
from lacewingdock.components.callers.relay import Relay
from lacewingdock.components.callers.requests import Caller, ChatBody
from lacewingdock.components.cascades import (
    Cascades,
    Route,
    Seen,
    StepChoice,
    class_of,
)
from lacewingdock.components.routing import VersionPlan
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.messages import Attempt
from lacewingdock.world.objects import Step, Workspace
from lacewingdock.world.world import World

CHAT_UPSTREAM_PATH: Final = "/v1/chat/completions"

log = get_logger("steps")


@dataclass(slots=True)
class Asked:
    """A request with what its steps are planned from.

    Attributes:
        chat: The body.
        caller: The headers.
        name: Name of the workspace.
        workspace: The workspace.
        world: The configuration that the plan was made on.
        revision: Its revision.
        plan: The plan.
    """

    chat: ChatBody
    caller: Caller
    name: str
    workspace: Workspace
    world: World
    revision: int
    plan: VersionPlan


@dataclass(slots=True)
class Begun:
    """An answer that is given to the caller, as far as it came.

    Attributes:
        asked: The request.
        index: Index of the step that answers.
        answer: Its answer.
        pieces: The first pieces, or all of an answer that was held.
        route: What learns from it.
        sampled: Whether its text is wanted for a rating.
    """

    asked: Asked
    index: int
    answer: Answer
    pieces: list[bytes]
    route: Route
    sampled: bool

    @property
    def step(self) -> Step:
        """The step that answers."""
        return self.asked.plan.steps[self.index]


class Steps:
    """Runs plans, and lets the cascades learn from what comes.

    Attributes:
        relay: Gets attempts answered.
        cascades: Choose the steps.
    """

    __slots__ = ("cascades", "relay")

    def __init__(self, relay: Relay, cascades: Cascades) -> None:
        """Take what it works with."""
        self.relay = relay
        self.cascades = cascades

    def run(
        self,
        asked: Asked,
        is_outdated: Callable[[LacewingdockError], bool],
    ) -> Begun:
        """Run the steps until one's answer is good enough to give.

        An answer that waits for a verdict is held back whole: what the
        caller has seen can't be taken back. Its price is the first token's
        latency; a step without a verdict streams.

        Args:
            asked: The request.
            is_outdated: Tells of an error whether the plan was too old, in
                which case no further step is tried.

        Raises:
            LacewingdockError: The last step's, or one that ends the plan.
        """
        route = self._route(asked)
        last = len(asked.plan.steps) - 1
        for choice in route.choice:
            if choice.index == last:
                break
            try:
                begun = self._try(asked, route, choice)
            except LacewingdockError as error:
                if error.kind is ErrorKind.CALLER_LEFT or is_outdated(error):
                    raise
                log.info(
                    "step failed",
                    request_id=asked.caller.request_id,
                    version=asked.plan.steps[choice.index].version,
                    code=error.kind,
                )
                continue
            if begun is not None:
                return begun
        answer, pieces = self._ask(asked, last, held=not asked.chat.stream)
        sampled = self._is_sampled(asked, route, last)
        return Begun(asked, last, answer, pieces, route, sampled)

    def _route(self, asked: Asked) -> Route:
        chat = asked.chat
        return self.cascades.route(
            asked.world,
            asked.name,
            asked.workspace,
            asked.plan.name,
            asked.plan.steps,
            class_of(asked.caller.request_class, chat.messages),
        )

    def _try(
        self, asked: Asked, route: Route, choice: StepChoice
    ) -> Begun | None:
        """Ask a step that is not the last; None when the next shall."""
        held = choice.accept is not None or not asked.chat.stream
        answer, pieces = self._ask(asked, choice.index, held)
        sampled = self._is_sampled(asked, route, choice.index)
        begun = Begun(asked, choice.index, answer, pieces, route, sampled)
        if choice.accept is None:
            return begun
        judged = self._judge(asked.chat, pieces)
        if judged is not None:
            text, score = judged
            given = choice.accepts(score)
            self._learn(begun, text, score, given)
            if given:
                # Learnt from already.
                begun.route, begun.sampled = Route([]), False
                return begun
        self.relay.answers.drop(answer)
        return None

    def _is_sampled(self, asked: Asked, route: Route, index: int) -> bool:
        version = asked.plan.steps[index].version
        return self.cascades.is_sampled(route, version)

    def _judge(
        self, chat: ChatBody, pieces: list[bytes]
    ) -> tuple[str, float] | None:
        """Return a held answer's text and verdict.

        Without a verdict, or with pieces that are no answer, the quality
        target goes first: None.
        """
        if self.cascades.ratings is None:
            return None
        try:
            text = text_of(pieces)
            return text, self.cascades.ratings.rate(chat.messages, text)
        except LacewingdockError as error:
            log.warning("no verdict", error=error.detail)
            return None

    def ended(self, begun: Begun, pieces: list[bytes]) -> None:
        """Learn from an answer that the caller got whole.

        Args:
            begun: The answer.
            pieces: All its pieces if it is sampled, else whatever is there.
        """
        text = text_of(pieces) if begun.sampled else ""
        self._learn(begun, text, None, given=True)

    def _learn(
        self, begun: Begun, text: str, score: float | None, given: bool
    ) -> None:
        if begun.route.policy is None and not begun.sampled:
            return
        messages = begun.asked.chat.messages if begun.sampled else []
        seen = Seen(
            begun.index,
            score,
            given,
            _cost(begun),
            messages,
            text,
            begun.step.version,
        )
        self.cascades.saw(begun.route, seen, begun.sampled)

    def _ask(
        self, asked: Asked, index: int, held: bool
    ) -> tuple[Answer, list[bytes]]:
        """Ask a step, for all of its answer if that is held until whole."""
        ask = self.relay.whole if held else self.relay.start
        step = asked.plan.steps[index]
        caller = asked.caller
        fields = {
            **asked.chat.fields,
            "model": step.version,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        return ask(
            Attempt(
                attempt=new_id(),
                request=caller.request_id,
                workspace=asked.name,
                target=step.version,
                method="POST",
                path=CHAT_UPSTREAM_PATH,
                body=msgspec.json.encode(fields),
                key=caller.key,
                priority=caller.priority,
                deadline_ms=caller.left_ms(),
                traceparent=caller.traceparent,
                revision=asked.revision,
                resumable=bool(caller.key),
                step=index,
            )
        )


def _cost(begun: Begun) -> float:
    """Return an answer's cost for a thousand tokens generated.

    Counted for an equal length, the steps' costs are on one scale also
    before a step's first answer, when only its price is known.
    """
    version = begun.asked.world.versions.get(begun.step.version)
    finish = begun.answer.finish
    if version is None:
        return 0.0
    if finish is None or not finish.output_tokens:
        return version.output_price
    share = finish.input_tokens / finish.output_tokens
    return version.output_price + version.input_price * share


def text_of(pieces: list[bytes]) -> str:
    """Return the text of an answer's first choice."""
    choices: list[dict[str, Any]] = assemble(pieces)["choices"]
    return str(choices[0]["message"]["content"]) if choices else ""
