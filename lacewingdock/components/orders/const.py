"""Constants for the orders component."""

from typing import Final

NAME: Final = "orders"

ACTION_LOAD: Final = "load"
ACTION_ROLE: Final = "role"
ACTION_STOP: Final = "stop"
ACTION_UNLOAD: Final = "unload"
ENGINE_ACTIONS: Final = (ACTION_LOAD, ACTION_ROLE, ACTION_UNLOAD)

STATE_BUSY: Final = "busy"
STATE_FAILED: Final = "failed"
STATE_LOADED: Final = "loaded"
STATE_LOADING: Final = "loading"
STATE_STOPPING: Final = "stopping"
STATE_UNLOADED: Final = "unloaded"

# Timeout in seconds of an order's HTTP request to the engine, and of an order
# over a link until its answer.
ENGINE_TIMEOUT_S: Final = 2.0
ORDER_TIMEOUT_S: Final = 6.0
# Age in seconds at which the fencing check of an order is repeated before the
# order reaches the engine: the sidecar was frozen in between, and another
# holder may have taken over.
CHECK_AGE_S: Final = 1.0
