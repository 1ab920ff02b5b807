"""A server that sends its answers in parts, with pauses."""

import contextlib
import socket
import threading
import time


class PacedServer:
    """Sends the same parts, each after a pause, in answer to each request.

    Attributes:
        parts: Pauses in seconds and the bytes after them.
        connections: Number of connections accepted.
        url: URL of the server, without a path.
    """

    def __init__(self, parts):
        self.parts = parts
        self.connections = 0
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self.sock.accept()
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError):
            while sock.recv(4096):
                for pause_s, data in self.parts:
                    time.sleep(pause_s)
                    sock.sendall(data)
