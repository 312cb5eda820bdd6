"""The names of headers and paths on the platform's wire."""

# Headers, in lower case as they are parsed.
REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"  # what the caller will still wait, not a point in time
SIGNATURE = b"x-server-stamp"  # proves which server ran the request
EXPECTED_SERVER = b"x-expect-instance"
NOT_RUN = b"x-not-executed"
WARM_UP_MS = b"x-warmup-ms"
PART_SIGNATURES = b"x-part-stamps"
MISSING_PARTS = b"x-missing-parts"
RETRY_AFTER = b"retry-after"

# Between instances.
CONFIG_VERSION = b"x-currantwharf-config"  # version that the sender has in force
TARGET_LEFT_MS = b"x-currantwharf-target-ms"  # left until the target of the class

# Keys of the store.
CONFIG_KEY = "op/config"
EVACUATED_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"

# Paths.
READY_PATH = b"/currantwharf/ready"
RANGE_PATH = "/currantwharf/kv-range"
WATCH_PATH = "/currantwharf/kv-watch"

SETTINGS_VARIABLE = "CURRANTWHARF_NODE_FILE"
