"""Support for names of configured objects and instances."""

from typing import Annotated, Final

from msgspec import Meta

# "\Z" instead of "$", which also matches before a trailing line feed.
NAME_PATTERN: Final = r"^[a-z0-9][a-z0-9.-]{0,62}\Z"

Name = Annotated[
    str,
    Meta(
        pattern=NAME_PATTERN,
        description="lower-case letters, digits, '.' and '-', at most 63",
    ),
]
