"""Support for a stand-in of a model engine.

It streams chat completions at a set pace. What it writes depends only on the
request, so a caller can check that an answer is whole.
"""

import hashlib
import os
import secrets
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

import fire
import msgspec
from werkzeug.wrappers import Request, Response

from bench.http import call
from standins.http import App, json_response, serve

DEFAULT_TOKENS: Final = 16
# A request with this word in it ends the process that runs it.
CRASH_WORD: Final = "crash-the-upstream"
# Begins the line of the log that names such a request by its id.
CRASH_LINE: Final = "runs crashing request "
# A weak version is unsure of a request with this word in it.
HARD_WORD: Final = "hard"
UNSURE: Final = "unsure"
# How long a stream whose connection broke goes on.
LINGER_S: Final = 5.0
# What a test may change.
CONTROLS: Final = frozenset(
    {
        "bad",
        "checks_fencing",
        "crash_after_s",
        "cut_after",
        "first_s",
        "leaving",
        "resumable",
        "token_s",
        "versions",
        "weak",
        "weights",
    }
)
_STATES: Final = {"load": "loading", "unload": "unloaded", "role": "role"}


def expected_words(version: str, prompt: str, count: int, weak: bool) -> str:
    """Return the whole answer to a prompt."""
    first = UNSURE if weak and HARD_WORD in prompt else "sure"
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    words = [first, version, *(f"{digest}-{i}" for i in range(count - 2))]
    return " ".join(words[:count])


def prompt_of(messages: list[dict[str, Any]]) -> str:
    """Return the conversation as one text."""
    return "\n".join(str(m.get("content", "")) for m in messages)


@dataclass(slots=True)
class Stream:
    """An answer being generated, at its own pace whoever reads it.

    Attributes:
        version: The version that generates.
        prompt: What was asked.
        words: The whole answer.
        due: Monotonic time of the first word.
        stopped: Set when it shall generate no more.
        cut_at: Monotonic time when its connection broke; None while it
            stands.
    """

    version: str
    prompt: str
    words: list[str]
    due: float
    stopped: threading.Event = field(default_factory=threading.Event)
    cut_at: float | None = None


class EngineStandIn:
    """The engine's state.

    Attributes:
        versions: Versions loaded.
        weak: Versions that are unsure of hard requests.
        bad: Versions that answer every request with an error.
        token_s: Seconds between tokens.
        first_s: Seconds to the first token.
        served: Requests that reached the engine, by version.
        cancelled: Streams that were closed before their end.
        crash_after_s: Seconds that a crashing request runs before it ends the
            process.
        streams: What runs, by stream id.
        resumable: Whether a broken stream goes on and can be read again.
        cut_after: Events after which the next stream's connection breaks,
            once; 0 for never.
        leaving: Whether it says that it takes no new work.
        orders: Orders as they took effect, oldest first.
        weights: URL of the weight store; empty when loads need none.
        checks_fencing: Whether an order with an old number is refused.
        fencing: Highest fencing number seen.
        loading: Versions being loaded.
        role: The engine's role.
        incarnation: Unique to each start of the process.
    """

    __slots__ = (
        "bad",
        "cancelled",
        "checks_fencing",
        "crash_after_s",
        "cut_after",
        "fencing",
        "first_s",
        "incarnation",
        "leaving",
        "loading",
        "lock",
        "orders",
        "resumable",
        "role",
        "served",
        "streams",
        "token_s",
        "versions",
        "weak",
        "weights",
    )

    def __init__(
        self,
        versions: list[str],
        weak: list[str],
        first_s: float,
        token_s: float,
    ) -> None:
        """Start with versions loaded."""
        self.versions = versions
        self.weak = weak
        self.bad: list[str] = []
        self.first_s = first_s
        self.token_s = token_s
        self.served: dict[str, int] = {}
        self.cancelled = 0
        self.streams: dict[str, Stream] = {}
        self.resumable = True
        self.cut_after = 0
        self.crash_after_s = 0.0
        self.leaving = False
        self.orders: list[dict[str, Any]] = []
        self.weights = ""
        self.checks_fencing = False
        self.fencing = 0
        self.loading: list[str] = []
        self.role = "mixed"
        self.incarnation = secrets.token_hex(8)
        self.lock = threading.Lock()

    def chat(self, request: Request) -> Response:
        """Answer a chat completion."""
        body = msgspec.json.decode(request.get_data())
        version = body["model"]
        prompt = prompt_of(body["messages"])
        with self.lock:
            self.served[version] = self.served.get(version, 0) + 1
        if CRASH_WORD in prompt:
            self._crash(request)
        if version not in self.versions:
            return json_response({"error": f"{version} is not loaded"}, 404)
        if version in self.bad:
            return json_response({"error": "bad version"}, 500)
        count = int(body.get("max_tokens") or DEFAULT_TOKENS)
        text = expected_words(version, prompt, count, version in self.weak)
        stream = Stream(
            version, prompt, text.split(" "), time.monotonic() + self.first_s
        )
        name = request.headers.get("X-Stream-Id") or secrets.token_hex(8)
        with self.lock:
            self.streams[name] = stream
        return self._response(name, stream, 0)

    def _crash(self, request: Request) -> None:
        """End the process; its log tells whose request began to run here."""
        print(f"{CRASH_LINE}{request.headers.get('X-Request-Id')}", flush=True)
        time.sleep(self.crash_after_s)
        os._exit(139)

    def resume(self, request: Request, name: str) -> Response:
        """Answer with the rest of a stream whose connection broke."""
        stream = self.running().get(name)
        if stream is None or not self.resumable:
            return json_response({"error": "no such stream"}, 404)
        stream.cut_at = None
        return self._response(name, stream, int(request.args.get("after", 0)))

    def cancel(self, request: Request, name: str) -> Response:
        """Stop a stream."""
        stream = self.running().get(name)
        if stream is None:
            return json_response({"error": "no such stream"}, 404)
        stream.stopped.set()
        self._close(name)
        return json_response({})

    def running(self) -> dict[str, Stream]:
        """Return what runs; a broken stream ends if nobody resumes it."""
        now = time.monotonic()
        with self.lock:
            self.streams = {
                name: stream
                for name, stream in self.streams.items()
                if stream.cut_at is None or now - stream.cut_at < LINGER_S
            }
            return dict(self.streams)

    def _response(self, name: str, stream: Stream, after: int) -> Response:
        response = Response(
            self._events(name, stream, after),
            content_type="text/event-stream",
        )
        response.headers["X-Stream-Resume"] = "yes" if self.resumable else "no"
        return response

    def _events(self, name: str, stream: Stream, after: int) -> Iterator[bytes]:
        cut, self.cut_after = self.cut_after, 0
        whole = False
        try:
            for index in range(after, len(stream.words)):
                due = stream.due + index * self.token_s
                if stream.stopped.wait(max(0.0, due - time.monotonic())):
                    return
                if cut and index - after >= cut:
                    raise ConnectionAbortedError("cut by the test")
                word = stream.words[index]
                delta = {"content": word if index == 0 else f" {word}"}
                yield _event(stream.version, {"delta": delta, "index": 0})
            if after <= len(stream.words):
                yield _last_event(stream)
            yield b"data: [DONE]\n\n"
            whole = True
        finally:
            if whole:
                with self.lock:
                    self.streams.pop(name, None)
            elif self.resumable and not stream.stopped.is_set():
                stream.cut_at = time.monotonic()
            else:
                self._close(name)

    def _close(self, name: str) -> None:
        with self.lock:
            self.cancelled += self.streams.pop(name, None) is not None

    def status(self, request: Request) -> Response:
        """Answer with what is loaded and running."""
        return json_response(
            {
                "versions": self.versions,
                "running": len(self.running()),
                "leaving": self.leaving,
                "served": self.served,
                "cancelled": self.cancelled,
                "orders": self.orders,
                "loading": self.loading,
                "role": self.role,
                "incarnation": self.incarnation,
            }
        )

    def order(self, request: Request) -> Response:
        """Take an order: load, unload or role."""
        order = msgspec.json.decode(request.get_data())
        with self.lock:
            if self.checks_fencing and order["fencing"] < self.fencing:
                return json_response({"error": "old fencing number"}, 409)
            self.fencing = max(self.fencing, order["fencing"])
            return json_response({"state": self._carry_out(order)})

    def _carry_out(self, order: dict[str, Any]) -> str:
        version = order["version"]
        match order["action"]:
            case "load" if version in self.versions:
                return "loaded"
            case "load" if version not in self.loading:
                self.loading.append(version)
                threading.Thread(
                    target=self._load, args=[version], daemon=True
                ).start()
            case "load":
                return "loading"
            case "unload":
                self.versions = [v for v in self.versions if v != version]
            case "role":
                self.role = order["role"]
        self.orders.append(order)
        return _STATES[order["action"]]

    def _load(self, version: str) -> None:
        """Fetch a version's weights; the store may refuse for now."""
        url = f"{self.weights}/weights/{version}"
        fetched = not self.weights or call("GET", url).status == 200
        with self.lock:
            self.loading.remove(version)
            if fetched and version not in self.versions:
                self.versions = [*self.versions, version]

    def control(self, request: Request) -> Response:
        """Take a new state (from tests)."""
        change = msgspec.json.decode(request.get_data())
        for name in CONTROLS & change.keys():
            setattr(self, name, change[name])
        return json_response({})


def _event(
    version: str, choice: dict[str, Any], usage: Any | None = None
) -> bytes:
    event = {
        "id": "chatcmpl-standin",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": version,
        "choices": [choice],
    }
    if usage is not None:
        event["usage"] = usage
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def _last_event(stream: Stream) -> bytes:
    read, made = len(stream.prompt.split()), len(stream.words)
    usage = {
        "prompt_tokens": read,
        "completion_tokens": made,
        "total_tokens": read + made,
    }
    end = {"delta": {}, "index": 0, "finish_reason": "stop"}
    return _event(stream.version, end, usage)


def main(
    port: int,
    versions: str,
    weak: str = "",
    first_s: float = 0.03,
    token_s: float = 0.005,
    weights: str = "",
    checks_fencing: bool = False,
) -> None:
    """Serve the engine's stand-in on loopback.

    Args:
        port: Port to listen on.
        versions: Versions loaded, separated by commas.
        weak: Versions that are unsure of hard requests.
        first_s: Seconds to the first token.
        token_s: Seconds between tokens.
        weights: URL of the weight store; empty when loads need none.
        checks_fencing: Whether orders with an old number are refused.
    """
    engine = EngineStandIn(_split(versions), _split(weak), first_s, token_s)
    engine.weights, engine.checks_fencing = weights, checks_fencing
    app = App()
    app.route("POST", "/v1/chat/completions", engine.chat)
    app.route("GET", "/v1/streams/<name>", engine.resume)
    app.route("DELETE", "/v1/streams/<name>", engine.cancel)
    app.route("GET", "/status", engine.status)
    app.route("POST", "/control", engine.control)
    app.route("POST", "/orders", engine.order)
    serve(app, port)


def _split(names: Any) -> list[str]:
    if isinstance(names, tuple | list):
        return [str(name) for name in names]
    return [name for name in str(names).split(",") if name]


if __name__ == "__main__":
    fire.Fire(main)
