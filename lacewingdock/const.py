"""Constants shared by the daemons and the command line."""

from typing import Final

VERSION: Final = "0.1.0"

ROLE_ENTRY: Final = "entry"
ROLE_SIDECAR: Final = "sidecar"

ENV_PREFIX: Final = "LACEWINGDOCK_"

# Kinds of configuration items; an item's key is "KIND/NAME".
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

# Whether a request ran, as said in answers.
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

# A link that carries work beats this often; an idle one rarely, because at
# 168 links a daemon's control budget is 18 KB/s (docs/CAPACITY.md).
BEAT_BUSY_S: Final = 0.2
BEAT_IDLE_S: Final = 5.0
# Three lost busy beats and some scheduling slack.
SILENCE_S: Final = 0.7
SILENCE_IDLE_S: Final = 16.0

DIAL_TIMEOUT_S: Final = 1.0
HANDSHAKE_TIMEOUT_S: Final = 2.0

MAX_BODY_BYTES: Final = 1024 * 1024
MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
MAX_HELLO_BYTES: Final = 4096
# A decoder in C goes as deep as the interpreter's limit of 1,000 levels and
# takes 256 to 512 KB of stack for it; with less, one nested JSON body ends
# the process. Pages that a task does not touch take no memory.
THREAD_STACK_BYTES: Final = 1024 * 1024
