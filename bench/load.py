"""Support for a mixed load, checked answer by answer as callers see it."""

import itertools
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from bench.http import Reply, call
from standins.engine import UNSURE, expected_words

DONE: Final = b"data: [DONE]"


@dataclass(slots=True)
class Outcome:
    """What a caller got.

    Attributes:
        kind: "chat", "cascade" or "booking".
        status: HTTP status; 0 for none.
        code: The error's code; empty for a whole answer.
        ran: What a refusal said of having run.
        whole: Whether the answer is the whole right one.
        version: Version that answered.
        started: Monotonic time of the request.
        first_s: Seconds to the first token; None when not streamed.
        gaps_s: Seconds between tokens.
        slot: Slot asked for, of a booking.
        tokens: Tokens generated.
    """

    kind: str
    status: int
    code: str = ""
    ran: str = ""
    whole: bool = False
    version: str = ""
    started: float = 0.0
    first_s: float | None = None
    gaps_s: list[float] = field(default_factory=list)
    slot: str = ""
    tokens: int = 0


@dataclass(slots=True)
class Load:
    """A mixed load on some entries.

    Attributes:
        entries: URLs of the entries.
        key: The workspace key.
        rate: Requests a second.
        seconds: How long it lasts.
        seed: Seed of the mix.
        tokens: Tokens of each answer.
        outcomes: What the callers got.
        stop: Set to send no more; what was sent is answered.
        kinds: Kinds of requests, each as often as it is named.
    """

    entries: list[str]
    key: str
    rate: float
    seconds: float
    seed: int = 1
    tokens: int = 12
    outcomes: list[Outcome] = field(default_factory=list)
    stop: threading.Event = field(default_factory=threading.Event)
    kinds: list[str] = field(
        default_factory=lambda: [
            "chat",
            "chat",
            "cascade",
            "booking",
            "booking",
        ]
    )

    def run(self, threads: int = 64) -> list[Outcome]:
        """Send the load at its pace and return every outcome."""
        source = random.Random(self.seed)
        lock = threading.Lock()

        def one(index: int, kind: str, entry: str) -> None:
            outcome = self.request(index, kind, entry)
            with lock:
                self.outcomes.append(outcome)

        start = time.monotonic()
        with ThreadPoolExecutor(threads) as pool:
            for index in range(int(self.rate * self.seconds)):
                due = start + index / self.rate
                if self.stop.wait(max(0.0, due - time.monotonic())):
                    break
                kind = source.choice(self.kinds)
                pool.submit(one, index, kind, source.choice(self.entries))
        return self.outcomes

    def request(self, index: int, kind: str, entry: str) -> Outcome:
        """Send one request and check its answer."""
        if kind == "booking":
            return self._book(index, entry)
        return self._chat(index, kind, entry)

    def _headers(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self.key}"}

    def _book(self, index: int, entry: str) -> Outcome:
        slot = f"slot-{self.seed}-{index}"
        headers = {**self._headers(), "Idempotency-Key": f"key-{slot}"}
        url = f"{entry}/services/booking/slots/confirm"
        outcome = Outcome("booking", 0, started=time.monotonic(), slot=slot)
        # A refusal that says "not run" is followed; some shoppers also
        # press the button twice.
        for _ in range(20):
            reply = call("POST", url, {"slot": slot}, headers)
            _take_status(outcome, reply)
            if outcome.status == 200 or outcome.ran != "no":
                break
            time.sleep(0.1)
        if index % 3 == 0:
            call("POST", url, {"slot": slot}, headers)
        outcome.whole = outcome.status == 200 and reply.json()["slot"] == slot
        return outcome

    def _chat(self, index: int, kind: str, entry: str) -> Outcome:
        prompt = f"{'hard' if index % 4 == 0 else 'easy'} request {index}"
        body = {
            "model": "route-day" if kind == "cascade" else "drafter",
            "stream": True,
            "max_tokens": self.tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        outcome = Outcome(kind, 0, started=time.monotonic())
        times: list[float] = []
        reply = call(
            "POST",
            f"{entry}/v1/chat/completions",
            body,
            self._headers(),
            on_data=lambda _: times.append(time.monotonic()),
        )
        _take_status(outcome, reply)
        outcome.version = reply.headers.get("lacewingdock-version", "")
        if times:
            outcome.first_s = times[0] - outcome.started
            outcome.gaps_s = [b - a for a, b in itertools.pairwise(times)]
        text = text_of(reply.body)
        outcome.tokens = len(text.split())
        weak = text.startswith(UNSURE)
        want = expected_words(outcome.version, prompt, self.tokens, weak)
        outcome.whole = DONE in reply.body and text == want
        return outcome


def text_of(body: bytes) -> str:
    """Return the text of a streamed answer."""
    text = ""
    for line in body.splitlines():
        if not line.startswith(b"data: {"):
            continue
        event: Any = msgspec.json.decode(line[6:])
        for choice in event.get("choices") or ():
            text += choice["delta"].get("content", "")
    return text


def _take_status(outcome: Outcome, reply: Reply) -> None:
    outcome.status = reply.status
    outcome.code, outcome.ran = "", ""
    if reply.status != 200:
        try:
            problem = reply.json()
            outcome.code, outcome.ran = problem["code"], problem["ran"]
        except (msgspec.DecodeError, KeyError, TypeError):
            outcome.code, outcome.ran = reply.error or "no answer", "unknown"
