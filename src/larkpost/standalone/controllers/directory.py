"""The engine directory, drain marks and policy versions, replicated as facts.

Zone pollers read the machine list and publish its entries as facts; every daemon builds its engine
table from the facts. Operators' drain marks and new policy versions are replicated the same way.
"""

import json

from larkpost.common.errors import InvalidRequestError, PlatformError
from larkpost.common.ids import Address, EngineId, PolicyId, PoolId, ZoneId
from larkpost.standalone.blackboard.engines import EngineInfo
from larkpost.standalone.blackboard.facts import DRAIN_PREFIX, MACHINE_PREFIX, POLICY_PREFIX, Fact
from larkpost.standalone.controllers.facts import Dissemination
from larkpost.standalone.controllers.zone_pollers import is_zone_poller
from larkpost.standalone.runtime import Runtime
from larkpost.standalone.table_service.ports import MachineEntry, MachineList

FULL_LIST_EVERY_POLLS = 15
"""One in this many polls reads the whole machine list; the others read one zone."""


class EngineDirectory:
    """Maintains the blackboard's engine directory, drain marks and policy versions."""

    def __init__(
        self,
        runtime: Runtime,
        machines: MachineList,
        dissemination: Dissemination,
    ) -> None:
        self._board = runtime.board
        self._machines = machines
        self._dissemination = dissemination
        self._clock = runtime.clock
        self._telemetry = runtime.telemetry
        self._settings = runtime.settings.configuration
        self._polls = 0
        runtime.board.facts.add_listener(MACHINE_PREFIX, self._on_machine)
        runtime.board.facts.add_listener(DRAIN_PREFIX, self._on_drain)
        runtime.board.facts.add_listener(POLICY_PREFIX, self._on_policy)

    async def poll(self) -> None:
        """Reads the zone's machine list if this daemon is a zone poller.

        The whole list is read first and then every ``FULL_LIST_EVERY_POLLS`` polls, so that zones
        that have lost all their daemons are covered. Other daemons learn the machines as facts;
        otherwise a starting fleet would request the whole list once per daemon.
        """
        if not is_zone_poller(self._board, "machines"):
            return
        whole = self._polls % FULL_LIST_EVERY_POLLS == 0
        self._polls += 1
        zone = None if whole else self._board.members.own.zone
        try:
            entries = await self._machines.entries(zone, self._settings.platform_timeout)
        except PlatformError:
            self._telemetry.count("platform_errors", kind="machines")
            self._telemetry.log_state("platform.machines", "unreachable")
            return
        self._telemetry.log_state("platform.machines", "reachable")
        new_entries = [entry for entry in entries if self._is_newer(entry)]
        self._dissemination.publish(*map(_machine_fact, new_entries))

    def _is_newer(self, entry: MachineEntry) -> bool:
        return entry.revision > self._board.facts.version(MACHINE_PREFIX + entry.engine)

    def announce_version(self, policy: PolicyId, version: int) -> None:
        """Publishes a policy version; one that is not above the known version has no effect."""
        self._dissemination.publish(Fact(POLICY_PREFIX + policy, version, b""))

    def drain(self, engine: EngineId) -> None:
        """Marks an engine as leaving permanently.

        Raises:
            InvalidRequestError: the engine is not in the directory.
        """
        if engine not in self._board.engines.directory:
            raise InvalidRequestError(
                f"engine {engine!r} is not in the engine directory",
                remedy="Name an engine that `larkpost status` lists.",
            )
        self._dissemination.publish(Fact(DRAIN_PREFIX + engine, 1, b""))

    def _on_machine(self, fact: Fact) -> None:
        fields = json.loads(fact.value)
        info = EngineInfo(
            EngineId(fact.key.removeprefix(MACHINE_PREFIX)),
            ZoneId(fields["zone"]),
            Address(fields["address"]),
            PoolId(fields["pool"]),
            fields["leaving"],
        )
        self._board.engines.put(info)
        if info.leaving:
            self._telemetry.log_state(f"engine.{info.id}", "leaving", source="machine list")

    def _on_drain(self, fact: Fact) -> None:
        engine = EngineId(fact.key.removeprefix(DRAIN_PREFIX))
        self._board.engines.draining.add(engine)
        self._telemetry.log_state(f"engine.{engine}", "leaving", source="operator")

    def _on_policy(self, fact: Fact) -> None:
        policy = PolicyId(fact.key.removeprefix(POLICY_PREFIX))
        self._board.policy_versions[policy] = fact.version
        self._board.policy_learned_at[policy] = self._clock.now()
        self._telemetry.log_state(f"policy.{policy}", f"version {fact.version}")


def _machine_fact(entry: MachineEntry) -> Fact:
    fields = {
        "zone": entry.zone,
        "address": entry.address,
        "pool": entry.pool,
        "leaving": entry.leaving,
    }
    return Fact(MACHINE_PREFIX + entry.engine, entry.revision, json.dumps(fields).encode())
