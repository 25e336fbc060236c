"""The platform's names: headers, calls, tables and keys. Source: the users' protocol page.

The fields of documents stand where the documents are read. A header that holds a time is named
after its unit; all others hold text or whole numbers.
"""

SETTINGS_VARIABLE = "LARKPOST_NODE_FILE"
SETTINGS_PATH = "/etc/larkpost/node.toml"

# Headers, in lower case as the HTTP server hands them over.
REQUEST_ID = b"larkpost-attempt-id"
"""The caller's id of one attempt; a caller that asks again sends another."""
DEADLINE_MS = b"larkpost-deadline-ms"
"""Not a time of day: the milliseconds that the caller still waits."""
SERVER_SIGNATURE = b"larkpost-server-stamp"
"""The signature by which a server marks a response as its own."""
EXPECT_INSTANCE = b"larkpost-expect-instance"
EXPECT_VERSION = b"larkpost-expect-version"
INSTANCE_ID = b"larkpost-instance-id"
INSTANCE_LOAD = b"larkpost-instance-load"
"""Requests running, requests waiting and slots, separated by commas."""
COLD_MS = b"larkpost-cold-ms"
"""Milliseconds for which a server stays cold."""
NOT_EXECUTED = b"larkpost-not-executed"
"""Its presence alone says that the request did not run."""
WAIT_MS = b"larkpost-wait-ms"
REQUEST_PRIORITY = b"larkpost-request-priority"
WEIGHT_VERSIONS = b"larkpost-weight-versions"
"""One number in spite of the plural; also the name of a line in an event."""
LENGTH_HINT = b"larkpost-length-hint"
MODEL = b"larkpost-model"
LAST_EVENT_ID = b"last-event-id"
API_KEY = b"api-key"
TENANT = b"larkpost-tenant"
CALLER_HEADERS = frozenset({API_KEY, TENANT})
"""Headers that say who calls: a server gets the tenant's name from larkpost, and never a key."""

LEASE_HOLDER = b"larkpost-lease-holder"
FENCING_TOKEN = b"larkpost-fencing-token"

# Calls to the store.
TRANSACTION_PATH = "/-/rows-tx"
READ_PATH = "/-/rows-get"
FEED_PATH = "/-/rows-feed"

# Calls to the platform that one daemon at a time makes.
USAGE_PATH = "/usage"
USAGE_DUTY = "usage"
SCALING_PATH = "/scale"
SCALING_DUTY = "autoscale"

# Calls to servers.
REPORT_PATH = "/-/report"
ORDER_PATH = "/-/order"

# Calls that come to larkpost.
READY_PATH = "/-/ready"
RESERVED_PATH_PREFIX = b"/-/"
BATCH_PATH_PREFIX = b"/-/lots/"
ITEM_PATH_PREFIX = b"/-/items/"

# Rows of the platform's own.
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
VERSION_KEY_PREFIX = "version/"
EVACUATION_KEY_PREFIX = "evacuate/"
SERVER_TABLE = "servers"
"""One row for each server, under its instance id."""
