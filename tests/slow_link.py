"""A TCP proxy with the bandwidth of a slow link."""

import contextlib
import socket
import threading
import time

# Bytes that one connection sends at a time, so that connections share the link.
PART_BYTES = 4096


class SlowLink:
    """Passes connections on to a port; loses and reorders nothing.

    Attributes:
        target: The port on loopback.
        bytes_per_s: Bandwidth of both directions together.
        stalled: While set, no byte passes.
        passed: Bytes that passed towards the clients.
        port: The proxy's own port.
    """

    def __init__(self, target, mbps):
        self.target = target
        self.bytes_per_s = mbps * 1e6 / 8
        self.stalled = threading.Event()
        self.passed = 0
        self._free_at = 0.0
        self._lock = threading.Lock()
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self._sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop accepting connections."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _accept(self):
        while True:
            try:
                near, _ = self._sock.accept()
                far = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                return
            for source, sink in ((near, far), (far, near)):
                # Little is under way when a client gives up.
                source.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
                threading.Thread(
                    target=self._copy,
                    args=(source, sink, sink is near),
                    daemon=True,
                ).start()

    def _copy(self, source, sink, is_answer):
        try:
            while data := source.recv(PART_BYTES):
                while self.stalled.is_set():
                    time.sleep(0.01)
                with self._lock:
                    at = max(self._free_at, time.monotonic())
                    self._free_at = at + len(data) / self.bytes_per_s
                time.sleep(max(self._free_at - time.monotonic(), 0.0))
                sink.sendall(data)
                if is_answer:
                    self.passed += len(data)
        except OSError:
            pass
        finally:
            for sock in (source, sink):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
