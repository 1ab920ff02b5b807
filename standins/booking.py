"""Support for a stand-in of a booking service's worker.

It books whatever it is asked and remembers it, so that a doubled booking
shows here and nowhere else needs to be believed.
"""

import threading
import time

import fire
import msgspec
from werkzeug.wrappers import Request, Response

from standins.http import App, json_response, serve


class Bookings:
    """What was booked.

    Attributes:
        made: Each booking in order: the slot and the key it came with.
        delay_s: Seconds that a booking takes after it landed.
    """

    __slots__ = ("delay_s", "lock", "made")

    def __init__(self, delay_s: float) -> None:
        """Start with nothing booked."""
        self.made: list[dict[str, str]] = []
        self.delay_s = delay_s
        self.lock = threading.Lock()

    def confirm(self, request: Request) -> Response:
        """Book a slot."""
        body = msgspec.json.decode(request.get_data())
        key = request.headers.get("Idempotency-Key", "")
        with self.lock:
            self.made.append({"slot": str(body["slot"]), "key": key})
            number = len(self.made)
        time.sleep(self.delay_s)
        return json_response({"booking": number, "slot": body["slot"]})

    def slots(self, request: Request) -> Response:
        """Answer with the slots taken."""
        return json_response([made["slot"] for made in self.made])

    def show(self, request: Request) -> Response:
        """Answer with every booking (for the checker)."""
        return json_response(self.made)

    def control(self, request: Request) -> Response:
        """Take a new delay (from tests)."""
        self.delay_s = msgspec.json.decode(request.get_data())["delay_s"]
        return json_response({})

    def status(self, request: Request) -> Response:
        """Show that the worker is alive."""
        return json_response({})


def main(port: int, delay_s: float = 0.01) -> None:
    """Serve the booking worker's stand-in on loopback."""
    bookings = Bookings(delay_s)
    app = App()
    app.route("POST", "/slots/confirm", bookings.confirm)
    app.route("GET", "/slots", bookings.slots)
    app.route("GET", "/bookings", bookings.show)
    app.route("POST", "/control", bookings.control)
    app.route("GET", "/status", bookings.status)
    serve(app, port, threads=64)


if __name__ == "__main__":
    fire.Fire(main)
