"""Records the rows of operators, trainers and servers on the blackboard.

Owns the rule by which a removed entry ends its instance, and the entries whose services no
configuration has named yet.
"""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.ids import InstanceName
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.configuration import Configuration
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.evacuations import ZoneEvacuation
from larkpost.gateway.blackboard.weight_targets import WeightTarget
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.observability.metrics import Count
from larkpost.gateway.store.port import Row

EXPIRY_CONFIRMATION_SECONDS = 2.2
"""How long the store must have been healthy before a missing entry counts as expired. Entries of
live servers are back two seconds after an outage. Users allow 5 s after it in all: a feed call that
began before its end may fail 2.5 s later, and the check comes 0.1 s after that time."""


@dataclass(frozen=True, slots=True)
class RowReaders:
    """Parsers of the rows that others write, for the formats in use.

    Attributes:
        operator_table: the table of the configuration, the announced weight versions and the
            evacuated zones.
        instance_table: the table of the instances.
        configuration: parses a configuration; None if the row holds something else.
        weight_target: parses an announced version; None if the row holds something else.
        instance: parses an instance.
        evacuation: parses the start of a zone's evacuation, or its end from a removed row; None if
            the row holds something else. All of them raise ValueError for unreadable rows.
    """

    operator_table: str
    instance_table: str
    configuration: Callable[[Row], Configuration | None]
    weight_target: Callable[[Row], WeightTarget | None]
    instance: Callable[[Row], InstanceInfo]
    evacuation: Callable[[Row], ZoneEvacuation | None]


@dataclass(frozen=True, slots=True)
class RemovalTrust:
    """When a removed instance entry is trusted; durations in seconds.

    Attributes:
        healthy_for: returns for how long all calls to the store have succeeded.
        trust_after: returns how long that must be for a removed row to be trusted.
        has_full_listing: returns whether all instances have been listed; one that first appears
            after that has just started.
    """

    healthy_for: Callable[[], float]
    trust_after: Callable[[], float]
    has_full_listing: Callable[[], bool]

    def is_removal_trusted(self) -> bool:
        """Returns whether a removed entry means that the instance has ended."""
        return self.healthy_for() >= self.trust_after()


@dataclass(frozen=True, slots=True)
class _Entry:
    """An instance's entry.

    Attributes:
        is_new: whether the instance has just started if it was unknown before.
    """

    info: InstanceInfo
    is_new: bool


class RowRecorder:
    """Records rows, and logs the changes.

    An unreadable row is skipped and its previous content stays in effect, except that an unreadable
    instance entry no longer names a usable server.
    """

    def __init__(
        self,
        readers: RowReaders,
        blackboard: Blackboard,
        instruments: Instruments,
        trust: RemovalTrust,
    ) -> None:
        self._readers = readers
        self._configuration = blackboard.configuration
        self._targets = blackboard.targets
        self._directory = blackboard.directory
        self._evacuations = blackboard.evacuations
        self._clock = instruments.clock
        self._log = instruments.log
        self._metrics = instruments.metrics
        self._pending_entries: dict[InstanceName, _Entry] = {}
        """Entries whose service no configuration has named; not usable as servers yet."""
        self._trust = trust
        self._cold = blackboard.cold

    async def drop_expired_entries(self) -> None:
        """Removes instances whose entries expired during a store outage and have not returned."""
        if self._trust.healthy_for() < EXPIRY_CONFIRMATION_SECONDS:
            return
        for instance in self._directory.drop_unlisted():
            self._log.record(Event.INSTANCE, instance=instance, state="gone", sound=True)

    def record_operator_row(self, row: Row) -> None:
        """Records a row with a configuration, an announced weight version or an evacuated zone.

        Of the removed rows, only those of evacuations have an effect: they end the evacuation.
        """
        try:
            configuration = self._readers.configuration(row)
            target = self._readers.weight_target(row)
            evacuation = self._readers.evacuation(row)
        except ValueError as error:
            self._log.record(Event.UNREADABLE, row=row.key.key, error=str(error))
            return
        if configuration is not None:
            self._record_configuration(configuration)
        if target is not None and self._targets.update(target, self._clock.now()):
            self._log.record(Event.WEIGHT_TARGET, model=target.model, version=target.version)
        if evacuation is not None:
            self._record_evacuation(evacuation)

    def _record_configuration(self, configuration: Configuration) -> None:
        is_first = self._configuration.current is None
        if not self._configuration.update(configuration):
            return
        self._log.record(Event.CONFIGURATION, version=configuration.version)
        self._apply_pending()
        if is_first:
            for entry in self._pending_entries.values():
                self._record_unknown_service(entry.info)

    def _record_evacuation(self, evacuation: ZoneEvacuation) -> None:
        now = self._clock.now()
        if not self._evacuations.update(evacuation, now):
            return
        if not evacuation.is_on:
            zone = evacuation.zone
            self._cold.record_zone_restored(zone, self._directory, self._configuration, now)
        instances = sum(info.zone == evacuation.zone for info in self._directory.all())
        state = "begun" if evacuation.is_on else "ended"
        self._log.record(Event.EVACUATION, zone=evacuation.zone, state=state, instances=instances)

    def record_instance_row(self, row: Row) -> None:
        """Records an instance's entry or its removal."""
        name = InstanceName(row.key.key)
        self._pending_entries.pop(name, None)
        if row.removed:
            store_healthy = self._trust.is_removal_trusted()
            self._directory.remove(name, store_healthy=store_healthy)
            self._log.record(Event.INSTANCE, instance=name, state="gone", sound=store_healthy)
            return
        try:
            info = self._readers.instance(row)
        except ValueError as error:
            self._record_unreadable(name, str(error))
            return
        entry = _Entry(info, is_new=self._trust.has_full_listing())
        if self._is_service_known(info):
            self._apply(entry)
        else:
            self._pending_entries[name] = entry
            if self._configuration.current is not None:
                self._record_unknown_service(info)

    def _record_unreadable(self, name: InstanceName, error: str) -> None:
        """Records an entry that names no usable server, perhaps that of another writer."""
        self._directory.drop_unreadable(name)
        self._metrics.count(Count.SPOILED_ENTRIES)
        self._log.record(Event.UNREADABLE, row=name, error=error)

    def _record_unknown_service(self, info: InstanceInfo) -> None:
        self._record_unreadable(
            info.name, f"service {info.service} is not named in any configuration"
        )

    def _is_service_known(self, info: InstanceInfo) -> bool:
        """Returns whether a configuration names the instance's service, or named it before."""
        known = self._directory.find_by_name(info.name)
        was_named = known is not None and known.service == info.service
        current = self._configuration.current
        return was_named or (current is not None and info.service in current.services)

    def _apply_pending(self) -> None:
        """Applies the pending entries whose services the configuration now names."""
        for name, entry in list(self._pending_entries.items()):
            if self._is_service_known(entry.info):
                del self._pending_entries[name]
                self._apply(entry)

    def _apply(self, entry: _Entry) -> None:
        """Records an entry that names a usable server."""
        info = entry.info
        known = self._directory.find_by_name(info.name)
        self._directory.update(info)
        current = self._directory.find_by_name(info.name)
        if current is None:
            return  # a late row: the instance has already been replaced at its address
        is_new_incarnation = known is None or known.id != current.id
        self._record_cold(info, is_new=is_new_incarnation and entry.is_new)
        if is_new_incarnation or known.state != info.state:
            self._log.record(
                Event.INSTANCE, instance=current.id, state=info.state, service=info.service
            )

    def _record_cold(self, info: InstanceInfo, *, is_new: bool) -> None:
        """Records how long an instance stays cold; a new one may not report it yet."""
        left = info.cold_left
        if is_new and left != 0.0:
            service = self._configuration.service(info.service)
            left = max(left or 0.0, service.cold_start if service is not None else 0.0)
        self._cold.record(info.id, left, self._clock.now())
