"""Support for cascades: which step suffices, learnt by class of request."""

from lacewingdock.components.cascades.coordinator import (
    Cascades,
    Route,
    Seen,
    class_of,
    setup,
)
from lacewingdock.components.cascades.policy import (
    CascadePolicy,
    Choice,
    StepChoice,
)

__all__ = [
    "CascadePolicy",
    "Cascades",
    "Choice",
    "Route",
    "Seen",
    "StepChoice",
    "class_of",
    "setup",
]
