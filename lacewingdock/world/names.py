"""Support for names of configured things and of instances."""

from typing import Annotated, Final

from msgspec import Meta

# "$" would also match before a line feed at the end.
NAME_PATTERN: Final = r"^[a-z0-9][a-z0-9.-]{0,62}\Z"

Name = Annotated[
    str,
    Meta(
        pattern=NAME_PATTERN,
        description="lower-case letters, digits, '.' and '-', at most 63",
    ),
]
