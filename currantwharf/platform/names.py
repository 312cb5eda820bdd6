"""Header names, store keys and paths of the platform's wire format."""

# Headers, in lower case like the names of parsed headers.
REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"  # time that the caller keeps waiting, not a timestamp
SIGNATURE = b"x-server-stamp"  # proves which server ran the request
EXPECTED_SERVER = b"x-expect-instance"
NOT_RUN = b"x-not-executed"
WARM_UP_MS = b"x-warmup-ms"
SERVER_LEAVING = b"server-leaving"  # "1" in all answers of a server that leaves
SERVER_LIMIT = b"server-limit"  # requests per second from all instances together
STORE_ERA = b"store-era"  # rises each time the store is restored from an older copy
PART_SIGNATURES = b"x-part-stamps"
MISSING_PARTS = b"x-missing-parts"
RETRY_AFTER = b"retry-after"

# Headers between instances.
CONFIG_VERSION = b"x-currantwharf-config"  # version in force at the sender
TARGET_LEFT_MS = b"x-currantwharf-target-ms"  # time until the route's latency target
HELD = b"x-currantwharf-held"  # the query crashes servers, so nobody is to run it

# Keys of the store.
CONFIG_KEY = "op/config"
EVACUATED_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"

# Paths.
READY_PATH = b"/currantwharf/ready"
RANGE_PATH = "/currantwharf/kv-range"
WATCH_PATH = "/currantwharf/kv-watch"

SETTINGS_VARIABLE = "CURRANTWHARF_NODE_FILE"
