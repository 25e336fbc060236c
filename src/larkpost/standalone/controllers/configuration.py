"""The configuration in force: one row of the table service, disseminated as a fact.

The row's version is the epoch. Confirming a plan is a compare-and-set on that row. The row records
the ids and epochs of recent plans, so that a write whose response was lost is detected by reading
the row and never applied twice. The epoch of a daemon never decreases.
"""

import asyncio

from pydantic import BaseModel, ConfigDict, ValidationError

from larkpost.common.errors import OutdatedPlanError, PlatformError
from larkpost.common.ids import DaemonId, PlanId, ZoneId
from larkpost.standalone.blackboard.board import Phase
from larkpost.standalone.blackboard.facts import CONFIGURATION_KEY, Fact
from larkpost.standalone.blackboard.members import MemberInfo
from larkpost.standalone.config.intent import Intent
from larkpost.standalone.config.plan import Plan
from larkpost.standalone.controllers.facts import Dissemination
from larkpost.standalone.controllers.readiness import Readiness
from larkpost.standalone.controllers.zone_pollers import is_zone_poller
from larkpost.standalone.runtime import Runtime
from larkpost.standalone.table_service.ports import Row, TableStore

HISTORY_LENGTH = 64
"""Number of confirmed plans that the row records."""
WRITE_ATTEMPTS = 3
"""Maximum number of attempts to write one plan when the table service does not answer."""
IN_FORCE_TIMEOUT = 5.0
"""Maximum seconds a confirmation waits for zones; it reports the others as pending."""
IN_FORCE_POLL_INTERVAL = 0.2
"""Seconds between checks of the zones while a confirmation waits."""


class ConfigurationRow(BaseModel):
    """Content of the table row that holds the configuration."""

    model_config = ConfigDict(extra="forbid", frozen=True)
    intent: Intent
    plan_id: PlanId
    history: tuple[tuple[int, PlanId], ...] = ()
    """Epoch and plan id of recent confirmations, oldest first, including this one."""

    def epoch_of(self, plan_id: PlanId) -> int | None:
        """Returns the epoch at which the plan was applied, or None if it is not recorded."""
        return next((epoch for epoch, plan in self.history if plan == plan_id), None)


class Confirmation(BaseModel):
    """Result of a confirmation: the epoch written, and the zones in which it is in force."""

    epoch: int
    plan_id: PlanId
    zones_in_force: list[ZoneId]
    zones_pending: list[ZoneId]


class ConfigurationController:
    """Reads, confirms and applies the configuration."""

    def __init__(
        self,
        runtime: Runtime,
        table: TableStore,
        dissemination: Dissemination,
        readiness: Readiness,
    ) -> None:
        self._board = runtime.board
        self._table = table
        self._dissemination = dissemination
        self._readiness = readiness
        self._clock = runtime.clock
        self._telemetry = runtime.telemetry
        self._settings = runtime.settings.configuration
        self._activity = runtime.activity
        self._last_read = float("-inf")
        runtime.board.facts.add_listener(CONFIGURATION_KEY, self._apply)

    async def poll(self) -> None:
        """Reads the row if its poll interval has passed; zone pollers use the shorter interval."""
        interval = self._settings.background_poll_interval
        if self._board.phase == Phase.JOINING or is_zone_poller(self._board, "configuration"):
            interval = self._settings.duty_poll_interval
        if self._clock.now() - self._last_read < interval:
            return
        await self.read()

    async def read(self) -> bool:
        """Reads the row and publishes its content.

        Returns:
            Whether the table service answered.
        """
        asked_at = self._last_read = self._clock.now()
        try:
            row = await self._table.read(CONFIGURATION_KEY, self._settings.platform_timeout)
        except PlatformError:
            self._telemetry.count("platform_errors", kind="table")
            self._telemetry.log_state("platform.table", "unreachable")
            return False
        self._telemetry.log_state("platform.table", "reachable")
        self._publish_row(row)
        self._readiness.record_verified(asked_at)
        return True

    async def learn_from_zone(self) -> bool:
        """Learns the configuration from the zone's daemons while the table service is unavailable.

        A majority of the zone's other daemons must answer that they are ready; the highest epoch
        among them is adopted. A quorum of the zone's daemons has every epoch that was reported in
        force there.

        Returns:
            Whether the highest epoch of that majority is now in force at this daemon.
        """
        asked_at = self._clock.now()
        own = self._board.members.own
        others = [m for m in self._readiness.known_members(own.zone) if m.id != own.id]
        answers = await asyncio.gather(*(self._readiness.fetch_state(m) for m in others))
        ready = [
            (member, answer)
            for member, answer in zip(others, answers, strict=True)
            if answer is not None and answer.ready
        ]
        if not ready or 2 * len(ready) <= len(others):
            return False
        member, highest = max(ready, key=lambda pair: pair[1].epoch)
        if highest.epoch > self._board.configuration.epoch:
            await self._dissemination.fetch_from(member.address)
        if self._board.configuration.epoch < highest.epoch:
            return False
        self._readiness.record_verified(asked_at)
        return True

    async def confirm(self, plan: Plan) -> Confirmation:
        """Applies a plan if its base epoch is still in force.

        Raises:
            OutdatedPlanError: another plan has been confirmed since.
            PlatformError: the table service did not confirm whether the plan was written.
        """
        with self._activity.request():
            epoch = await self._write(plan)
            in_force = await self._wait_in_force(epoch)
        pending = sorted(self._board.members.zones() - in_force)
        return Confirmation(
            epoch=epoch,
            plan_id=plan.plan_id,
            zones_in_force=sorted(in_force),
            zones_pending=pending,
        )

    async def _write(self, plan: Plan) -> int:
        """Writes the plan; each attempt first reads the row, in case an earlier one succeeded."""
        timeout = self._settings.platform_timeout
        for attempt in range(WRITE_ATTEMPTS):
            try:
                row = await self._table.read(CONFIGURATION_KEY, timeout)
                epoch = self._find_applied_epoch(plan, row)
                if epoch is not None:
                    self._publish_row(row)
                    return epoch
                value = _encode_row(plan, row)
                await self._table.compare_and_set(
                    CONFIGURATION_KEY, plan.base_epoch, value, timeout
                )
            except PlatformError:
                self._telemetry.count("platform_errors", kind="table")
                await self._clock.sleep(0.1 * (attempt + 1))
        row = await self._table.read(CONFIGURATION_KEY, timeout)
        epoch = self._find_applied_epoch(plan, row)
        if epoch is None:
            raise PlatformError(
                f"the table service did not accept plan {plan.plan_id!r} in "
                f"{WRITE_ATTEMPTS} attempts"
            )
        self._publish_row(row)
        return epoch

    def _find_applied_epoch(self, plan: Plan, row: Row | None) -> int | None:
        """Returns the epoch at which the plan was written, or None if it may still be written.

        Raises:
            OutdatedPlanError: the row has another version than the plan's base epoch.
        """
        if row is None:
            if plan.base_epoch == 0:
                return None
            raise OutdatedPlanError(
                f"the plan has base epoch {plan.base_epoch}, but no configuration exists"
            )
        applied = ConfigurationRow.model_validate_json(row.value).epoch_of(plan.plan_id)
        if applied is not None:
            return applied
        if row.version != plan.base_epoch:
            raise OutdatedPlanError(
                f"the plan has base epoch {plan.base_epoch}, but epoch {row.version} is in force"
            )
        return None

    def _publish_row(self, row: Row | None) -> None:
        if row is not None:
            self._dissemination.publish(Fact(CONFIGURATION_KEY, row.version, row.value))

    def _apply(self, fact: Fact) -> None:
        state = self._board.configuration
        if fact.version <= state.epoch:
            return
        try:
            row = ConfigurationRow.model_validate_json(fact.value)
        except ValidationError as error:
            self._telemetry.log_error("configuration", error)
            return
        state.epoch = fact.version
        state.intent = row.intent
        state.plan_id = row.plan_id
        self._telemetry.gauge("configuration_epoch", fact.version)
        self._telemetry.log_state("configuration", f"epoch {fact.version}", plan=row.plan_id)

    async def _wait_in_force(self, epoch: int) -> set[ZoneId]:
        deadline = self._clock.now() + IN_FORCE_TIMEOUT
        updated: set[DaemonId] = set()
        while True:
            pending_members = [m for m in self._board.members.alive() if m.id not in updated]
            answers = await asyncio.gather(*(self._has_epoch(m, epoch) for m in pending_members))
            updated |= {
                m.id for m, has_epoch in zip(pending_members, answers, strict=True) if has_epoch
            }
            in_force = self._zones_in_force(updated)
            if in_force == self._board.members.zones() or self._clock.now() >= deadline:
                return in_force
            await self._clock.sleep(IN_FORCE_POLL_INTERVAL)

    def _zones_in_force(self, updated: set[DaemonId]) -> set[ZoneId]:
        return {zone for zone in self._board.members.zones() if self._is_in_force_in(zone, updated)}

    def _is_in_force_in(self, zone: ZoneId, updated: set[DaemonId]) -> bool:
        """Whether a quorum of the zone has the epoch and no other daemon can act on a lower one."""
        if not self._readiness.has_quorum(zone, updated):
            return False
        others = [m for m in self._readiness.known_members(zone) if m.id not in updated]
        return not any(self._readiness.may_still_act(member) for member in others)

    async def _has_epoch(self, member: MemberInfo, epoch: int) -> bool:
        if member.id == self._board.members.own.id:
            return self._board.configuration.epoch >= epoch
        state = await self._readiness.fetch_state(member)
        return state is not None and state.epoch >= epoch


def _encode_row(plan: Plan, row: Row | None) -> bytes:
    history = ConfigurationRow.model_validate_json(row.value).history if row is not None else ()
    history = (*history, (plan.base_epoch + 1, plan.plan_id))[-HISTORY_LENGTH:]
    content = ConfigurationRow(intent=plan.intent, plan_id=plan.plan_id, history=history)
    return content.model_dump_json().encode()
