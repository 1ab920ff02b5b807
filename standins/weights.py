"""Support for a stand-in of the weight store, which limits its rate."""

import threading
import time

import fire
from werkzeug.wrappers import Request, Response

from standins.http import App, json_response, serve


class WeightStore:
    """The weight store's state.

    Attributes:
        load_s: Seconds that one fetch takes.
        streams: Fetches served at once; more are refused.
        active: Fetches under way.
        peak: Most fetches that were wanted at once.
        served: Fetches served, by version.
        refused: Fetches refused.
        lock: Guards the counts.
    """

    __slots__ = (
        "active",
        "load_s",
        "lock",
        "peak",
        "refused",
        "served",
        "streams",
    )

    def __init__(self, load_s: float, streams: int) -> None:
        """Start idle."""
        self.load_s = load_s
        self.streams = streams
        self.active = 0
        self.peak = 0
        self.served: dict[str, int] = {}
        self.refused = 0
        self.lock = threading.Lock()

    def fetch(self, request: Request, version: str) -> Response:
        """Serve a version's weights at the set pace."""
        with self.lock:
            self.peak = max(self.peak, self.active + 1)
            if self.active >= self.streams:
                self.refused += 1
                return json_response({"error": "busy"}, 429)
            self.active += 1
        time.sleep(self.load_s)
        with self.lock:
            self.active -= 1
            self.served[version] = self.served.get(version, 0) + 1
        return json_response({"version": version})

    def show(self, request: Request) -> Response:
        """Answer with the counts."""
        return json_response(
            {
                "peak": self.peak,
                "served": self.served,
                "refused": self.refused,
            }
        )


def main(port: int, load_s: float = 0.2, streams: int = 2) -> None:
    """Serve the weight store's stand-in on loopback.

    Args:
        port: Port to listen on.
        load_s: Seconds that one fetch takes.
        streams: Fetches served at once.
    """
    store = WeightStore(load_s, streams)
    app = App()
    app.route("GET", "/weights/<version>", store.fetch)
    app.route("GET", "/loads", store.show)
    serve(app, port)


if __name__ == "__main__":
    fire.Fire(main)
