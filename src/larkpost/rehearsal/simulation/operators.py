"""Simulated operators: they plan, confirm and drain, and note what they were told."""

import itertools
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

from larkpost.common.errors import LarkpostError, OutdatedPlanError
from larkpost.common.ids import DaemonId, EngineId
from larkpost.rehearsal.simulation.network import HostUnreachableError
from larkpost.rehearsal.simulation.records import ConfirmedPlan, LeavingMark, LeavingSource
from larkpost.standalone.config.intent import Intent
from larkpost.standalone.config.plan import Plan, make_plan

if TYPE_CHECKING:
    from larkpost.rehearsal.simulation.world import DaemonNode, World

Result = TypeVar("Result")
CONFIRM_TIMEOUT = 30.0


class SimulatedOperators:
    """Everything operators do in a simulated fleet."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._nonces = itertools.count()

    def plan(self, daemon: DaemonId, intent: Intent) -> Plan:
        """Makes a plan at a daemon."""
        board = self._world.daemons[daemon].daemon.board
        state = board.configuration
        nonce = f"{daemon}/{next(self._nonces)}"
        return make_plan(state.intent, state.epoch, intent, board.engines.entries(), nonce)

    async def confirm(self, daemon: DaemonId, plan: Plan) -> ConfirmedPlan | None:
        """Confirms a plan at a daemon; None if the answer was not a yes."""
        node = self._world.daemons[daemon]
        records = self._world.records
        try:
            answer = await self._call(node, lambda: node.daemon.configuration.confirm(plan))
        except OutdatedPlanError:
            records.refused_plans.add(plan.plan_id)
            return None
        except (LarkpostError, HostUnreachableError):
            return None
        confirmed = ConfirmedPlan(
            answer.plan_id, answer.epoch, frozenset(answer.zones_in_force), self._world.now
        )
        records.confirmed.append(confirmed)
        return confirmed

    async def drain_engine(self, daemon: DaemonId, engine: EngineId) -> None:
        """Drains an engine through a daemon."""
        node = self._world.daemons[daemon]

        async def handle() -> None:
            node.daemon.directory.drain(engine)

        try:
            await self._call(node, handle)
        except (LarkpostError, HostUnreachableError):
            return
        mark = LeavingMark(engine, LeavingSource.OPERATOR, self._world.now)
        self._world.records.leaving.append(mark)

    async def _call(self, node: "DaemonNode", handle: Callable[[], Awaitable[Result]]) -> Result:
        caller = self._world.callers[node.host.zone]
        network = self._world.network
        return await network.call(caller, node.host, handle, CONFIRM_TIMEOUT, counted=True)
