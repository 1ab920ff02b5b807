"""Thread pool of the HTTP server that starts threads on demand."""

from typing import Any

from cheroot.workers.threadpool import ThreadPool

from lacewingdock.helpers.tally import Tally


class LazyThreadPool(ThreadPool):
    """A pool that starts a thread if a connection would have to wait for one.

    Hundreds of unused threads would cost an idle entry megabytes of its memory
    budget. Started threads stay, so a peak starts its threads only once.

    Attributes:
        spare: Number of threads that wait for a connection, minus the number
            of connections that wait for a thread.
    """

    def __init__(self, server: Any, max_threads: int) -> None:
        """Create an empty pool.

        Args:
            server: The server whose connections the threads serve.
            max_threads: Limit on the number of threads.
        """
        super().__init__(server, min=max_threads, max=max_threads)
        self.spare = Tally()
        # The base class sets `get` as an instance attribute, which would hide
        # a method of that name.
        self.get = self._get

    def start(self) -> None:
        """Start no threads; `put` starts them on demand."""

    def put(self, obj: Any) -> None:
        """Queue a connection; must be called by the accepting thread only.

        Counting the threads that have no connection is not enough: a thread
        that has just dequeued a connection still looks idle, and the next
        caller would wait behind a response that takes minutes.

        Raises:
            RuntimeError: No thread is idle and the system cannot start one.
        """
        threads = self._threads  # type: ignore[attr-defined]
        if self.spare.value <= 0 and len(threads) < self.max:
            threads.append(self._spawn_worker())  # type: ignore[attr-defined]
        self.spare.add(-1)
        super().put(obj)

    def _get(self) -> Any:
        self.spare.add(1)
        return self._queue.get()  # type: ignore[attr-defined]
