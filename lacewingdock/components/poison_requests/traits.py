"""Support for traits of requests, by which crashes are compared.

A request's fingerprint is shared by its repeats alone. A part of its prompt may
be shared by requests that have nothing else in common. The last part belongs to
one request or session, and is no trait.
"""

from typing import Final

from lacewingdock.helpers.digest import digest
from lacewingdock.world.call import Call

# Marks the traits that are prompt parts; fingerprints are hexadecimal.
PART_MARK: Final = "part-"
# Hexadecimal digits of a part's hash, of which a router holds thousands.
PART_DIGITS: Final = 16
# Most parts of one prompt that are compared, the first ones.
MAX_PARTS: Final = 64


def fingerprint_of(call: Call, workspace: str) -> str:
    """Return the hash that all copies of a request share.

    It covers the workspace, the method, the target and the body.
    """
    if not call.fingerprint:
        call.fingerprint = digest(
            workspace.encode(), call.method, call.target, call.body
        )
    return call.fingerprint


def part_traits_of(call: Call) -> tuple[str, ...]:
    """Return the traits for the prompt parts that other requests may share."""
    if call.part_traits is None:
        names = dict.fromkeys(name for name, _ in call.parts[:-1][:MAX_PARTS])
        call.part_traits = tuple(
            PART_MARK + digest(name.encode())[:PART_DIGITS] for name in names
        )
    return call.part_traits


def traits_of(call: Call, workspace: str) -> tuple[str, ...]:
    """Return all traits of a request, its fingerprint first."""
    return (fingerprint_of(call, workspace), *part_traits_of(call))


def is_part(trait: str) -> bool:
    """Return whether a trait is a prompt part."""
    return trait.startswith(PART_MARK)
