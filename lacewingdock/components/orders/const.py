"""Constants of the orders."""

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

ENGINE_TIMEOUT_S: Final = 2.0
ORDER_TIMEOUT_S: Final = 6.0
# An order that was checked longer ago than this is checked again: the sidecar
# was frozen in between, and another holder may have taken over.
CHECK_AGE_S: Final = 1.0
