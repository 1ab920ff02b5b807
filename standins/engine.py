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
from typing import Any, Final

import fire
import msgspec
from werkzeug.wrappers import Request, Response

from standins.http import App, json_response, serve

DEFAULT_TOKENS: Final = 16
# A request with this word in it ends the process that runs it.
CRASH_WORD: Final = "crash-the-upstream"
# A weak version is unsure of a request with this word in it.
HARD_WORD: Final = "hard"
UNSURE: Final = "unsure"


def expected_words(version: str, prompt: str, count: int, weak: bool) -> str:
    """Return the whole answer to a prompt."""
    first = UNSURE if weak and HARD_WORD in prompt else "sure"
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    words = [first, version, *(f"{digest}-{i}" for i in range(count - 2))]
    return " ".join(words[:count])


def prompt_of(messages: list[dict[str, Any]]) -> str:
    """Return the conversation as one text."""
    return "\n".join(str(m.get("content", "")) for m in messages)


class EngineStandIn:
    """The engine's state.

    Attributes:
        versions: Versions loaded.
        weak: Versions that are unsure of hard requests.
        bad: Versions that answer every request with an error.
        token_s: Seconds between tokens.
        first_s: Seconds to the first token.
        running: Requests running.
        served: Requests that reached the engine, by version.
        cancelled: Streams that were closed before their end.
        incarnation: Unique to each start of the process.
    """

    __slots__ = (
        "bad",
        "cancelled",
        "first_s",
        "incarnation",
        "lock",
        "running",
        "served",
        "token_s",
        "versions",
        "weak",
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
        self.running = 0
        self.served: dict[str, int] = {}
        self.cancelled = 0
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
            os._exit(139)
        if version not in self.versions:
            return json_response({"error": f"{version} is not loaded"}, 404)
        if version in self.bad:
            return json_response({"error": "bad version"}, 500)
        count = int(body.get("max_tokens") or DEFAULT_TOKENS)
        text = expected_words(version, prompt, count, version in self.weak)
        return Response(
            self._events(version, prompt, text),
            content_type="text/event-stream",
        )

    def _events(self, version: str, prompt: str, text: str) -> Iterator[bytes]:
        with self.lock:
            self.running += 1
        whole = False
        try:
            words = text.split(" ")
            due = time.monotonic() + self.first_s
            for index, word in enumerate(words):
                time.sleep(max(0.0, due - time.monotonic()))
                due += self.token_s
                delta = {"content": word if index == 0 else f" {word}"}
                yield _event(version, {"delta": delta, "index": 0})
            usage = {
                "prompt_tokens": len(prompt.split()),
                "completion_tokens": len(words),
                "total_tokens": len(prompt.split()) + len(words),
            }
            end = {"delta": {}, "index": 0, "finish_reason": "stop"}
            yield _event(version, end, usage) + b"data: [DONE]\n\n"
            whole = True
        finally:
            with self.lock:
                self.running -= 1
                self.cancelled += not whole

    def status(self, request: Request) -> Response:
        """Answer with what is loaded and running."""
        return json_response(
            {
                "versions": self.versions,
                "running": self.running,
                "served": self.served,
                "cancelled": self.cancelled,
                "incarnation": self.incarnation,
            }
        )

    def control(self, request: Request) -> Response:
        """Take a new state (from tests)."""
        change = msgspec.json.decode(request.get_data())
        for name in ("versions", "weak", "bad", "first_s", "token_s"):
            if name in change:
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


def main(
    port: int,
    versions: str,
    weak: str = "",
    first_s: float = 0.03,
    token_s: float = 0.005,
) -> None:
    """Serve the engine's stand-in on loopback.

    Args:
        port: Port to listen on.
        versions: Versions loaded, separated by commas.
        weak: Versions that are unsure of hard requests.
        first_s: Seconds to the first token.
        token_s: Seconds between tokens.
    """
    engine = EngineStandIn(_split(versions), _split(weak), first_s, token_s)
    app = App()
    app.route("POST", "/v1/chat/completions", engine.chat)
    app.route("GET", "/status", engine.status)
    app.route("POST", "/control", engine.control)
    serve(app, port)


def _split(names: Any) -> list[str]:
    if isinstance(names, tuple | list):
        return [str(name) for name in names]
    return [name for name in str(names).split(",") if name]


if __name__ == "__main__":
    fire.Fire(main)
