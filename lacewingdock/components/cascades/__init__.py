"""Support for cascades: which step suffices, learnt by class of request."""

from lacewingdock.components.cascades.policy import (
    CascadePolicy,
    Choice,
    StepChoice,
)

__all__ = ["CascadePolicy", "Choice", "StepChoice"]
