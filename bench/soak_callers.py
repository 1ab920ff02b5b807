"""Support for callers that never give up and remember every answer."""

import itertools
import random
import threading
import time
from dataclasses import dataclass, field
from typing import Final

import msgspec

from bench.http import Reply, call
from bench.load import DONE, text_of
from standins.engine import UNSURE, expected_words

TRIES: Final = 12
PAUSE_S: Final = 0.3
TOKENS: Final = 20


@dataclass(slots=True)
class Booked:
    """A slot that a caller asked for.

    Attributes:
        slot: The slot.
        answers: What each try was answered: "200", "no", "yes", "unknown" or
            "none" when no answer came.
    """

    slot: str
    answers: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Chatted:
    """A chat that a caller asked for.

    Attributes:
        request_id: The last id that an entry gave it.
        version: The version that answered.
        started: Monotonic time of the last try.
        verdict: "whole", "told" for an error that was said, "broken" for a
            connection that ended, "wrong" for anything else.
        detail: What was wrong.
    """

    request_id: str = ""
    version: str = ""
    started: float = 0.0
    verdict: str = ""
    detail: str = ""


class Callers:
    """Callers at a steady rate until they are stopped.

    Attributes:
        entries: URLs of the entries, as the balancer would know them.
        key: The workspace key.
        rate: Requests a second.
        source: Source of the mix.
        booked: Every slot asked for.
        chatted: Every chat asked for.
        stopping: Set when no more requests shall start.
    """

    __slots__ = (
        "_count",
        "_lock",
        "booked",
        "chatted",
        "entries",
        "key",
        "rate",
        "source",
        "stopping",
    )

    def __init__(
        self, entries: list[str], key: str, rate: float, seed: int
    ) -> None:
        """Start with nothing asked."""
        self.entries = entries
        self.key = key
        self.rate = rate
        self.source = random.Random(seed)
        self.booked: list[Booked] = []
        self.chatted: list[Chatted] = []
        self.stopping = threading.Event()
        self._count = itertools.count()
        self._lock = threading.Lock()

    def run(self) -> None:
        """Send requests, each from a thread of its own, until stopped."""
        threads = []
        while not self.stopping.wait(self.source.expovariate(self.rate)):
            index = next(self._count)
            work = self._book if self.source.random() < 0.5 else self._chat
            order = self.source.sample(self.entries, len(self.entries))
            thread = threading.Thread(target=work, args=(index, order))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _book(self, index: int, entries: list[str]) -> None:
        booked = Booked(f"slot-{index}")
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Idempotency-Key": f"key-{index}",
        }
        for entry in itertools.islice(itertools.cycle(entries), TRIES):
            url = f"{entry}/services/booking/slots/confirm"
            reply = call(
                "POST", url, {"slot": booked.slot}, headers, timeout_s=20
            )
            booked.answers.append(_answer_of(reply))
            if reply.status == 200 or booked.answers[-1] == "yes":
                break
            # The same key may be sent again where the answer says when.
            unknown = booked.answers[-1] == "unknown"
            if unknown and "retry-after" not in reply.headers:
                break
            time.sleep(PAUSE_S)
        with self._lock:
            self.booked.append(booked)

    def _chat(self, index: int, entries: list[str]) -> None:
        prompt = f"{'hard' if index % 5 == 0 else 'easy'} request {index}"
        model = "route-day" if index % 3 == 0 else "drafter"
        body = {
            "model": model,
            "stream": True,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": prompt}],
        }
        chatted = Chatted()
        for entry in itertools.islice(itertools.cycle(entries), TRIES):
            chatted.started = time.monotonic()
            reply = call(
                "POST",
                f"{entry}/v1/chat/completions",
                body,
                {"Authorization": f"Bearer {self.key}"},
                timeout_s=30,
            )
            _judge(chatted, reply, prompt)
            if chatted.verdict in ("whole", "wrong"):
                break
            time.sleep(PAUSE_S)
        with self._lock:
            self.chatted.append(chatted)


def _answer_of(reply: Reply) -> str:
    if reply.status == 200:
        return "200"
    try:
        return str(reply.json()["ran"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "none"


def _judge(chatted: Chatted, reply: Reply, prompt: str) -> None:
    """Say of one answer whether it is whole, or honest about not being so."""
    chatted.version = reply.headers.get("lacewingdock-version", "")
    chatted.request_id = reply.headers.get("lacewingdock-request-id", "")
    if reply.status != 200:
        chatted.verdict = "broken" if reply.status == 0 else "told"
        chatted.detail = f"{reply.status} {reply.error or reply.body[:200]!r}"
        return
    text = text_of(reply.body)
    weak = text.startswith(UNSURE)
    want = expected_words(chatted.version, prompt, TOKENS, weak)
    chatted.detail = f"{len(text)} of {len(want)} characters {reply.error}"
    if not want.startswith(text):
        chatted.verdict = "wrong"
        chatted.detail = f"got {text!r}, want {want!r}"
    elif text == want and DONE in reply.body:
        chatted.verdict = "whole"
    elif b"event: error" in reply.body:
        chatted.verdict = "told"
    elif reply.error:
        chatted.verdict = "broken"
    else:
        chatted.verdict = "wrong"
