"""Constants of the metrics."""

from typing import Final

NAME: Final = "metrics"
PREFIX: Final = "lacewingdock_"

# Set by the callers' application once it knows the workspace.
ENVIRON_WORKSPACE: Final = "lacewingdock.workspace"

KIND_CHAT: Final = "chat"
KIND_OTHER: Final = "other"
KIND_SERVICE: Final = "service"

# How a request ended.
END_CUT: Final = "cut"
END_GONE: Final = "gone"
END_REFUSED: Final = "refused"
END_WHOLE: Final = "whole"

VERDICT_GOOD: Final = "good"
VERDICT_POOR: Final = "poor"

# Bounds in seconds. An objective's limit is judged at the bound at or below
# it, so the limits that people choose are among them.
FIRST_TOKEN_BOUNDS: Final = (
    0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0,
)  # fmt: skip
INTER_TOKEN_BOUNDS: Final = (
    0.005, 0.01, 0.015, 0.02, 0.025, 0.029, 0.035, 0.05, 0.075, 0.1, 0.2, 0.5,
    1.0, 5.0,
)  # fmt: skip
ATTEMPT_BOUNDS: Final = (
    0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0,
)  # fmt: skip
