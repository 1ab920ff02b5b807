"""A relay of bytes between two processes that can lose track of a link."""

import contextlib
import socket
import threading
from typing import Any

from bench.deployment import Deployment


class Relay:
    """Forwards a TCP port; connections that are open can be swallowed.

    Attributes:
        address: "IP:PORT" that it listens on.
        target: "IP:PORT" that it forwards to.
        pairs: Both sides of each connection that was forwarded.
        held: What was swallowed, for each direction of each connection.
    """

    def __init__(self, target: str) -> None:
        """Start listening."""
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.held: dict[tuple[socket.socket, socket.socket], bytearray] = {}
        self._lock = threading.Lock()
        self.pairs: list[tuple[socket.socket, socket.socket]] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def swallow(self) -> None:
        """Let every open connection go silent; new ones work."""
        with self._lock:
            for near, far in self.pairs:
                self.held.setdefault((near, far), bytearray())
                self.held.setdefault((far, near), bytearray())

    def thaw(self) -> None:
        """Deliver late what was swallowed, and forward again."""
        with self._lock:
            for (_, far), data in self.held.items():
                with contextlib.suppress(OSError):
                    far.sendall(data)
            self.held.clear()

    def cut(self) -> None:
        """Break every open connection."""
        with self._lock:
            for pair in self.pairs:
                for sock in pair:
                    with contextlib.suppress(OSError):
                        sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stop."""
        self.listener.close()
        self.cut()

    def _accept(self) -> None:
        host, _, port = self.target.rpartition(":")
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection((host, int(port)), 1)
            except ConnectionRefusedError:
                near.close()
                continue
            except OSError:
                return
            far.settimeout(None)
            with self._lock:
                self.pairs.append((near, far))
            for pair in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=pair, daemon=True
                ).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                with self._lock:
                    held = self.held.get((source, sink))
                    if held is not None:
                        held += data
                        continue
                sink.sendall(data)
        # A swallowed connection shows neither end that the other closed.
        if (source, sink) not in self.held:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_RDWR)


class RelayedDeployment(Deployment):
    """A deployment whose entries reach sidecars through relays.

    Attributes:
        relays: The relays by sidecar.
    """

    def __init__(self, *arguments: Any) -> None:
        """Prepare it."""
        super().__init__(*arguments)
        self.relays: dict[str, Relay] = {}

    def __enter__(self) -> "RelayedDeployment":
        """Start everything."""
        super().__enter__()
        return self

    def publish(self) -> None:
        """Show the platform the relays' addresses."""
        for name, instance in self.instances.items():
            relay = self.relays.get(name)
            is_relayed = relay and instance["address"] == relay.address
            if instance["role"] == "sidecar" and not is_relayed:
                self.relays[name] = Relay(instance["address"])
                instance["address"] = self.relays[name].address
        super().publish()

    def stop(self) -> None:
        """End every process and relay."""
        super().stop()
        for relay in self.relays.values():
            relay.close()
