"""Support for the bill of one attempt that ran."""

import time
from typing import Final

import msgspec

from lacewingdock.components.billing.const import (
    BYTES_PER_TOKEN,
    MICROS,
    OUTCOME_CANCELLED,
    OUTCOME_FAILED,
    OUTCOME_REFUSED,
    OUTCOME_UNKNOWN,
    OUTCOME_WHOLE,
    TOKENS_PER_PRICE,
)
from lacewingdock.const import RAN_UNKNOWN
from lacewingdock.links.messages import Finish, Refusal
from lacewingdock.world.run import Run
from lacewingdock.world.world import World

_HTTP_ERROR: Final = 400


class Bill(msgspec.Struct, array_like=True):
    """Bill of one attempt that ran; a request has one per such attempt.

    Encoded as a JSON array, as field names would take up most of a row.

    Attributes:
        attempt: Id of the attempt; the ledger contains each once.
        request: Id of the caller's request.
        step: Index of the cascade's step, 0 without a cascade.
        ordinal: Number of earlier attempts of this step.
        workspace: Name of the workspace.
        target: Name of the version or service.
        at: Wall-clock time of the attempt's end, in whole seconds.
        input_tokens: Tokens read.
        output_tokens: Tokens generated.
        cost: Cost in millionths of the price unit, at the prices in force at
            the attempt's end.
        outcome: "whole" (a complete answer), "cancelled" (by the caller),
            "failed", "refused" (by an error response of the upstream) or
            "unknown".
        estimated: Whether the tokens were estimated, because the engine
            reported no count.
    """

    attempt: str
    request: str
    step: int
    ordinal: int
    workspace: str
    target: str
    at: int
    input_tokens: int
    output_tokens: int
    cost: int
    outcome: str
    estimated: bool = False


class _Key(msgspec.Struct, array_like=True):
    """First element of a row; decoding it alone identifies the bill.

    Attributes:
        attempt: Id of the attempt.
    """

    attempt: str


_ENCODER: Final = msgspec.json.Encoder()
_DECODER: Final = msgspec.json.Decoder(Bill)
_KEY_DECODER: Final = msgspec.json.Decoder(_Key)


def encode_bill(bill: Bill) -> bytes:
    """Encode a bill as a row."""
    return _ENCODER.encode(bill)


def decode_bill(row: bytes) -> Bill:
    """Decode a row into a bill.

    Raises:
        msgspec.DecodeError: The row is not a bill.
    """
    return _DECODER.decode(row)


def decode_attempt_id(row: bytes) -> str:
    """Decode only the attempt id of a row.

    Raises:
        msgspec.DecodeError: The row is not a bill.
    """
    return _KEY_DECODER.decode(row).attempt


def build_bill(run: Run, outcome: Finish | Refusal, world: World) -> Bill:
    """Build the bill of a run that is about to end.

    Args:
        run: The run, whose request has reached the upstream.
        outcome: The message that ends the run.
        world: Configuration with the prices in force.
    """
    attempt = run.attempt
    bill_outcome = _bill_outcome(run, outcome)
    counts = _token_counts(run, outcome, bill_outcome)
    return Bill(
        attempt.attempt,
        attempt.request,
        attempt.step,
        attempt.ordinal,
        attempt.workspace,
        attempt.target,
        int(time.time()),
        *counts,
        run_cost(world, run, *counts),
        bill_outcome,
        bill_outcome == OUTCOME_CANCELLED,
    )


def _bill_outcome(run: Run, outcome: Finish | Refusal) -> str:
    match outcome:
        case Finish(status=status):
            return OUTCOME_WHOLE if status < _HTTP_ERROR else OUTCOME_REFUSED
        case _ if run.caller_left:
            return OUTCOME_CANCELLED
        case Refusal(ran=ran) if ran == RAN_UNKNOWN and not (
            run.attempt.repeatable
        ):
            return OUTCOME_UNKNOWN
        case _:
            return OUTCOME_FAILED


def _token_counts(
    run: Run, outcome: Finish | Refusal, bill_outcome: str
) -> tuple[int, int]:
    """Return the numbers of input and output tokens.

    An engine reports its counts with the last event, which a cancelled stream
    never reaches. Each event of such a stream counts as one output token, and
    the input tokens are estimated from the size of the request body.
    """
    match outcome:
        case Finish():
            return outcome.input_tokens, outcome.output_tokens
        case _ if bill_outcome == OUTCOME_CANCELLED and run.chunks:
            return len(run.attempt.body) // BYTES_PER_TOKEN, len(run.chunks)
        case _:
            return 0, len(run.chunks)


def run_cost(
    world: World, run: Run, input_tokens: int, output_tokens: int
) -> int:
    """Return the cost of a run, in millionths of the price unit."""
    attempt = run.attempt
    if attempt.target in world.services:
        path = attempt.path.partition("?")[0]
        return call_cost(world, attempt.target, attempt.method, path)
    return token_cost(world, attempt.target, input_tokens, output_tokens)


def token_cost(
    world: World, version: str, input_tokens: int, output_tokens: int
) -> int:
    """Return the cost of tokens on a version, in millionths.

    An unknown version costs 0.
    """
    found = world.versions.get(version)
    if found is None:
        return 0
    price = found.input_price * input_tokens
    price += found.output_price * output_tokens
    return round(price * MICROS / TOKENS_PER_PRICE)


def call_cost(world: World, service: str, method: str, path: str) -> int:
    """Return the cost of one call of a service, in millionths.

    A service or operation that is not configured costs 0.
    """
    found = world.services.get(service)
    for operation in found.operations if found else ():
        if (operation.method, operation.path) == (method, path):
            return round(operation.price * MICROS)
    return 0
