"""Support for running a daemon as a list of components."""

import random
import signal
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, Final, Protocol, TypeVar, cast

import prometheus_client

from lacewingdock.const import (
    ROLE_ENTRY,
    ROLE_SIDECAR,
    THREAD_STACK_BYTES,
)
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.keys import KeyRing, load_keys
from lacewingdock.links.messages import Hello
from lacewingdock.platform.metrics import PlatformCalls
from lacewingdock.platform.store import ObjectStore
from lacewingdock.settings import DaemonSettings, EntrySettings

# Maximum number of concurrent tasks of a daemon.
MAX_TASKS: Final = 4096
# Seconds between checks for remaining requests while draining.
DRAIN_POLL_S: Final = 0.05

log = get_logger("core")

C = TypeVar("C")


class Component(Protocol):
    """Interface of the object that a component's `setup` returns."""

    def unload(self) -> None:
        """Undo `setup`; components unload in reverse order of setup."""


class Daemon:
    """A daemon process with its settings, tasks and components.

    Attributes:
        settings: The validated settings.
        me: Identity of this daemon on links.
        keys: Keys that authenticate links.
        store: Client of the platform's object API.
        executor: Thread pool of the tasks.
        stopping: Set when the process must end.
        leaving: Set once a planned stop begins and the daemon drains.
        components: Components by name, in order of setup.
        metrics: Registry of the metrics.
        random: Random generator for jitter.
        started: Monotonic time of the start.
        on_leave: Callbacks that run when a planned stop begins.
    """

    __slots__ = (
        "components",
        "executor",
        "keys",
        "leaving",
        "me",
        "metrics",
        "on_leave",
        "random",
        "settings",
        "started",
        "stopping",
        "store",
    )

    def __init__(self, settings: DaemonSettings) -> None:
        """Build a daemon from settings; no task is started yet."""
        threading.stack_size(THREAD_STACK_BYTES)
        is_entry = isinstance(settings, EntrySettings)
        self.settings = settings
        self.me = Hello(
            instance=settings.instance,
            incarnation=new_id(),
            role=ROLE_ENTRY if is_entry else ROLE_SIDECAR,
            failure_domain=settings.failure_domain,
            nonce=b"",
        )
        self.keys: KeyRing = load_keys(settings.link_keys_file)
        self.store = ObjectStore(settings.platform)
        self.executor = ThreadPoolExecutor(MAX_TASKS, "task")
        self.stopping = threading.Event()
        self.leaving = threading.Event()
        self.components: dict[str, Component] = {}
        self.metrics = prometheus_client.CollectorRegistry()
        self.metrics.register(PlatformCalls(self.store))
        self.random = random.Random(self.me.incarnation)
        self.started = time.monotonic()
        self.on_leave: list[Callable[[], None]] = []

    def spawn(self, function: Callable[..., Any], *args: Any) -> "Future[Any]":
        """Run a function as a task and log any exception it raises."""
        future = self.executor.submit(function, *args)
        future.add_done_callback(_log_failure)
        return future

    def every(self, interval_s: float, function: Callable[[], None]) -> None:
        """Run a function periodically until the daemon stops.

        An exception in one round is logged and the next round runs as usual;
        otherwise a failed task would silently stop for good.
        """

        def rounds() -> None:
            while not self.stopping.wait(interval_s):
                try:
                    function()
                except Exception:
                    log.exception("round failed", task=function.__qualname__)

        self.spawn(rounds)

    def add(self, name: str, component: Component) -> None:
        """Register a component."""
        self.components[name] = component

    def component(self, name: str, cls: type[C]) -> C:
        """Return a registered component, typed as its class."""
        return cast("C", self.components[name])

    def run(self, drain: Callable[[], int]) -> int:
        """Serve until SIGTERM or SIGINT, then stop gracefully.

        Args:
            drain: Returns the number of requests that still run here.

        Returns:
            The number of requests aborted at the end of the grace period.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.leaving.set())
        while not self.leaving.wait(1.0):
            pass
        log.info("leaving")
        for callback in self.on_leave:
            callback()
        left = self._drain(drain)
        self.stop()
        log.info("stopped", requests_left=left)
        return left

    def _drain(self, drain: Callable[[], int]) -> int:
        end = time.monotonic() + self.settings.grace_s
        # Senders learn of the stop with a delay: peers with the next frame, the
        # load balancer with its next health check. Requests that they send
        # until then must still be served.
        time.sleep(min(self.settings.linger_s, self.settings.grace_s))
        while time.monotonic() < end and drain():
            time.sleep(DRAIN_POLL_S)
        return drain()

    def stop(self) -> None:
        """Unload the components in reverse order of setup."""
        self.stopping.set()
        for name in reversed(list(self.components)):
            try:
                self.components[name].unload()
            except Exception:
                log.exception("unload failed", component=name)
        self.executor.shutdown(wait=False, cancel_futures=True)


def _log_failure(future: "Future[Any]") -> None:
    error = None if future.cancelled() else future.exception()
    if error is not None:
        log.error(
            "task failed",
            error=repr(error),
            exc_info=(type(error), error, error.__traceback__),
        )
