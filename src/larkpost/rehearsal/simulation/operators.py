"""Simulated operators, which plan, confirm and drain, and record the responses."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

from larkpost.common.errors import LarkpostError, OutdatedPlanError
from larkpost.common.ids import DaemonId, EngineId, ZoneId
from larkpost.rehearsal.simulation.fabric import DaemonNode
from larkpost.rehearsal.simulation.network import Host, HostUnreachableError, Network
from larkpost.rehearsal.simulation.records import (
    ConfirmedPlan,
    LeavingNotice,
    LeavingSource,
    Records,
)
from larkpost.standalone.config.intent import Intent
from larkpost.standalone.config.plan import Plan, make_plan

Result = TypeVar("Result")
CONFIRM_TIMEOUT = 30.0


class SimulatedOperators:
    """Operator calls in a simulated fleet.

    Args:
        daemons: the running daemons; a live view.
        callers: per zone, the host from which an operator calls.
        network: carries the calls.
        records: receives the responses of the daemons.
    """

    def __init__(
        self,
        daemons: Mapping[DaemonId, DaemonNode],
        callers: Mapping[ZoneId, Host],
        network: Network,
        records: Records,
    ) -> None:
        self._daemons = daemons
        self._callers = callers
        self._network = network
        self._records = records
        self._nonces = itertools.count()

    def plan(self, daemon: DaemonId, intent: Intent) -> Plan:
        """Makes a plan at a daemon."""
        board = self._daemons[daemon].daemon.board
        state = board.configuration
        nonce = f"{daemon}/{next(self._nonces)}"
        return make_plan(state.intent, state.epoch, intent, board.engines.entries(), nonce)

    async def confirm(self, daemon: DaemonId, plan: Plan) -> ConfirmedPlan | None:
        """Confirms a plan at a daemon; returns None if that failed."""
        node = self._daemons[daemon]
        try:
            answer = await self._call(node, lambda: node.daemon.configuration.confirm(plan))
        except OutdatedPlanError:
            self._records.refused_plans.add(plan.plan_id)
            return None
        except (LarkpostError, HostUnreachableError):
            return None
        confirmed = ConfirmedPlan(
            answer.plan_id, answer.epoch, frozenset(answer.zones_in_force), _now()
        )
        self._records.confirmed.append(confirmed)
        return confirmed

    async def drain_engine(self, daemon: DaemonId, engine: EngineId) -> None:
        """Drains an engine through a daemon."""
        node = self._daemons[daemon]

        async def handle() -> None:
            node.daemon.directory.drain(engine)

        try:
            await self._call(node, handle)
        except (LarkpostError, HostUnreachableError):
            return
        mark = LeavingNotice(engine, LeavingSource.OPERATOR, _now())
        self._records.leaving.append(mark)

    async def _call(self, node: DaemonNode, handle: Callable[[], Awaitable[Result]]) -> Result:
        caller = self._callers[node.host.zone]
        return await self._network.call(
            caller, node.host, handle, CONFIRM_TIMEOUT, is_caller_request=True
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
