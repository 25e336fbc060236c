"""Index of the instances that accept new work, by service.

Avoids a scan of all instances for each placement decision. `InstanceDirectory` updates the index
whenever an entry changes.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from larkpost.common.ids import InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName


class Entry(Protocol):
    """The fields of an instance's entry that the index reads."""

    id: InstanceId
    service: ServiceName
    zone: ZoneId


EntryT = TypeVar("EntryT", bound=Entry)


class IndexedIdSet:
    """A set of ids with constant-time access by position, for random choices."""

    def __init__(self) -> None:
        self._ids: list[InstanceId] = []
        self._positions: dict[InstanceId, int] = {}

    @property
    def ids(self) -> Sequence[InstanceId]:
        """The ids, in no particular order; must not be modified."""
        return self._ids

    def add(self, instance: InstanceId) -> None:
        """Adds an id if it is absent."""
        if instance not in self._positions:
            self._positions[instance] = len(self._ids)
            self._ids.append(instance)

    def discard(self, instance: InstanceId) -> None:
        """Removes an id if present; the last id takes its position."""
        position = self._positions.pop(instance, None)
        if position is None:
            return
        last = self._ids.pop()
        if last != instance:
            self._ids[position] = last
            self._positions[last] = position


@dataclass(slots=True)
class _Service(Generic[EntryT]):
    """The instances of one service; at least one.

    Attributes:
        entries: entry of each instance.
        id_set: ids of the instances.
        holders: for each model, the instances with a known version of it.
        zones: number of instances in each zone.
        generation: number that changes whenever an instance is added or removed.
    """

    entries: dict[InstanceId, EntryT] = field(default_factory=dict)
    id_set: IndexedIdSet = field(default_factory=IndexedIdSet)
    holders: dict[ModelName, IndexedIdSet] = field(default_factory=dict)
    zones: Counter[ZoneId] = field(default_factory=Counter)
    generation: int = 0


class ServiceIndex(Generic[EntryT]):
    """The instances of all services that accept new work."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, _Service[EntryT]] = {}
        self._changes = 0
        self._service_of: dict[InstanceId, ServiceName] = {}
        self._models: dict[InstanceId, frozenset[ModelName]] = {}

    def put(self, entry: EntryT, models: Iterable[ModelName]) -> None:
        """Stores an instance's entry.

        Args:
            models: models of which the instance has a known version.
        """
        if self._service_of.get(entry.id, entry.service) != entry.service:
            self.drop(entry.id)
        service = self._services.setdefault(entry.service, _Service())
        known = service.entries.get(entry.id)
        service.entries[entry.id] = entry
        if known is None:
            self._service_of[entry.id] = entry.service
            service.id_set.add(entry.id)
            self._begin_generation(service)
        if known is None or known.zone != entry.zone:
            service.zones[entry.zone] += 1
            if known is not None:
                _decrement(service.zones, known.zone)
        self._put_models(service, entry.id, frozenset(models))

    def drop(self, instance: InstanceId) -> None:
        """Removes an instance if present."""
        name = self._service_of.pop(instance, None)
        if name is None:
            return
        service = self._services[name]
        entry = service.entries.pop(instance)
        service.id_set.discard(instance)
        self._begin_generation(service)
        _decrement(service.zones, entry.zone)
        self._put_models(service, instance, frozenset())
        del self._models[instance]
        if not service.entries:
            del self._services[name]

    def services(self) -> Collection[ServiceName]:
        """Returns the services that have instances."""
        return self._services.keys()

    def get(self, service: ServiceName, instance: InstanceId) -> EntryT | None:
        """Returns an instance of a service; None if the service does not have it."""
        known = self._services.get(service)
        return known.entries.get(instance) if known is not None else None

    def entries(self, service: ServiceName) -> Collection[EntryT]:
        """Returns the entries of a service's instances, in the order in which they were added."""
        known = self._services.get(service)
        return known.entries.values() if known is not None else ()

    def ids(self, service: ServiceName) -> Sequence[InstanceId]:
        """Returns the ids of a service's instances, in no particular order."""
        known = self._services.get(service)
        return known.id_set.ids if known is not None else ()

    def holders(self, service: ServiceName, model: ModelName) -> Sequence[InstanceId]:
        """Returns the ids of the instances with a known version of a model."""
        known = self._services.get(service)
        holders = known.holders.get(model) if known is not None else None
        return holders.ids if holders is not None else ()

    def zones(self, service: ServiceName) -> Collection[ZoneId]:
        """Returns the zones that have instances of a service."""
        known = self._services.get(service)
        return known.zones.keys() if known is not None else ()

    def generation(self, service: ServiceName) -> int:
        """Returns a number that changes whenever the set of instances does; 0 if it is empty."""
        known = self._services.get(service)
        return known.generation if known is not None else 0

    def _begin_generation(self, service: _Service[EntryT]) -> None:
        self._changes += 1
        service.generation = self._changes

    def _put_models(
        self, service: _Service[EntryT], instance: InstanceId, models: frozenset[ModelName]
    ) -> None:
        before = self._models.get(instance, frozenset())
        self._models[instance] = models
        for model in models - before:
            service.holders.setdefault(model, IndexedIdSet()).add(instance)
        for model in before - models:
            service.holders[model].discard(instance)


def _decrement(zones: Counter[ZoneId], zone: ZoneId) -> None:
    zones[zone] -= 1
    if not zones[zone]:
        del zones[zone]
