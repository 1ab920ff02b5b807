"""Constants of the metrics."""

from typing import Final

NAME: Final = "metrics"
PREFIX: Final = "lacewingdock_"

# WSGI environment key that the application for callers sets once the workspace
# is known.
ENVIRON_WORKSPACE: Final = "lacewingdock.workspace"

KIND_CHAT: Final = "chat"
KIND_OTHER: Final = "other"
KIND_SERVICE: Final = "service"

# Values of the label `end`: how a request ended.
END_CUT: Final = "cut"
END_GONE: Final = "gone"
END_REFUSED: Final = "refused"
END_WHOLE: Final = "whole"

VERDICT_GOOD: Final = "good"
VERDICT_POOR: Final = "poor"

# Histogram bucket bounds in seconds. An objective's limit is evaluated at the
# bound at or below it, so common limits are among the bounds.
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
