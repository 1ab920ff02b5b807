"""Engines that one request ends, and that come back at their addresses."""

import contextlib
import itertools
import socket
import threading
import time
from dataclasses import dataclass, field

from tests.components.gateway.fakes import (
    END,
    LINGER_NONE,
    event,
    ok,
    read_request,
    stream_head,
)

# The body of the request that ends what runs it.
BAD = b"ends what runs it"
# How long it runs before.
RUNS_S = 0.06
SLOTS = 4
# Events of a harmless answer, and the pause between two.
EVENTS = 4
PAUSE_S = 0.03


@dataclass(frozen=True)
class Form:
    """What the end of an engine looks like from outside.

    Attributes:
        first: What it answers before: "", "head", "unsure" (a head with a low
            confidence), "event", or "bare head" (one without a length).
        soft: Whether connections are closed, else they are reset.
        port_s: For how long its port stays open.
        hangs_s: For how long a connection to such a port stays open unread.
        back_s: After how long its address answers under another id.
        stale_s: After how long its entry is removed; None for never.
        error_in: Of so many requests one is answered 500 instead of its end; 0
            for none.
    """

    first: str = ""
    soft: bool = False
    port_s: float = 0.0
    hangs_s: float = 0.0
    back_s: float = 1.5
    stale_s: float | None = 3.0
    error_in: int = 0


@dataclass
class Life:
    """One start of an engine.

    Attributes:
        name: Its id.
        ended: Set when it ends.
        open: Its connections.
        slots: Its free slots.
    """

    name: str
    ended: threading.Event = field(default_factory=threading.Event)
    open: set = field(default_factory=set)
    slots: threading.Semaphore = field(
        default_factory=lambda: threading.Semaphore(SLOTS)
    )


class Engines:
    """Engines that crash, and the list of them.

    Attributes:
        form: What their ends look like.
        write: Writes an entry, by id and port.
        remove: Removes one, by id.
        ended: (monotonic time, id of the request) of each crash.
        lives: The present start by port.
        ids: Numbers of their starts.
        closed: Set at the end.
    """

    def __init__(self, count, form, write, remove):
        self.form = form
        self.write = write
        self.remove = remove
        self.ended = []
        self.lives = {}
        self.ids = itertools.count(1)
        self.closed = threading.Event()
        self.errors = itertools.count(1)
        for _ in range(count):
            listener = socket.create_server(("127.0.0.1", 0))
            port = listener.getsockname()[1]
            _start(self._live, listener, port)

    def close(self):
        self.closed.set()

    def end(self, count):
        """End some engines at once, as a loss of power of their hosts does."""
        alive = [one for one in self.lives.values() if not one.ended.is_set()]
        for life in alive[:count]:
            self._end(life)

    def reset(self):
        """Reset the connections of all, which live on."""
        for life in self.lives.values():
            for sock in list(life.open):
                _reset(sock)

    def _live(self, listener, port):
        """Live again and again at one address."""
        while not self.closed.is_set():
            life = Life(f"i-{next(self.ids)}")
            self.lives[port] = life
            self.write(life.name, port)
            self._accept(life, listener)
            listener.close()
            if self.form.stale_s is not None:
                _later(self.form.stale_s, self.remove, life.name)
            if self.closed.wait(self.form.back_s):
                return
            listener = _listen(port)

    def _accept(self, life, listener):
        listener.settimeout(0.02)
        until = None
        while not self.closed.is_set():
            if until is None and life.ended.is_set():
                until = time.monotonic() + self.form.port_s
            if until is not None and time.monotonic() >= until:
                return
            try:
                sock, _ = listener.accept()
            except TimeoutError:
                continue
            if life.ended.is_set():
                _later(self.form.hangs_s, _reset, sock)
            else:
                life.open.add(sock)
                _start(self._serve, life, sock)

    def _serve(self, life, sock):
        with contextlib.suppress(OSError), sock:
            while (found := read_request(sock)) is not None:
                _, headers, body = found
                if life.ended.is_set():
                    return
                self._answer(life, sock, headers, body)

    def _answer(self, life, sock, headers, body):
        call_id = headers.get(b"attempt-id", b"")
        named = headers.get(b"expect-instance", life.name.encode())
        own_id = b"Instance-Id: " + life.name.encode() + b"\r\n"
        if named != life.name.encode():
            extra = b"Not-Executed: 1\r\n" + own_id
            status = b"421 Misdirected"
            sock.sendall(ok(call_id, b"another", extra, status))
            return
        if not call_id:
            sock.sendall(ok(b"", b"well", own_id))
            return
        with life.slots:
            if life.ended.is_set():
                return
            if body != BAD:
                _stream(sock, call_id)
            elif self.form.error_in and not (
                next(self.errors) % self.form.error_in
            ):
                sock.sendall(ok(call_id, b"failed", b"", b"500 Error"))
            else:
                self._crash(life, sock, call_id)

    def _crash(self, life, sock, call_id):
        first = _FIRST[self.form.first](call_id)
        if first:
            sock.sendall(first)
        time.sleep(RUNS_S)
        if life.ended.is_set():
            return
        self.ended.append((time.monotonic(), call_id.decode()))
        self._end(life)

    def _end(self, life):
        life.ended.set()
        for one in list(life.open):
            if self.form.soft or self.form.first == "bare head":
                with contextlib.suppress(OSError):
                    one.shutdown(socket.SHUT_RDWR)
            else:
                _reset(one)


_FIRST = {
    "": lambda _: b"",
    "head": stream_head,
    "unsure": lambda i: stream_head(i, b"Confidence: 1\r\n"),
    "event": lambda i: stream_head(i) + event(1),
    "bare head": lambda i: stream_head(i, b"Connection: close\r\n", b""),
}


def _stream(sock, call_id):
    sock.sendall(stream_head(call_id))
    for number in range(1, EVENTS + 1):
        time.sleep(PAUSE_S)
        sock.sendall(event(number))
    sock.sendall(END)


def _reset(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        # A task that reads from it holds it open until it is woken.
        sock.shutdown(socket.SHUT_RD)
        sock.close()


def _listen(port):
    while True:
        try:
            return socket.create_server(("127.0.0.1", port))
        except OSError:
            time.sleep(0.02)


def _start(function, *arguments):
    threading.Thread(target=function, args=arguments, daemon=True).start()


def _later(delay_s, function, *arguments):
    timer = threading.Timer(delay_s, function, arguments)
    timer.daemon = True
    timer.start()
