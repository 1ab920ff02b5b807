"""Support for callers that stream, as a process of its own.

The callers of one run are spread over several of these, so that what is
measured is the path and not one interpreter full of callers.
"""

import sys
import threading
import time
from dataclasses import dataclass, field
from typing import Final

import msgspec

from bench.http import call

EVENT: Final = b"data: {"
SPREAD_S: Final = 1.0
TIMEOUT_S: Final = 120.0


@dataclass(slots=True)
class Order:
    """What one process of callers shall do.

    Attributes:
        urls: Where to; callers go round them.
        model: Model asked for.
        key: The workspace key.
        streams: Callers at once, one request each.
        tokens: Tokens of each answer.
    """

    urls: list[str]
    model: str
    key: str
    streams: int
    tokens: int


@dataclass(slots=True)
class Stream:
    """What one caller saw.

    Attributes:
        status: HTTP status.
        events: Events with a token.
        first_s: Seconds to the first one.
        whole_s: Seconds to the end.
        gaps_s: Seconds between events; those that came together have 0.
    """

    status: int = 0
    events: int = 0
    first_s: float = 0.0
    whole_s: float = 0.0
    gaps_s: list[float] = field(default_factory=list)


def stream_once(
    url: str, model: str, key: str, prompt: str, tokens: int
) -> Stream:
    """Make one streamed request."""
    body = {
        "model": model,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    seen = Stream()
    start = last = time.monotonic()

    def take(data: bytes) -> None:
        nonlocal last
        count = data.count(EVENT)
        if not count:
            return
        now = time.monotonic()
        if seen.events:
            seen.gaps_s.append(now - last)
        else:
            seen.first_s = now - start
        seen.gaps_s += [0.0] * (count - 1)
        seen.events += count
        last = now

    headers = {"Authorization": f"Bearer {key}"}
    url = f"{url}/v1/chat/completions"
    reply = call("POST", url, body, headers, TIMEOUT_S, take)
    seen.status = reply.status
    seen.whole_s = time.monotonic() - start
    return seen


def run_order(order: Order) -> list[Stream]:
    """Run all callers of an order; their starts are spread."""
    seen: list[Stream] = []

    def one(index: int) -> None:
        time.sleep(SPREAD_S * index / order.streams)
        url = order.urls[index % len(order.urls)]
        prompt = f"easy stream {index}"
        seen.append(
            stream_once(url, order.model, order.key, prompt, order.tokens)
        )

    threads = [
        threading.Thread(target=one, args=(i,)) for i in range(order.streams)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return seen


def main() -> None:
    """Read an order from standard input; write what the callers saw."""
    order = msgspec.json.decode(sys.stdin.buffer.read(), type=Order)
    sys.stdout.buffer.write(msgspec.json.encode(run_order(order)))


if __name__ == "__main__":
    main()
