"""Constants of the operators' language."""

from typing import Final

NAME: Final = "language"

MAX_LINE_CHARS: Final = 2000
MAX_ROWS: Final = 10_000

ROLE_ADMIN: Final = "admin"
ROLE_OPERATOR: Final = "operator"
ROLE_VIEWER: Final = "viewer"
ROLE_RANKS: Final = {ROLE_VIEWER: 0, ROLE_OPERATOR: 1, ROLE_ADMIN: 2}

SHOW_KINDS: Final = (
    "cascades",
    "commands",
    "instances",
    "items",
    "leases",
    "models",
    "operators",
    "revisions",
    "rollouts",
    "services",
    "sessions",
    "upstreams",
    "versions",
    "workspaces",
)

KEYWORDS: Final = (
    "abort",
    "and",
    "as",
    "by",
    "desc",
    "dry",
    "every",
    "evidence",
    "explain",
    "if",
    "in",
    "limit",
    "offer",
    "or",
    "order",
    "out",
    "parallel",
    "pause",
    "resume",
    "revision",
    "roll",
    "route",
    "run",
    "show",
    "steps",
    "stop",
    "unload",
    "where",
    "withdraw",
)
