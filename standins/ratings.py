"""Support for a stand-in of the service that rates answers."""

import threading
import time
from typing import Any, Final

import fire
import msgspec
from werkzeug.wrappers import Request, Response

from standins.engine import UNSURE
from standins.http import App, json_response, serve

GOOD: Final = 0.95
POOR: Final = 0.2


def _is_poor(answer: Any) -> bool:
    return str(answer).startswith(UNSURE)


def rate(request: Request) -> Response:
    """Give the verdict on an answer: an unsure one is poor."""
    body = msgspec.json.decode(request.get_data())
    return json_response({"score": POOR if _is_poor(body["answer"]) else GOOD})


class Samples:
    """Samples handed in, rated after a while.

    Attributes:
        delay_s: Seconds until a rating is there.
        rated: For each client its samples: when the rating is there, the
            sample's id and the rating.
    """

    __slots__ = ("delay_s", "lock", "rated")

    def __init__(self, delay_s: float) -> None:
        """Start without samples."""
        self.delay_s = delay_s
        self.rated: dict[str, list[tuple[float, str, float]]] = {}
        self.lock = threading.Lock()

    def submit(self, request: Request) -> Response:
        """Take samples; one that is there already is left as it is."""
        body = msgspec.json.decode(request.get_data())
        due = time.monotonic() + self.delay_s
        with self.lock:
            known = self.rated.setdefault(body["client"], [])
            ids = {sample_id for _, sample_id, _ in known}
            for sample in body["samples"]:
                if sample["id"] not in ids:
                    rating = 0.0 if _is_poor(sample["answer"]) else 1.0
                    known.append((due, sample["id"], rating))
        return json_response({})

    def results(self, request: Request) -> Response:
        """Answer with the ratings that are there."""
        after = int(request.args.get("after", 0))
        now = time.monotonic()
        with self.lock:
            known = self.rated.get(request.args.get("client", ""), [])
            ready = [r for r in known[after:] if r[0] <= now]
        ratings = [{"id": i, "rating": rating} for _, i, rating in ready]
        return json_response({"after": after + len(ready), "ratings": ratings})


def main(port: int, delay_s: float = 1.0) -> None:
    """Serve the rating service's stand-in on loopback."""
    samples = Samples(delay_s)
    app = App()
    app.route("POST", "/rate", rate)
    app.route("POST", "/samples", samples.submit)
    app.route("GET", "/samples", samples.results)
    serve(app, port, threads=32)


if __name__ == "__main__":
    fire.Fire(main)
