"""Records on the blackboard the rows that operators, trainers and servers write.

Owns the rule by which an instance's entry that is gone ends the instance, and the entries of
services that no configuration has named yet.
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
"""Seconds for which the store must have been sound for a missing entry to be gone for good."""


@dataclass(frozen=True, slots=True)
class RowReaders:
    """Reads rows that others write, in whatever format they write them.

    Attributes:
        operator_table: the table of the configuration, the named weight versions and the
            evacuated zones.
        instance_table: the table of the instances.
        configuration: reads a configuration, or None if the row holds something else.
        weight_target: reads a named version, or None if the row holds something else.
        instance: reads an instance.
        evacuation: reads the begin of a zone's evacuation, or its end from a removed row; None if
            the row holds something else. All of them raise ValueError for what they cannot read.
    """

    operator_table: str
    instance_table: str
    configuration: Callable[[Row], Configuration | None]
    weight_target: Callable[[Row], WeightTarget | None]
    instance: Callable[[Row], InstanceInfo]
    evacuation: Callable[[Row], ZoneEvacuation | None]


@dataclass(frozen=True, slots=True)
class RemovalTrust:
    """How far what is read of instances is believed; durations in seconds.

    Attributes:
        sound_for: returns for how long each call to the store has succeeded.
        trust_after: returns for how long it must have for a row that is gone to be believed.
        had_whole_list: returns whether all instances were listed: one that is new then has started.
    """

    healthy_for: Callable[[], float]
    trust_after: Callable[[], float]
    has_full_listing: Callable[[], bool]

    def is_removal_believed(self) -> bool:
        """Returns whether an instance has ended if its entry is gone."""
        return self.healthy_for() >= self.trust_after()


@dataclass(frozen=True, slots=True)
class _Entry:
    """An instance's entry.

    Attributes:
        is_new: whether an instance that was not known before has just started.
    """

    info: InstanceInfo
    is_new: bool


class RowRecorder:
    """Records rows, and logs what changes by them.

    A row that cannot be read is passed over; what stood in it before goes on to hold, but for an
    instance's entry, which then names no server.
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
        """Entries whose service no configuration has named; they are no servers to use."""
        self._trust = trust
        self._cold = blackboard.cold

    async def drop_expired_entries(self) -> None:
        """Gives up instances whose entries lapsed while the store was away and are not back."""
        if self._trust.healthy_for() < EXPIRY_CONFIRMATION_SECONDS:
            return
        for instance in self._directory.drop_unlisted():
            self._log.record(Event.INSTANCE, instance=instance, state="gone", sound=True)

    def record_operator_row(self, row: Row) -> None:
        """Records a row with a configuration, a named weight version or an evacuated zone.

        Rows that are gone change nothing but evacuations, which end by it.
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
        """Records an instance's entry, or that it is gone."""
        name = InstanceName(row.key.key)
        self._pending_entries.pop(name, None)
        if row.removed:
            sound = self._trust.is_removal_believed()
            self._directory.remove(name, store_healthy=sound)
            self._log.record(Event.INSTANCE, instance=name, state="gone", sound=sound)
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
        """Records that an entry names no server to use; it was perhaps another writer's."""
        self._directory.drop_unreadable(name)
        self._metrics.count(Count.SPOILED_ENTRIES)
        self._log.record(Event.UNREADABLE, row=name, error=error)

    def _record_unknown_service(self, info: InstanceInfo) -> None:
        self._record_unreadable(info.name, f"no configuration names service {info.service}")

    def _is_service_known(self, info: InstanceInfo) -> bool:
        """Returns whether a configuration names an instance's service, or has named it before."""
        known = self._directory.find_by_name(info.name)
        was_named = known is not None and known.service == info.service
        current = self._configuration.current
        return was_named or (current is not None and info.service in current.services)

    def _apply_pending(self) -> None:
        """Takes the entries whose services the configuration names now."""
        for name, entry in list(self._pending_entries.items()):
            if self._is_service_known(entry.info):
                del self._pending_entries[name]
                self._apply(entry)

    def _apply(self, entry: _Entry) -> None:
        """Stores an entry that names a server to use."""
        info = entry.info
        known = self._directory.find_by_name(info.name)
        self._directory.update(info)
        current = self._directory.find_by_name(info.name)
        if current is None:
            return  # it was replaced at its address, and this is a late word of it
        has_started = known is None or known.id != current.id
        self._record_cold(info, is_new=has_started and entry.is_new)
        if has_started or known.state != info.state:
            self._log.record(
                Event.INSTANCE, instance=current.id, state=info.state, service=info.service
            )

    def _record_cold(self, info: InstanceInfo, *, is_new: bool) -> None:
        """Records how long an instance stays cold; one that just started may not say it yet."""
        left = info.cold_left
        if is_new and left != 0.0:
            service = self._configuration.service(info.service)
            left = max(left or 0.0, service.cold_start if service is not None else 0.0)
        self._cold.record(info.id, left, self._clock.now())
