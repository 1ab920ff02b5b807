"""Support for a stand-in of the service that rates answers."""

from typing import Final

import fire
import msgspec
from werkzeug.wrappers import Request, Response

from standins.engine import UNSURE
from standins.http import App, json_response, serve

GOOD: Final = 0.95
POOR: Final = 0.2


def rate(request: Request) -> Response:
    """Rate an answer: an unsure one is poor."""
    body = msgspec.json.decode(request.get_data())
    poor = str(body["answer"]).startswith(UNSURE)
    return json_response({"score": POOR if poor else GOOD})


def main(port: int) -> None:
    """Serve the rating service's stand-in on loopback."""
    app = App()
    app.route("POST", "/rate", rate)
    serve(app, port, threads=32)


if __name__ == "__main__":
    fire.Fire(main)
