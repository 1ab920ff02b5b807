"""Support for tests: callers and a small deployment."""

from types import SimpleNamespace
from typing import Any

from bench.deployment import Deployment, Process
from bench.example import MANIFEST as MANIFEST
from bench.example import NOTES_KEY as NOTES_KEY
from bench.example import PARTITIONS as PARTITIONS
from bench.example import RETAIL_KEY
from bench.example import apply_example as apply_example
from bench.http import Reply, call
from lacewingdock.components.orders import send_order
from lacewingdock.links.keys import load_keys
from lacewingdock.links.messages import Hello, Order, Ordered


def ask(
    deployment: Deployment,
    path: str,
    body: Any = None,
    *,
    key: str = RETAIL_KEY,
    entry: str = "entry-0",
    method: str = "POST",
    headers: dict[str, str] | None = None,
    **options: Any,
) -> Reply:
    """Call an entry as a caller does."""
    url = deployment.processes[entry].url() + path
    sent = {"Authorization": f"Bearer {key}", **(headers or {})}
    return call(method, url, body, sent, **options)


def chat(
    deployment: Deployment,
    prompt: str,
    model: str = "drafter",
    *,
    stream: bool = False,
    tokens: int = 8,
    **options: Any,
) -> Reply:
    """Ask for a chat completion."""
    body = {
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    return ask(deployment, "/v1/chat/completions", body, **options)


def book(
    deployment: Deployment, slot: str, idempotency_key: str, **options: Any
) -> Reply:
    """Ask for a slot confirmation."""
    return ask(
        deployment,
        "/services/booking/slots/confirm",
        {"slot": slot},
        headers={"Idempotency-Key": idempotency_key},
        **options,
    )


def bookings(deployment: Deployment) -> list[dict[str, str]]:
    """Return every booking, as the booking workers recorded them."""
    made: list[dict[str, str]] = []
    for name, process in deployment.processes.items():
        if name.startswith("booking-") and "port" in process.ports:
            made += call("GET", f"{process.url()}/bookings").json()
    return made


def send_order_as_entry(
    deployment: Deployment, process: Process, order: Order
) -> Ordered:
    """Send an order to a daemon over a link, as an entry does."""
    me = Hello("entry-9", "i1", "entry", "hall-a", b"")
    keys = load_keys(str(deployment.folder / "link.keys"))
    daemon: Any = SimpleNamespace(me=me, keys=keys)
    address = f"127.0.0.1:{process.ports['link_port']}"
    return send_order(daemon, address, order)
