"""Constants shared by the daemons and the command line."""

from typing import Final

VERSION: Final = "0.1.0"

ROLE_ENTRY: Final = "entry"
ROLE_SIDECAR: Final = "sidecar"

ENV_PREFIX: Final = "LACEWINGDOCK_"

# Kinds of configuration items; the key of an item is "KIND/NAME".
KIND_CASCADE: Final = "cascade"
KIND_MODEL: Final = "model"
KIND_QUARANTINE: Final = "quarantine"
KIND_OPERATOR: Final = "operator"
KIND_SERVICE: Final = "service"
KIND_VERSION: Final = "version"
KIND_WORKSPACE: Final = "workspace"

# Collections of the platform's object API.
COLLECTION_CLAIMS: Final = "claims"
COLLECTION_COMMANDS: Final = "commands"
COLLECTION_CONFIG: Final = "config"
COLLECTION_EXPOSURE: Final = "exposure"
COLLECTION_LEASES: Final = "leases"
COLLECTION_LEDGER: Final = "ledger"
COLLECTION_ROLLOUTS: Final = "rollouts"

# Whether a request ran, as reported in error responses.
RAN_NO: Final = "no"
RAN_UNKNOWN: Final = "unknown"
RAN_YES: Final = "yes"

HEADER_CLASS: Final = "Lacewingdock-Class"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_LAST_EVENT_ID: Final = "Last-Event-ID"
HEADER_PRIORITY: Final = "Lacewingdock-Priority"
HEADER_REQUEST_ID: Final = "Lacewingdock-Request-Id"
HEADER_SESSION: Final = "Lacewingdock-Session"
HEADER_TIMEOUT: Final = "Lacewingdock-Timeout"
HEADER_VERSION: Final = "Lacewingdock-Version"

# Seconds between heartbeats of a busy and of an idle link. Idle links send them
# rarely, because at 168 links a daemon's control budget is 18 KB/s
# (docs/CAPACITY.md).
BEAT_BUSY_S: Final = 0.2
BEAT_IDLE_S: Final = 5.0
# Seconds of silence after which a busy and an idle link are closed. The busy
# limit allows for three lost heartbeats and some scheduling delay.
SILENCE_S: Final = 0.7
SILENCE_IDLE_S: Final = 16.0

# Timeouts, in seconds, of connecting to a peer and of its handshake.
DIAL_TIMEOUT_S: Final = 1.0
HANDSHAKE_TIMEOUT_S: Final = 2.0

# Size limits, in bytes, of a request body, a frame and a handshake frame.
MAX_BODY_BYTES: Final = 1024 * 1024
MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
MAX_HELLO_BYTES: Final = 4096
# Stack size of a thread in bytes. A decoder in C recurses up to the interpreter
# limit of 1,000 levels and needs 256 to 512 KB of stack for it; with less, one
# deeply nested JSON body crashes the process. Untouched pages use no memory.
THREAD_STACK_BYTES: Final = 1024 * 1024
