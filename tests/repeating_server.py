"""A server that sends each of its answers twice."""

import contextlib
import socket
import threading
import time
from enum import StrEnum
from typing import Final

from tests.components.gateway.fakes import read_request

# Long enough for bytes to arrive on loopback, in seconds.
ARRIVAL_S: Final = 0.05


class Moment(StrEnum):
    """When a second answer is sent.

    Attributes:
        TOGETHER: With the first answer.
        SOON: After the first answer, before the next request.
        LATE: After the next request, before its answer.
    """

    TOGETHER = "together"
    SOON = "soon"
    LATE = "late"


class RepeatingServer:
    """Sends second answers, which bear no id that tells them apart.

    Attributes:
        build: Returns the body of the answer to a request's target.
        moment: When second answers are sent.
        sock: Listening socket.
        address: IP number and port.
        connections: Number of connections accepted.
    """

    def __init__(self, build, moment):
        self.build = build
        self.moment = moment
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = self.sock.getsockname()
        self.connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop listening."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.sock.accept()
                self.connections += 1
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock):
        owed = b""
        with contextlib.suppress(OSError):
            while (found := read_request(sock)) is not None:
                target = found[0].split()[1].decode()
                answer = _encode(self.build(target))
                match self.moment:
                    case Moment.TOGETHER:
                        sock.sendall(answer + answer)
                    case Moment.SOON:
                        sock.sendall(answer)
                        time.sleep(ARRIVAL_S)
                        sock.sendall(answer)
                    case Moment.LATE:
                        sock.sendall(owed + answer)
                        owed = answer
        sock.close()


def _encode(body):
    """Return a whole answer with a length."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )
