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
CRASH_DELAY_S = 0.06
SLOTS = 4
# Events of a harmless answer, and the pause between two.
EVENTS = 4
PAUSE_S = 0.03


@dataclass(frozen=True)
class CrashMode:
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
class EngineRun:
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

    def __init__(self, count, crash_mode, write, remove):
        self.crash_mode = crash_mode
        self.write = write
        self.remove = remove
        self.ended = []
        self.runs = {}
        self.ids = itertools.count(1)
        self.closed = threading.Event()
        self.errors = itertools.count(1)
        for _ in range(count):
            listener = socket.create_server(("127.0.0.1", 0))
            port = listener.getsockname()[1]
            _start(self._run_engine, listener, port)

    def close(self):
        self.closed.set()

    def end(self, count):
        """End some engines at once, as a loss of power of their hosts does."""
        alive = [one for one in self.runs.values() if not one.ended.is_set()]
        for run in alive[:count]:
            self._end(run)

    def reset(self):
        """Reset the connections of all, which live on."""
        for run in self.runs.values():
            for sock in list(run.open):
                _reset(sock)

    def _run_engine(self, listener, port):
        """Live again and again at one address."""
        while not self.closed.is_set():
            run = EngineRun(f"i-{next(self.ids)}")
            self.runs[port] = run
            self.write(run.name, port)
            self._accept(run, listener)
            listener.close()
            if self.crash_mode.stale_s is not None:
                _later(self.crash_mode.stale_s, self.remove, run.name)
            if self.closed.wait(self.crash_mode.back_s):
                return
            listener = _listen(port)

    def _accept(self, run, listener):
        listener.settimeout(0.02)
        until = None
        while not self.closed.is_set():
            if until is None and run.ended.is_set():
                until = time.monotonic() + self.crash_mode.port_s
            if until is not None and time.monotonic() >= until:
                return
            try:
                sock, _ = listener.accept()
            except TimeoutError:
                continue
            if run.ended.is_set():
                _later(self.crash_mode.hangs_s, _reset, sock)
            else:
                run.open.add(sock)
                _start(self._serve, run, sock)

    def _serve(self, run, sock):
        with contextlib.suppress(OSError), sock:
            while (found := read_request(sock)) is not None:
                _, headers, body = found
                if run.ended.is_set():
                    return
                self._answer(run, sock, headers, body)

    def _answer(self, run, sock, headers, body):
        call_id = headers.get(b"attempt-id", b"")
        named = headers.get(b"expect-instance", run.name.encode())
        instance_header = b"Instance-Id: " + run.name.encode() + b"\r\n"
        if named != run.name.encode():
            extra = b"Not-Executed: 1\r\n" + instance_header
            status = b"421 Misdirected"
            sock.sendall(ok(call_id, b"another", extra, status))
            return
        if not call_id:
            sock.sendall(ok(b"", b"well", instance_header))
            return
        with run.slots:
            if run.ended.is_set():
                return
            if body != BAD:
                _stream(sock, call_id)
            elif self.crash_mode.error_in and not (
                next(self.errors) % self.crash_mode.error_in
            ):
                sock.sendall(ok(call_id, b"failed", b"", b"500 Error"))
            else:
                self._crash(run, sock, call_id)

    def _crash(self, run, sock, call_id):
        first = _FIRST[self.crash_mode.first](call_id)
        if first:
            sock.sendall(first)
        time.sleep(CRASH_DELAY_S)
        if run.ended.is_set():
            return
        self.ended.append((time.monotonic(), call_id.decode()))
        self._end(run)

    def _end(self, run):
        run.ended.set()
        for one in list(run.open):
            if self.crash_mode.soft or self.crash_mode.first == "bare head":
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
