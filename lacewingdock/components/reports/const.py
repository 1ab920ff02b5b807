"""Constants of the reports."""

from typing import Final

HOUR_S: Final = 3600.0
DAY_S: Final = 24 * HOUR_S

# Windows by the name they are shown with, in seconds; the last one is the
# period that the error budget is for.
WINDOWS: Final[dict[str, float]] = {
    "5m": HOUR_S / 12,
    "30m": HOUR_S / 2,
    "1h": HOUR_S,
    "6h": 6 * HOUR_S,
    "3d": 3 * DAY_S,
    "30d": 30 * DAY_S,
}
PERIOD: Final = "30d"

# An alert holds while the burn rate is above the bound in both windows: the
# long one shows that it matters, the short one that it still goes on.
# (alert, long window, short window, bound)
ALERTS: Final = (
    ("page", "1h", "5m", 14.4),
    ("page", "6h", "30m", 6.0),
    ("ticket", "3d", "6h", 1.0),
)
NO_ALERT: Final = "ok"
NO_DATA: Final = "no data"

# Limits in seconds where an objective names none.
DEFAULT_LIMITS: Final = {"first_token": 1.0, "inter_token": 0.029}

# Older samples are thinned: (older than seconds, one in each so many seconds).
THINNING: Final = (
    (6 * HOUR_S, HOUR_S),
    (2 * HOUR_S, HOUR_S / 12),
)
