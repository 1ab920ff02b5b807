"""Support for choosing entries as the platform's balancer does."""

import threading
from types import TracebackType
from typing import Final

from bench.deployment import Deployment
from bench.http import call

CHECK_S: Final = 0.1


class Balancer:
    """Keeps a list of the entries that say that they are ready.

    Attributes:
        deployment: Where the entries are.
        entries: URLs of the ready ones, changed in place.
    """

    def __init__(self, deployment: Deployment, names: list[str]) -> None:
        """Start with all of them."""
        self.deployment = deployment
        self.names = names
        self.entries = [deployment.processes[n].url() for n in names]
        self._stopped = threading.Event()
        self._task = threading.Thread(target=self._check_all, daemon=True)

    def __enter__(self) -> "Balancer":
        """Start checking."""
        self._task.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop checking."""
        self._stopped.set()
        self._task.join()

    def _check_all(self) -> None:
        while not self._stopped.wait(CHECK_S):
            for name in self.names:
                self._check(name)

    def _check(self, name: str) -> None:
        process = self.deployment.processes[name]
        url = process.url()
        admin = f"{process.url('admin_port')}/readyz"
        ready = call("GET", admin, timeout_s=1.0).status == 200
        if ready and url not in self.entries:
            self.entries.append(url)
        elif not ready and url in self.entries and len(self.entries) > 1:
            self.entries.remove(url)
