"""Support for handing orders to a model engine."""

import msgspec
import pycurl

from lacewingdock.components.engine import Engine
from lacewingdock.components.orders.const import ENGINE_TIMEOUT_S
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.http_client import send
from lacewingdock.helpers.json import decode_json
from lacewingdock.links.messages import Order

_HTTP_CONFLICT = 409


class EngineAnswer(msgspec.Struct):
    """What an engine says to an order.

    Attributes:
        state: What came of it.
        error: Why it was refused.
    """

    state: str = ""
    error: str = ""


class HttpEngineClient:
    """The engine beside a sidecar, ordered over HTTP.

    Attributes:
        engine: The engine's watcher, which knows what is served.
    """

    __slots__ = ("engine",)

    def __init__(self, engine: Engine) -> None:
        """Take the engine."""
        self.engine = engine

    def drain(self, version: str) -> int:
        """Give a version no new work; return its requests running."""
        return self.engine.drain(version)

    def undrain(self, version: str) -> None:
        """Let a version take work again."""
        self.engine.undrain(version)

    def submit(self, order: Order) -> str:
        """Hand an order to the engine and return what came of it.

        Raises:
            LacewingdockError: FENCED when the engine compares numbers and
                has seen a higher one; UPSTREAM_FAILED when it doesn't answer.
        """
        body = {
            "action": order.action,
            "version": order.version,
            "role": order.role,
            "fencing": order.fencing,
        }
        try:
            status, answer = self._post(body)
        except (pycurl.error, msgspec.DecodeError) as error:
            raise LacewingdockError(
                ErrorKind.UPSTREAM_FAILED, f"order not answered: {error}"
            ) from error
        if status == _HTTP_CONFLICT:
            raise LacewingdockError(ErrorKind.FENCED, answer.error)
        if status >= 400:
            raise LacewingdockError(
                ErrorKind.UPSTREAM_FAILED, f"status {status}: {answer.error}"
            )
        return answer.state

    def _post(self, body: dict[str, object]) -> tuple[int, EngineAnswer]:
        reply = send(
            f"{self.engine.url}/orders",
            msgspec.json.encode(body),
            headers=["Content-Type: application/json"],
            timeout_s=ENGINE_TIMEOUT_S,
        )
        return reply.status, decode_json(reply.body, EngineAnswer)
