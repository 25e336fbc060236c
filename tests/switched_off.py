"""Mechanisms of a daemon switched off, each by one function or figure that is replaced.

A test that shows what a mechanism changes plays the same scene with it and without it. Daemons have
no such switches.
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
    """No second server is tried beside a slow one."""
    return mock.patch.object(ServerChoice, "hedge_delay", lambda *_: None)


def moves_to_faster_engines():
    """No run asks for the next free place at a faster engine, so none leaves its engine for one."""
    return mock.patch.object(FasterEngineRequest, "request_if_slow", lambda *_: None)


def moves_of_stalled_runs():
    """No run that makes nothing leaves its engine."""
    return mock.patch.object(BatchRun, "_watch_for_stalls", _nothing)


def ranks_of_items():
    """Engines get no priority of an item."""
    return mock.patch.object(EngineRunner, "_priority", lambda *_: None)


def own_engines_first():
    """A new batch takes any engine at once."""
    return mock.patch.object(EngineSelector, "_allowed_engines", lambda *_: None)


def held_reads():
    """A read that may wait is answered with the first result."""
    return mock.patch.object(BatchReader, "_may_hold", lambda *_: False)


def kept_partial_outputs():
    """The output of running items is not kept for another owner."""
    return mock.patch.object(OwnedBatch, "_save_outputs_periodically", _nothing)


def kept_connections_first():
    """A kept connection counts no more than a new one."""
    return mock.patch.object(ranking, "NEW_CONNECTION_FACTOR", 1.0)


def pauses_after_failures():
    """An instance that failed gets the next request like any other."""
    return mock.patch.object(balancer.Balancer, "avoid", lambda *_: None)


def slots_left_to_clients():
    """Reward calls may take all slots of a server."""
    return mock.patch.object(reward_rules, "CLIENT_RESERVED_SHARE", 0.0)


def early_refusal_of_batches():
    """A batch is tried for much longer while the store refuses it."""
    return mock.patch.object(service, "ACCEPT_SECONDS", 3.0)


def most_coordinators():
    """Two daemons coordinate in place of a dozen."""
    return mock.patch.object(coordinators, "COORDINATOR_COUNT", 2)


@contextlib.contextmanager
def all_moves():
    """Runs stay at their engines, so that some last long."""
    with moves_to_faster_engines(), moves_of_stalled_runs():
        yield


async def _nothing(*_) -> None:
    """Does nothing, in place of background work."""
