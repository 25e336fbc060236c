"""Ownership of engines: one daemon monitors each engine and sends it orders with a fencing token.

The owner is chosen by rendezvous hashing among the daemons of the engine's zone, so daemons with
the same view agree without messages. If views differ, the engine decides: it accepts a claim only
with a token above every token it has accepted, and refuses orders of a replaced owner. So no
store is needed, and an owner that resumes after a pause cannot give an order with its old token.
"""

from larkpost.common.ids import DaemonId, EngineId
from larkpost.standalone.blackboard.board import Phase
from larkpost.standalone.blackboard.engines import EngineInfo, EngineLoad
from larkpost.standalone.controllers.owner_map import OwnerMap
from larkpost.standalone.engines.port import (
    EngineError,
    EnginePort,
    EngineReport,
    Order,
    OrderKind,
    StaleTokenError,
)
from larkpost.standalone.runtime import Runtime

RECLAIM_DELAY = 2.0
"""Seconds before a replaced owner may claim an engine again, for the two views to converge."""


class Ownership:
    """Claims the engines assigned to this daemon and releases the others."""

    def __init__(
        self,
        runtime: Runtime,
        engines: EnginePort,
    ) -> None:
        self._board = runtime.board
        self._engines = engines
        self._clock = runtime.clock
        self._telemetry = runtime.telemetry
        self._settings = runtime.settings.engines
        self._retry_at: dict[EngineId, float] = {}
        self._owners = OwnerMap(runtime.board)
        self._assigned: list[EngineInfo] = []
        self._assigned_revision: tuple[int, int] = (-1, -1)

    def assigned(self) -> list[EngineInfo]:
        """Returns the engines assigned to this daemon in its current view."""
        own = self._board.members.own.id
        if self._owners.owner_revision() != self._assigned_revision:
            self._assigned = self._owners.engines_of(own)
            self._assigned_revision = self._owners.owner_revision()
        return self._assigned

    def owner_of(self, info: EngineInfo) -> DaemonId | None:
        """Returns the daemon assigned to the engine, from another zone if the engine's has none."""
        return self._owners.owner_of(info.id)

    async def reconcile(self) -> None:
        """Releases owned engines not assigned here, and claims assigned ones not yet owned."""
        if self._board.phase == Phase.STOPPING:
            self._board.owned.clear()
            return
        assigned = {info.id: info for info in self.assigned()}
        for engine in list(self._board.owned):
            if engine not in assigned:
                self.release(engine)
        for engine, info in assigned.items():
            if engine not in self._board.owned:
                await self._claim(info)
        self._telemetry.gauge("engines_owned", len(self._board.owned))

    def release(self, engine: EngineId) -> None:
        """Stops treating an engine as owned, and delays a new claim by `RECLAIM_DELAY`."""
        self._board.owned.pop(engine, None)
        self._retry_at[engine] = self._clock.now() + RECLAIM_DELAY

    def check_report(self, report: EngineReport) -> None:
        """Drops ownership of an engine whose report shows another owner or a restart.

        An engine loses its token in a restart, so another owner may hold the same token afterwards.
        """
        token = self._board.owned.get(report.engine)
        if token is None:
            return
        if report.token > token:
            self.release(report.engine)
        elif report.token < token or report.owner != self._board.members.own.id:
            self._board.owned.pop(report.engine)

    async def _claim(self, info: EngineInfo) -> None:
        if self._clock.now() < self._retry_at.get(info.id, 0.0):
            return
        timeout = self._settings.report_timeout
        try:
            report = await self._engines.report(info.address, timeout)
            if report.engine != info.id:
                return
            token = self._next_token(info.id, report)
            order = Order(OrderKind.CLAIM, self._board.members.own.id, token)
            await self._engines.order(info.address, order, timeout)
        except StaleTokenError:
            self._retry_at[info.id] = self._clock.now() + RECLAIM_DELAY
            return
        except EngineError:
            self._retry_at[info.id] = self._clock.now() + self._settings.report_interval
            return
        self._board.owned[info.id] = token
        self._board.engines.record_load(load_from_report(report, self._clock.now()))
        self._telemetry.count("claims")

    def _next_token(self, engine: EngineId, report: EngineReport) -> int:
        """Returns a token above every known one, including those from before an engine restart."""
        load = self._board.engines.loads.get(engine)
        known = load.token if load is not None else 0
        return max(report.token, known) + 1


def load_from_report(report: EngineReport, at: float) -> EngineLoad:
    """Returns the blackboard entry of a report received at local monotonic time ``at``."""
    return EngineLoad(
        engine=report.engine,
        running=report.running,
        waiting=report.waiting,
        slots=report.slots,
        version=report.version,
        leaving=report.leaving,
        token=report.token,
        swapping=report.swapping,
        at=at,
    )
