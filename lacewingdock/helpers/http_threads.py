"""Support for starting an HTTP server's threads only as they are needed."""

from typing import Any

from cheroot.workers.threadpool import ThreadPool

from lacewingdock.helpers.tally import Tally


class LazyThreadPool(ThreadPool):
    """A pool that starts a thread when a connection would wait for one.

    Hundreds of threads that never served anyone cost an idle entry megabytes
    of its memory budget. A thread once started stays, so a peak costs the
    start of its threads only once.

    Attributes:
        spare: Threads that wait for a connection, less the connections that
            wait for a thread.
    """

    def __init__(self, server: Any, max_threads: int) -> None:
        """Start without threads.

        Args:
            server: The server whose connections the threads serve.
            max_threads: Limit on the number of threads.
        """
        super().__init__(server, min=max_threads, max=max_threads)
        self.spare = Tally()
        # The base class's is an attribute, which would hide a method.
        self.get = self._get

    def start(self) -> None:
        """Start nothing: `put` starts each thread."""

    def put(self, obj: Any) -> None:
        """Queue a connection; only the accepting task calls this.

        Counting the threads without a connection is not enough: one that has
        just taken its connection off the queue still looks free, and the next
        caller would wait behind an answer that takes minutes.

        Raises:
            RuntimeError: No thread is free and the system gives none.
        """
        threads = self._threads  # type: ignore[attr-defined]
        if self.spare.value <= 0 and len(threads) < self.max:
            threads.append(self._spawn_worker())  # type: ignore[attr-defined]
        self.spare.add(-1)
        super().put(obj)

    def _get(self) -> Any:
        self.spare.add(1)
        return self._queue.get()  # type: ignore[attr-defined]
