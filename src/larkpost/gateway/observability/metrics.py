"""Prometheus metrics of one daemon: counters, gauges and histograms."""

from collections.abc import Mapping
from enum import StrEnum

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SHORT_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0)
"""Histogram buckets for requests and store calls."""
LONG_SECONDS = (0.25, 0.5, 1.0, 2.0, 3.0, 4.5, 6.0, 7.5, 10.0, 20.0, 40.0)
"""Histogram buckets for runs of batch items."""


class Count(StrEnum):
    """Names of the counters; `COUNTERS` holds their descriptions and labels."""

    REQUESTS = "larkpost_requests_total"
    DENIALS = "larkpost_denials_total"
    ATTEMPTS = "larkpost_attempts_total"
    CRASHES = "larkpost_server_crashes_total"
    NOT_PLACED = "larkpost_not_placed_total"
    FORECASTS = "larkpost_forecasts_total"
    SHARES = "larkpost_share_decisions_total"
    STORE_CALLS = "larkpost_store_calls_total"
    BATCH_CALLS = "larkpost_batch_calls_total"
    ITEM_RUNS = "larkpost_item_runs_total"
    REWARD_CALLS = "larkpost_reward_calls_total"
    RESULTS = "larkpost_results_total"
    APPENDS = "larkpost_appends_total"
    ORDERS = "larkpost_orders_total"
    CLAIMS = "larkpost_batch_claims_total"
    SERVER_ORDERS = "larkpost_server_orders_total"
    USAGE_REPORTS = "larkpost_usage_reports_total"
    SILENT_CONNECTIONS = "larkpost_silent_connections_total"
    NO_ROOM = "larkpost_no_room_total"
    READERS_CUT = "larkpost_readers_cut_total"
    SPOILED_ENTRIES = "larkpost_spoiled_entries_total"
    LINES_LEFT_OUT = "larkpost_log_lines_left_out_total"


COUNTERS: dict[Count, tuple[str, tuple[str, ...]]] = {
    Count.REQUESTS: ("Client requests answered.", ("route", "outcome")),
    Count.DENIALS: ("Calls that the configuration does not allow.", ("reason",)),
    Count.ATTEMPTS: ("Attempts of client requests at servers.", ("service", "outcome")),
    Count.CRASHES: ("Servers that crashed under requests of this daemon.", ("evidence",)),
    Count.NOT_PLACED: (
        "Sends that were not made, as a rule of placement forbade them.",
        ("work", "verdict"),
    ),
    Count.FORECASTS: (
        "Forecasts at the arrival of client requests, and what became of them.",
        ("route", "forecast", "outcome"),
    ),
    Count.SHARES: (
        "Client requests beyond their tenant's share, and what became of them.",
        ("service", "outcome"),
    ),
    Count.STORE_CALLS: ("Calls to the store.", ("call", "outcome")),
    Count.BATCH_CALLS: ("Calls that concern batches.", ("call", "outcome")),
    Count.ITEM_RUNS: ("Runs of batch items at engines.", ("outcome",)),
    Count.REWARD_CALLS: ("Reward calls of batch items at servers.", ("outcome",)),
    Count.RESULTS: ("Results appended to batches.", ("state",)),
    Count.APPENDS: ("Appends to batches.", ("outcome",)),
    Count.ORDERS: ("Orders given to engines.", ("outcome",)),
    Count.CLAIMS: ("Batches claimed from daemons held dead.", ("outcome",)),
    Count.SERVER_ORDERS: ("Orders of servers, or due ones not given.", ("outcome",)),
    Count.USAGE_REPORTS: ("Usage reports sent, or not.", ("outcome",)),
    Count.SILENT_CONNECTIONS: (
        "Addresses whose open connections were taken to be silent for good.",
        ("to",),
    ),
    Count.NO_ROOM: ("Bytes that were not held, as there was no room.", ("purpose",)),
    Count.READERS_CUT: ("Clients cut as they took their answers too slowly.", ("reason",)),
    Count.SPOILED_ENTRIES: ("Entries of servers that name no server to use.", ()),
    Count.LINES_LEFT_OUT: ("Log lines left out.", ("event",)),
}


class Level(StrEnum):
    """Names of the gauges; `GAUGES` holds their descriptions and labels."""

    CONFIGURATION_VERSION = "larkpost_configuration_version"
    FEED_AGE = "larkpost_feed_age_seconds"
    INSTANCES = "larkpost_instances"
    INSTANCES_COLD = "larkpost_instances_cold"
    INSTANCES_OF_SUBSET = "larkpost_subset_instances"
    MEMBERS = "larkpost_members_alive"
    OPEN_REQUESTS = "larkpost_open_requests"
    BATCHES_OWNED = "larkpost_batches_owned"
    ITEMS_RUNNING = "larkpost_items_running"
    REWARDS_WAITING = "larkpost_rewards_waiting"
    RESULTS_WAITING = "larkpost_results_waiting"
    LOOP_LAG = "larkpost_loop_lag_seconds"
    READY = "larkpost_ready"
    SERVERS_NEEDED = "larkpost_servers_needed"
    COORDINATOR = "larkpost_coordinator"
    STORE_RELAYED = "larkpost_store_relayed"
    QUARANTINED = "larkpost_quarantined"
    CRASHES_KNOWN = "larkpost_crashes_known"
    EVACUATED = "larkpost_evacuated"
    EVACUATED_REQUESTS = "larkpost_evacuated_requests"
    BYTES_HELD = "larkpost_bytes_held"
    BYTES_LIMIT = "larkpost_bytes_limit"


GAUGES: dict[Level, tuple[str, tuple[str, ...]]] = {
    Level.CONFIGURATION_VERSION: ("Version of the configuration in force here.", ()),
    Level.FEED_AGE: ("Seconds since a table's feed was last confirmed.", ("table",)),
    Level.INSTANCES: ("Instances known.", ("state",)),
    Level.INSTANCES_COLD: ("Instances that are cold and bear few requests.", ()),
    Level.INSTANCES_OF_SUBSET: (
        "Instances of a large service to which this daemon sends its requests.",
        ("service",),
    ),
    Level.MEMBERS: ("Daemons held alive.", ()),
    Level.OPEN_REQUESTS: ("Requests being answered.", ()),
    Level.BATCHES_OWNED: ("Batches that this daemon runs.", ()),
    Level.ITEMS_RUNNING: ("Items of owned batches without a result.", ()),
    Level.REWARDS_WAITING: ("Whole outputs of owned batches without a score.", ()),
    Level.RESULTS_WAITING: ("Results that wait for their append.", ()),
    Level.LOOP_LAG: ("Largest delay of the event loop since the last reading.", ()),
    Level.COORDINATOR: (
        "Whether this daemon gives orders and claims batches (1) or not (0).",
        (),
    ),
    Level.STORE_RELAYED: ("Whether a peer makes this daemon's calls to the store (1).", ()),
    Level.SERVERS_NEEDED: ("Servers that the demand takes; 0 if not known.", ("service",)),
    Level.QUARANTINED: ("Contents that no client's request is sent on with.", ()),
    Level.CRASHES_KNOWN: ("Crashes of servers that are remembered, of all daemons.", ()),
    Level.EVACUATED: ("Zones whose evacuation this daemon knows of (1).", ("zone",)),
    Level.EVACUATED_REQUESTS: (
        "Requests and runs of this daemon at instances of evacuated zones.",
        ("zone",),
    ),
    Level.BYTES_HELD: ("Bytes that this daemon holds for others.", ("purpose",)),
    Level.BYTES_LIMIT: ("Most bytes that it may hold for others; 0 without a limit.", ()),
    Level.READY: ("Whether new clients may come (1) or not (0).", ()),
}


class Timing(StrEnum):
    """Names of the histograms; `HISTOGRAMS` holds their descriptions, labels and buckets."""

    REQUEST = "larkpost_request_seconds"
    STORE_CALL = "larkpost_store_call_seconds"
    ITEM_QUEUE = "larkpost_item_queue_seconds"
    ITEM_FIRST_EVENT = "larkpost_item_first_event_seconds"
    ITEM_RUN = "larkpost_item_run_seconds"
    REWARD = "larkpost_reward_seconds"
    REWARD_CALL = "larkpost_reward_call_seconds"
    APPEND_WAIT = "larkpost_append_wait_seconds"


HISTOGRAMS: dict[Timing, tuple[str, tuple[str, ...], tuple[float, ...]]] = {
    Timing.REQUEST: ("Time a client request was held.", ("route",), SHORT_SECONDS),
    Timing.STORE_CALL: ("Time of a call to the store.", ("call",), SHORT_SECONDS),
    Timing.ITEM_QUEUE: ("Time until an item's first run began.", (), LONG_SECONDS),
    Timing.ITEM_FIRST_EVENT: ("Time from a run's start to its first event.", (), SHORT_SECONDS),
    Timing.ITEM_RUN: ("Time of a run at an engine.", (), LONG_SECONDS),
    Timing.REWARD: ("Time from a whole output to its score.", (), SHORT_SECONDS),
    Timing.REWARD_CALL: ("Time of one reward call at a server.", (), SHORT_SECONDS),
    Timing.APPEND_WAIT: ("Time from a result's end to its append.", (), SHORT_SECONDS),
}


class Metrics:
    """The metrics of one daemon, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._counts = {
            count: Counter(count.value.removesuffix("_total"), text, labels, registry=self.registry)
            for count, (text, labels) in COUNTERS.items()
        }
        self._levels = {
            level: Gauge(level.value, text, labels, registry=self.registry)
            for level, (text, labels) in GAUGES.items()
        }
        self._timings = {
            timing: Histogram(timing.value, text, labels, registry=self.registry, buckets=buckets)
            for timing, (text, labels, buckets) in HISTOGRAMS.items()
        }

    def count(self, count: Count, *labels: str, amount: float = 1) -> None:
        """Increments a counter."""
        metric = self._counts[count]
        (metric.labels(*labels) if labels else metric).inc(amount)

    def set(self, level: Level, value: float, *labels: str) -> None:
        """Sets a gauge."""
        metric = self._levels[level]
        (metric.labels(*labels) if labels else metric).set(value)

    def replace(self, level: Level, values: Mapping[str, float]) -> None:
        """Sets a gauge with one label, and removes the label values that are not given."""
        metric = self._levels[level]
        metric.clear()
        for label, value in values.items():
            metric.labels(label).set(value)

    def observe(self, timing: Timing, seconds: float, *labels: str) -> None:
        """Records a value in a histogram."""
        metric = self._timings[timing]
        (metric.labels(*labels) if labels else metric).observe(seconds)

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
