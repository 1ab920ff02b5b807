"""Fake engines that a poison request crashes and that restart in place."""

import contextlib
import itertools
import socket
import threading
import time
from dataclasses import dataclass, field

from lacewingdock.exceptions import LacewingdockError
from tests.components.gateway.fakes import (
    END,
    LINGER_NONE,
    event,
    ok,
    read_request,
    stream_head,
)

# Body of the request that crashes the engine that runs it.
BAD = b"ends what runs it"
# Prompt part of the requests that crash the engine that runs them.
BAD_PART = b"bad0bad0"
# Seconds for which the request runs before the crash.
CRASH_DELAY_S = 0.06
SLOTS = 4
# Number of events of a harmless answer, and seconds between two of them.
EVENTS = 4
PAUSE_S = 0.03


@dataclass(frozen=True)
class CrashMode:
    """How the crash of an engine appears to its clients.

    Attributes:
        first: Answer before the crash: "", "head", "unsure" (a head with a low
            confidence), "event", "bare head" (a head without a length), or
            "bare event" (the same with an event after it).
        soft: Whether connections are closed; otherwise they are reset.
        port_s: Seconds for which the port stays open after the crash.
        hangs_s: Seconds for which a connection to that port stays open unread.
        back_s: Seconds until the address answers under another instance id.
        stale_s: Seconds until the engine's entry is removed; None for never.
        error_in: One in this many bad requests is answered with status 500
            instead of a crash; 0 for none.
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
    """One run of an engine, from its start to its crash.

    Attributes:
        name: Instance id of this run.
        ended: Set when the engine crashes.
        open: Open connections.
        slots: Free slots.
    """

    name: str
    ended: threading.Event = field(default_factory=threading.Event)
    open: set = field(default_factory=set)
    slots: threading.Semaphore = field(
        default_factory=lambda: threading.Semaphore(SLOTS)
    )


class Engines:
    """A group of engines that crash and restart.

    Attributes:
        crash_mode: How the crashes appear to clients.
        write: Writes an engine's entry, by id and port.
        remove: Removes an engine's entry, by id.
        ended: (monotonic time, id of the request) of each crash.
        reached: (monotonic time, id) of each bad request that arrived.
        runs: The current run by port.
        ids: Counter for the instance ids of the runs.
        closed: Set when the engines are shut down.
        errors: Counter of bad requests, to answer some with an error.
    """

    def __init__(self, count, crash_mode, write, remove):
        self.crash_mode = crash_mode
        self.write = write
        self.remove = remove
        self.ended = []
        self.reached = []
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
        """Crash some engines at once, like a power failure of their hosts."""
        alive = [one for one in self.runs.values() if not one.ended.is_set()]
        for run in alive[:count]:
            self._end(run)

    def reset(self):
        """Reset the connections of all engines, which keep running."""
        for run in self.runs.values():
            for sock in list(run.open):
                _reset(sock)

    def _run_engine(self, listener, port):
        """Run an engine at one address and restart it after each crash."""
        while not self.closed.is_set():
            run = EngineRun(f"i-{next(self.ids)}")
            self.runs[port] = run
            self._register(run.name, port)
            self._accept(run, listener)
            listener.close()
            if self.crash_mode.stale_s is not None:
                _later(self.crash_mode.stale_s, self.remove, run.name)
            if self.closed.wait(self.crash_mode.back_s):
                return
            listener = _listen(port)

    def _register(self, name, port):
        """Write an engine's entry, again until the store takes it."""
        while not self.closed.is_set():
            with contextlib.suppress(LacewingdockError):
                self.write(name, port)
                return

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
        is_bad = body == BAD or BAD_PART in headers.get(b"prompt-prefix", b"")
        if is_bad:
            self.reached.append((time.monotonic(), call_id.decode()))
        with run.slots:
            if run.ended.is_set():
                return
            if not is_bad:
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
            if self.crash_mode.soft or self.crash_mode.first.startswith("bare"):
                with contextlib.suppress(OSError):
                    one.shutdown(socket.SHUT_RDWR)
            else:
                _reset(one)


_FIRST = {
    "": lambda _: b"",
    "head": stream_head,
    "unsure": lambda i: stream_head(i, b"Confidence: 1\r\n"),
    "event": lambda i: stream_head(i) + event(1),
    "bare event": lambda i: (
        stream_head(i, b"Connection: close\r\n", b"") + b"id: 1\ndata: e1\n\n"
    ),
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
        # A thread that blocks in a read keeps the socket open until it wakes.
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
