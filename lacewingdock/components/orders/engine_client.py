"""Support for sending orders to a model engine over HTTP."""

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
    """The response of an engine to an order.

    Attributes:
        state: Resulting state of the version.
        error: Reason for a refusal; empty when the order was accepted.
    """

    state: str = ""
    error: str = ""


class HttpEngineClient:
    """Client that sends orders to the engine beside a sidecar.

    Attributes:
        engine: Monitor of the engine, which holds its URL and the versions
            that are draining.
    """

    __slots__ = ("engine",)

    def __init__(self, engine: Engine) -> None:
        """Build a client for a monitored engine."""
        self.engine = engine

    def drain(self, version: str) -> int:
        """Stop new requests to a version; return its running requests."""
        return self.engine.drain(version)

    def undrain(self, version: str) -> None:
        """Allow new requests to a version again."""
        self.engine.undrain(version)

    def submit(self, order: Order) -> str:
        """Send an order to the engine and return the resulting state.

        Raises:
            LacewingdockError: FENCED when the engine compares fencing numbers
                and has received a higher one; UPSTREAM_FAILED when it doesn't
                answer, or answers with another error.
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
                ErrorKind.UPSTREAM_FAILED,
                f"engine did not answer the order: {error}",
            ) from error
        if status == _HTTP_CONFLICT:
            raise LacewingdockError(ErrorKind.FENCED, answer.error)
        if status >= 400:
            raise LacewingdockError(
                ErrorKind.UPSTREAM_FAILED,
                f"engine refused the order with status {status}: "
                f"{answer.error}",
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
