"""How a daemon decides: one record of the mechanisms that can be switched off or set.

The defaults are what runs. A daemon is made with one record; trials and the tests' mutants make
daemons with another one, so that what a mechanism is worth can be measured (docs/POLICY.md). No
setting of a deployment and no variable of the environment changes it.
"""

from dataclasses import dataclass

from larkpost.common.errors import LarkpostError


class PolicyError(LarkpostError):
    """A policy that no daemon can run."""

    code = "policy"
    status = 500
    remedy = "Give the field a value within the bounds that the message names."


@dataclass(frozen=True, slots=True)
class Policy:
    """The mechanisms of one daemon.

    Attributes:
        hedged_tries: a second server is tried beside the first when that one is slow.
        faster_engine_moves: runs go on at a much faster engine once one has a place.
        stalled_moves: runs that make nothing for a while go on at an engine with a free place.
        long_items_urgent: engines are told how urgent an item is, the longest ones most.
        loading_last: engines that load a version, or are about to, get items only if no others
            have a place.
        long_runs_wish: a long run at a slow engine gets the next free place at a fast one, before
            the items that wait.
        hold_seconds: how long a read that may wait holds results back for those that make a step
            whole; 0 answers with the first one. The last items of a step often end within half a
            second of each other, and a trainer that is answered asks again after as long.
        own_engines_first: for a moment after a batch began its items take places only at the
            engines of their model, as it is not known yet what others take.
        partial_seconds: seconds between two times at which the output of running items is kept
            for another owner; 0 keeps none except at a planned stop. Below the second that a
            step has to spare (round 24).
        longest_first: waiting items get their places in the order of their expected work.
        engines_by_work: the engines are divided among the models by the work of their batches,
            not evenly.
        own_paces: this daemon's measurements of the speed of instances count.
        told_paces: the measurements that other daemons tell count where it has none of its own.
        kept_connections_first: client requests go to an instance to which a connection is kept
            before others that are about as good. Items of batches do not: their engines would
            fill up one by one while others had free places (round 33).
        load_groups: groups of a model's engines that load a version one after the other; 1 loads
            all at once, without waiting for running items. Three leave two thirds to serve.
        near_first: of servers that are about equally fast and loaded, the nearest is taken.
        avoid_failed: an instance that failed or refused is left alone for a moment.
        probe_refusing: an engine that refused gets one item at a time until it takes one.
        coordinators: daemons that give orders and claim batches: enough that not all of them
            fail at once, few enough that their heartbeats fit into one part of the store.
        idle_intervals: daemons that others need not wait for beat and list seldom.
        peer_calls: a peer makes the calls of a daemon that the store turns away.
        lapsed_serve: instances whose entries went while the store was away serve on until it has
            been sound for a while.
        accept_seconds: seconds for which a batch is tried for while the store refuses it, before
            the trainer is sent to another daemon, which may reach the store (round 22).
        replace_servers: servers that are lost for good are ordered anew where they can be ordered;
            else larkpost only says what it would order.
        client_slots_share: share of a server's slots that reward calls leave to clients.
    """

    hedged_tries: bool = True
    faster_engine_moves: bool = True
    stalled_moves: bool = True
    long_items_urgent: bool = True
    long_runs_wish: bool = True
    hold_seconds: float = 0.5
    own_engines_first: bool = True
    loading_last: bool = True
    partial_seconds: float = 0.4
    longest_first: bool = True
    engines_by_work: bool = True
    own_paces: bool = True
    told_paces: bool = True
    kept_connections_first: bool = True
    load_groups: int = 3
    near_first: bool = True
    avoid_failed: bool = True
    probe_refusing: bool = True
    coordinators: int = 12
    idle_intervals: bool = True
    peer_calls: bool = True
    lapsed_serve: bool = True
    accept_seconds: float = 0.6
    client_slots_share: float = 1 / 3
    replace_servers: bool = False

    def __post_init__(self) -> None:
        """Checks the values.

        Raises:
            PolicyError: a value is out of its bounds.
        """
        if self.load_groups < 1:
            raise PolicyError(f"load_groups is {self.load_groups}, it must be 1 or more")
        if self.coordinators < 1:
            raise PolicyError(f"coordinators is {self.coordinators}, it must be 1 or more")
        if self.partial_seconds < 0:
            raise PolicyError(f"partial_seconds is {self.partial_seconds}, it must not be negative")
        if self.hold_seconds < 0:
            raise PolicyError(f"hold_seconds is {self.hold_seconds}, it must not be negative")
        if self.accept_seconds < 0:
            raise PolicyError(f"accept_seconds is {self.accept_seconds}, it must not be negative")
        if not 0 <= self.client_slots_share < 1:
            raise PolicyError(
                f"client_slots_share is {self.client_slots_share}, it must be 0 or more, below 1"
            )


DEFAULT_POLICY = Policy()
