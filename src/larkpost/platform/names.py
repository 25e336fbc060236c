"""The platform's names: headers, paths, tables and keys.

Field names of documents are in the modules that parse them. Names of headers that hold a time end
in its unit; all others hold text or integers.
"""

SETTINGS_VARIABLE = "LARKPOST_NODE_FILE"
SETTINGS_PATH = "/etc/larkpost/node.toml"

# Headers, in lower case as the HTTP server hands them over.
REQUEST_ID = b"larkpost-attempt-id"
"""The caller's id of one attempt; each retry has a new one."""
DEADLINE_MS = b"larkpost-deadline-ms"
"""Remaining milliseconds until the caller gives up; not a time of day."""
SERVER_SIGNATURE = b"larkpost-server-stamp"
"""The server's signature of a response."""
EXPECT_INSTANCE = b"larkpost-expect-instance"
EXPECT_VERSION = b"larkpost-expect-version"
INSTANCE_ID = b"larkpost-instance-id"
INSTANCE_LOAD = b"larkpost-instance-load"
"""Requests running, requests waiting and slots, separated by commas."""
COLD_MS = b"larkpost-cold-ms"
"""Milliseconds until a server has warmed up."""
NOT_EXECUTED = b"larkpost-not-executed"
"""Present, with any value, if the request was not executed."""
WAIT_MS = b"larkpost-wait-ms"
REQUEST_PRIORITY = b"larkpost-request-priority"
WEIGHT_VERSIONS = b"larkpost-weight-versions"
"""A single version despite the plural; also the name of a field in stream events."""
LENGTH_HINT = b"larkpost-length-hint"
MODEL = b"larkpost-model"
LAST_EVENT_ID = b"last-event-id"
API_KEY = b"api-key"
TENANT = b"larkpost-tenant"
CALLER_HEADERS = frozenset({API_KEY, TENANT})
"""Headers that identify the caller. A server gets the tenant's name from larkpost, never a key."""

LEASE_HOLDER = b"larkpost-lease-holder"
FENCING_TOKEN = b"larkpost-fencing-token"

# Paths of the store.
TRANSACTION_PATH = "/-/rows-tx"
READ_PATH = "/-/rows-get"
FEED_PATH = "/-/rows-feed"

# Platform calls that one daemon at a time makes under a lease: their paths and names in settings.
USAGE_PATH = "/usage"
USAGE_DUTY = "usage"
SCALING_PATH = "/scale"
SCALING_DUTY = "autoscale"

# Paths of servers.
REPORT_PATH = "/-/report"
ORDER_PATH = "/-/order"

# Paths of larkpost.
READY_PATH = "/-/ready"
RESERVED_PATH_PREFIX = b"/-/"
BATCH_PATH_PREFIX = b"/-/lots/"
ITEM_PATH_PREFIX = b"/-/items/"

# Store tables and keys of the platform.
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
VERSION_KEY_PREFIX = "version/"
EVACUATION_KEY_PREFIX = "evacuate/"
SERVER_TABLE = "servers"
"""One row per server; the key is its instance id."""
