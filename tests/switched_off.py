"""Patches that disable single mechanisms of a daemon.

A test that shows the effect of a mechanism runs the same scenario with and without it.
"""

import contextlib
from unittest import mock

from larkpost.gateway.controllers import coordinators
from larkpost.gateway.proxy import balancer, ranking
from larkpost.gateway.proxy.server_choice import ServerChoice
from larkpost.gateway.rollouts import reward_rules, service
from larkpost.gateway.rollouts.batch_run import BatchRun
from larkpost.gateway.rollouts.engine_runner import EngineRunner
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.rollouts.faster_engine import FasterEngineRequest
from larkpost.gateway.rollouts.owned_batch import OwnedBatch
from larkpost.gateway.rollouts.reader import BatchReader


def hedged_attempts():
    """Sends no hedged requests."""
    return mock.patch.object(ServerChoice, "hedge_delay", lambda *_: None)


def moves_to_faster_engines():
    """Disables migration to faster engines."""
    return mock.patch.object(FasterEngineRequest, "request_if_slow", lambda *_: None)


def moves_of_stalled_runs():
    """Leaves stalled runs at their engines."""
    return mock.patch.object(BatchRun, "_watch_for_stalls", _nothing)


def ranks_of_items():
    """Sends items without a priority."""
    return mock.patch.object(EngineRunner, "_priority", lambda *_: None)


def own_engines_first():
    """Lets a new batch use any engine at once."""
    return mock.patch.object(EngineSelector, "_allowed_engines", lambda *_: None)


def held_reads():
    """Answers a waiting read as soon as there is a result."""
    return mock.patch.object(BatchReader, "_may_hold", lambda *_: False)


def kept_partial_outputs():
    """Does not store the partial outputs of running items."""
    return mock.patch.object(OwnedBatch, "_save_outputs_periodically", _nothing)


def kept_connections_first():
    """Does not prefer servers with an open connection."""
    return mock.patch.object(ranking, "NEW_CONNECTION_FACTOR", 1.0)


def pauses_after_failures():
    """Does not avoid instances after failures."""
    return mock.patch.object(balancer.Balancer, "avoid", lambda *_: None)


def slots_left_to_clients():
    """Lets reward calls use all slots of a server."""
    return mock.patch.object(reward_rules, "CLIENT_RESERVED_SHARE", 0.0)


def early_refusal_of_batches():
    """Retries much longer while the store refuses a batch."""
    return mock.patch.object(service, "ACCEPT_SECONDS", 3.0)


def most_coordinators():
    """Elects only two coordinators."""
    return mock.patch.object(coordinators, "COORDINATOR_COUNT", 2)


@contextlib.contextmanager
def all_moves():
    """Disables all migrations, so that runs at slow engines last long."""
    with moves_to_faster_engines(), moves_of_stalled_runs():
        yield


async def _nothing(*_) -> None:
    """Replaces a background task by nothing."""
