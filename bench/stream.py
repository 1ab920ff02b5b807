"""Support for a caller that reads one streamed answer in the background."""

import socket
import threading
import time
from typing import Any

import msgspec

from bench.http import Reply, call

CHAT_PATH = "/v1/chat/completions"
WAIT_S = 30.0


class Stream:
    """A streamed chat completion, as its caller sees it.

    Attributes:
        reply: The whole reply, once it ended.
        parts: What came, piece by piece.
        times: Monotonic time of each piece.
    """

    def __init__(
        self,
        entry: str,
        key: str,
        prompt: str,
        tokens: int,
        model: str = "drafter",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send the request."""
        self.reply = Reply()
        self.parts: list[bytes] = []
        self.times: list[float] = []
        self._socket: socket.socket | None = None
        self._came = threading.Condition()
        body = {
            "model": model,
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        sent = {"Authorization": f"Bearer {key}", **(headers or {})}
        self._task = threading.Thread(
            target=self._run, args=(entry + CHAT_PATH, body, sent), daemon=True
        )
        self._task.start()

    def _run(self, url: str, body: Any, headers: dict[str, str]) -> None:
        self.reply = call(
            "POST",
            url,
            body,
            headers,
            on_data=self._take,
            on_socket=self._keep_socket,
        )

    def _keep_socket(self, sock: socket.socket) -> None:
        self._socket = sock

    def _take(self, data: bytes) -> None:
        with self._came:
            self.parts.append(data)
            self.times.append(time.monotonic())
            self._came.notify_all()

    def wait_parts(self, count: int) -> None:
        """Wait for some pieces.

        Raises:
            RuntimeError: They did not come.
        """
        with self._came:
            if not self._came.wait_for(
                lambda: len(self.parts) >= count, WAIT_S
            ):
                raise RuntimeError(f"{len(self.parts)} of {count} pieces came")

    def leave(self) -> None:
        """Close the connection, as a caller that goes away does."""
        assert self._socket is not None
        self._socket.shutdown(socket.SHUT_RDWR)

    def join(self) -> Reply:
        """Wait for the end and return the reply."""
        self._task.join(WAIT_S)
        return self.reply

    def last_id(self) -> str:
        """Return the id of the last whole event that came."""
        whole = b"".join(self.parts).rpartition(b"\n\n")[0]
        ids = [n[4:] for n in whole.splitlines() if n.startswith(b"id: ")]
        return ids[-1].decode() if ids else ""

    def words(self) -> str:
        """Return the text of the whole events that came."""
        whole = b"".join(self.parts).rpartition(b"\n\n")[0]
        text = ""
        for line in whole.splitlines():
            if line.startswith(b"data: {") and b'"choices"' in line:
                for choice in msgspec.json.decode(line[6:])["choices"]:
                    text += choice["delta"].get("content", "")
        return text

    def is_done(self) -> bool:
        """Tell whether the answer says that it is whole."""
        return b"".join(self.parts).endswith(b"data: [DONE]\n\n")

    def error(self) -> dict[str, Any]:
        """Return the problem that ended the answer; empty for none."""
        for event in b"".join(self.parts).split(b"\n\n"):
            if event.startswith(b"event: error\ndata: "):
                problem: dict[str, Any] = msgspec.json.decode(event[19:])
                return problem
        if self.reply.status not in (0, 200):
            return dict(self.reply.json())
        return {}
