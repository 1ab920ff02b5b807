"""An event loop in a thread, for load by many concurrent connections."""

import asyncio
import threading


class LoopThread:
    """Runs coroutines on an event loop in a thread of its own.

    Attributes:
        loop: The event loop.
    """

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()

    def run(self, coroutine, timeout_s=120.0):
        """Run a coroutine to its end; return its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(timeout_s)

    def close(self):
        """Cancel what still runs and end the thread."""
        self.loop.call_soon_threadsafe(self._cancel_all)
        self.thread.join()
        self.loop.close()

    def _cancel_all(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        # The tasks handle their cancellation in the next iteration.
        self.loop.call_soon(self.loop.stop)
