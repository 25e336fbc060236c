"""The faults of a run, generated from its seed before it starts."""

import random
from dataclasses import dataclass
from enum import StrEnum

from tests.process_soak.proxy import LinkFault


class Kind(StrEnum):
    """Kinds of faults; the prefix names the target."""

    DAEMON_KILL = "daemon_kill"  # SIGKILL, restarted at its address after a while
    DAEMON_MOVE = "daemon_move"  # SIGKILL, another one starts at a new address
    DAEMON_STOP = "daemon_stop"  # SIGTERM with requests in flight, then restarted
    DAEMON_PAUSE = "daemon_pause"  # SIGSTOP and SIGCONT, also past the lease
    DAEMON_SUSPEND = "daemon_suspend"  # paused while its monotonic clock is stopped
    ALL_DAEMONS_KILL = "all_daemons_kill"
    GOOD_SETTINGS = "good_settings"  # SIGHUP after a harmless change of the settings
    BAD_SETTINGS = "bad_settings"  # SIGHUP after a change that must be refused
    STORE_REFUSES = "store_refuses"  # all calls of daemons
    STORE_TURNS_AWAY = "store_turns_away"  # one daemon's calls
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_WRITES_LATE = "store_writes_late"  # some writes get no answer and are done later
    STORE_SLOW = "store_slow"
    STORE_PARTS_DOWN = "store_parts_down"
    STORE_FORGETS = "store_forgets"  # its history
    STORE_PAUSE = "store_pause"  # the store is paused for all callers
    STORE_LINK = "store_link"  # a daemon's link to the store
    SERVER_LINK = "server_link"  # all daemons' link to a server
    FRONT_LINK = "front_link"  # the callers' link to a daemon
    SERVER_GARBLES = "server_garbles"  # extra responses, or noise in their place
    ORDERS_LATE = "orders_late"  # an engine leaves orders unanswered and executes them later
    SERVER_KILL = "server_kill"  # a new instance starts at the same address
    SERVER_PAUSE = "server_pause"
    CRASHING_REQUEST = "crashing_request"  # is sent repeatedly, and crashes servers
    SCORER_FAILS = "scorer_fails"  # a server answers every page with 500
    CONFIGURATION = "configuration"  # a new configuration with another route
    EVACUATION = "evacuation"  # of a zone, ended after a while
    STOPS_IN_TURN = "stops_in_turn"  # SIGTERM to each daemon, repeated, with SIGHUP between
    SERVER_WAVES = "server_waves"  # engines crash again and again, and are soon back
    CRASHING_ITEM = "crashing_item"  # of a batch, beside harmless ones
    ALL_WRITES_LATE = "all_writes_late"  # no write gets an answer; all are done later
    SERVER_SLOW = "server_slow"  # an engine makes events slowly, so that runs move from it
    ROUTE_GONE = "route_gone"  # the configuration has no route for batches, for a while


class Focus(StrEnum):
    """Which kinds of faults a run draws."""

    MIX = "mix"
    STOPS = "stops"
    CRASHES = "crashes"
    LATE = "late"
    ROUTES = "routes"


FOCUSED_KINDS = {
    Focus.STOPS: (
        Kind.STOPS_IN_TURN,
        Kind.DAEMON_STOP,
        Kind.DAEMON_STOP,
        Kind.GOOD_SETTINGS,
        Kind.BAD_SETTINGS,
        Kind.CONFIGURATION,
    ),
    Focus.CRASHES: (
        Kind.SERVER_WAVES,
        Kind.SERVER_WAVES,
        Kind.CRASHING_ITEM,
        Kind.CRASHING_REQUEST,
        Kind.SERVER_KILL,
        Kind.CONFIGURATION,
    ),
    Focus.LATE: (
        Kind.ALL_WRITES_LATE,
        Kind.ALL_WRITES_LATE,
        Kind.STORE_WRITES_LATE,
        Kind.STORE_LOSES_ANSWERS,
        Kind.DAEMON_STOP,
    ),
    Focus.ROUTES: (
        Kind.SERVER_SLOW,
        Kind.SERVER_SLOW,
        Kind.ROUTE_GONE,
        Kind.CONFIGURATION,
    ),
}
FOCUS_ONLY_KINDS = {
    Kind.STOPS_IN_TURN,
    Kind.SERVER_WAVES,
    Kind.CRASHING_ITEM,
    Kind.ALL_WRITES_LATE,
    Kind.SERVER_SLOW,
    Kind.ROUTE_GONE,
}
"""Kinds that the mix leaves out, so that a kept seed draws the same plan as ever."""
MIXED_KINDS = tuple(kind for kind in Kind if kind not in FOCUS_ONLY_KINDS)
PLANNED_KINDS = {
    Kind.STOPS_IN_TURN,
    Kind.DAEMON_STOP,
    Kind.GOOD_SETTINGS,
    Kind.BAD_SETTINGS,
    Kind.CONFIGURATION,
    Kind.ROUTE_GONE,
}
"""Planned work, which excuses no request that is cut."""
LONGEST_SECONDS = {
    Kind.STORE_PAUSE: 3.0,
    Kind.SERVER_PAUSE: 3.0,
    Kind.SCORER_FAILS: 2.0,
    Kind.EVACUATION: 20.0,
    Kind.SERVER_SLOW: 20.0,
}
DISRUPTIVE_KINDS = {
    Kind.DAEMON_PAUSE,
    Kind.DAEMON_SUSPEND,
    Kind.STORE_REFUSES,
    Kind.STORE_TURNS_AWAY,
    Kind.STORE_SLOW,
    Kind.STORE_PAUSE,
    Kind.STORE_LINK,
    Kind.SERVER_LINK,
    Kind.SERVER_PAUSE,
}
"""Faults that delay updates to daemons, or requests in transit to servers."""
CRASH_REPORT_LOSING_KINDS = DISRUPTIVE_KINDS | {
    Kind.DAEMON_KILL,
    Kind.DAEMON_MOVE,
    Kind.DAEMON_STOP,
    Kind.ALL_DAEMONS_KILL,
    Kind.STORE_LOSES_ANSWERS,
    Kind.STORE_WRITES_LATE,
    Kind.STORE_PARTS_DOWN,
    Kind.STOPS_IN_TURN,
    Kind.ALL_WRITES_LATE,
}
"""Faults that may lose or delay crash reports: daemon exits and all faults of the store."""
USUAL_LONGEST_SECONDS = 5.0
SHORTEST_SECONDS = 0.3
GARBLES = (LinkFault.EXTRA, LinkFault.GARBLE)
"""Link faults for servers only; the store and the daemons keep to the protocol."""
LINK_FAULTS = tuple(fault for fault in LinkFault if fault not in (LinkFault.NONE, *GARBLES))


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        at: seconds after the start of the load.
        seconds: its duration.
        target: index of the target, modulo the number of targets of the kind.
        link: the effect on the bytes, for faults of links.
    """

    at: float
    kind: Kind
    seconds: float
    target: int
    link: LinkFault


def draw_plan(seed: int, seconds: float, gap: float, focus: Focus = Focus.MIX) -> list[Fault]:
    """Returns the faults of a run, with a mean interval of ``gap`` seconds."""
    kinds = FOCUSED_KINDS.get(focus, MIXED_KINDS)
    rng = random.Random(seed)
    faults = []
    at = rng.uniform(0.5, 1.5) * gap
    while at < seconds:
        kind = rng.choice(kinds)
        longest = LONGEST_SECONDS.get(kind, USUAL_LONGEST_SECONDS)
        faults.append(
            Fault(
                round(at, 2),
                kind,
                round(rng.uniform(SHORTEST_SECONDS, longest), 2),
                rng.randrange(1000),
                rng.choice(GARBLES if kind is Kind.SERVER_GARBLES else LINK_FAULTS),
            )
        )
        at += rng.expovariate(1 / gap)
    return faults
