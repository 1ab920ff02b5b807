"""Engines and callers for routers that get uneven shares of connections."""

import asyncio
import contextlib
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from tests.components.gateway.fakes import END, event, ok, request, stream_head

# Longest pause of a stream after which callers give up, in seconds.
ABANDON_S: Final = 2.0
# Time limit of an answer that is not a stream, in seconds.
PLAIN_S: Final = 1.5
# Tries of one request, each on a new connection to another router.
TRIES: Final = 3
CONNECT_S: Final = 1.0


@dataclass(frozen=True)
class Work:
    """What requests ask for.

    Attributes:
        events: Events of the answer; 0 for a plain answer.
        pause_s: Seconds between events, or to the plain answer.
        body_bytes: Size of the request's body.
    """

    events: int = 20
    pause_s: float = 0.04
    body_bytes: int = 2000


class Engine:
    """An engine that answers every request after its time.

    Attributes:
        work: What requests ask for.
        port: The listening port.
    """

    def __init__(self, work):
        self.work = work
        self.port = 0

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = _headers(head)
                await reader.readexactly(int(headers.get(b"content-length", 0)))
                await self._answer(writer, headers.get(b"attempt-id", b""))
        writer.close()

    async def _answer(self, writer, call_id):
        if not call_id or not self.work.events:
            await asyncio.sleep(self.work.pause_s if call_id else 0)
            writer.write(ok(call_id))
            return
        writer.write(stream_head(call_id))
        loop = asyncio.get_running_loop()
        due = loop.time()
        for number in range(1, self.work.events + 1):
            due += self.work.pause_s
            await asyncio.sleep(due - loop.time())
            writer.write(event(number))
            await writer.drain()
        writer.write(END)


@dataclass
class Sent:
    """What became of one request.

    Attributes:
        at: Monotonic time at which it was sent first.
        unread: Tries whose connections were refused or closed without a byte.
        read_by: Number of the router that answered first, or was silent.
        end: "served", "refused", "broken", "silent" or "unread".
    """

    at: float
    unread: int = 0
    read_by: int = -1
    end: str = "unread"


@dataclass
class Callers:
    """Callers that send requests at a fixed rate, each on a new connection.

    Attributes:
        work: What requests ask for.
        addresses: Addresses of the routers.
        path: Path of the requests.
        sent: All requests so far.
        source: Random source for the choice of the routers that are tried next.
    """

    work: Work
    addresses: list
    path: str
    sent: list = field(default_factory=list)
    source: random.Random = field(default_factory=lambda: random.Random(7))

    async def run(self, per_s, seconds, choose: Callable[[int], int]):
        """Send requests for a while, and wait for their ends.

        Args:
            per_s: Requests a second.
            seconds: For how long.
            choose: Returns the first router of a request by its number.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks = []
        for number in range(int(per_s * seconds)):
            await asyncio.sleep(start + number / per_s - loop.time())
            tasks.append(loop.create_task(self._send(choose(number))))
        return tasks

    async def _send(self, router):
        sent = Sent(time.monotonic())
        self.sent.append(sent)
        others = [n for n in range(len(self.addresses)) if n != router]
        self.source.shuffle(others)
        for chosen in [router, *others][:TRIES]:
            sent.end = await self._try(self.addresses[chosen])
            if sent.end != "unread":
                sent.read_by = chosen
                return
            sent.unread += 1

    async def _try(self, address):
        writer = None
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(*address)
        except (OSError, TimeoutError):
            return "unread"
        try:
            writer.write(
                request(
                    f"c-{next(_ids)}",
                    path=self.path,
                    body=bytes(self.work.body_bytes),
                    deadline_ms=20_000 if self.work.events else 1500,
                )
            )
            return await self._read(reader)
        finally:
            writer.close()

    async def _read(self, reader):
        began = False
        limit_s = ABANDON_S if self.work.events else PLAIN_S
        data = b""
        try:
            while not data.endswith(END if self.work.events else b"done"):
                async with asyncio.timeout(limit_s):
                    more = await reader.read(65536)
                if not more:
                    return "broken" if began else "unread"
                if not began and not more.startswith(b"HTTP/1.1 200"):
                    return "refused"
                began = True
                data = (data + more)[-16:]
        except TimeoutError:
            return "silent"
        except OSError:
            return "broken" if began else "unread"
        return "served"


def ends(sent):
    """Return how often requests ended in each way."""
    return Counter(one.end for one in sent)


def served_ratio(sent):
    """Return the share of requests served at the first try that was read."""
    return ends(sent)["served"] / max(len(sent), 1)


_ids = itertools.count(1)


def _headers(head):
    return dict(
        line.lower().split(b": ", 1)
        for line in head.split(b"\r\n")[1:]
        if b": " in line
    )
