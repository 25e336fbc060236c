"""Directory of the server instances: their services, addresses and states."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from larkpost.common.ids import Address, InstanceId, InstanceName, ZoneId
from larkpost.common.incarnations import split_instance_id
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.gateway.blackboard.service_index import ServiceIndex


class InstanceState(StrEnum):
    """Whether an instance accepts new work.

    READY may become LEAVING or UNLISTED; UNLISTED becomes READY again when the entry reappears.
    LEAVING is final: a server that restarts is a new instance.
    """

    READY = "ready"
    UNLISTED = "unlisted"  # its entry vanished while the store was unhealthy
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """An instance's entry in the store, at one version.

    Attributes:
        slots: maximum number of concurrent requests.
        versions: weight version of each model that it holds.
        listed_version: row version of the entry in the store.
        is_preemptible: whether it may be reclaimed at short notice.
        cold_left: seconds for which it stays cold, from when the entry was written; None if
            unknown.
    """

    id: InstanceId
    service: ServiceName
    address: Address
    zone: ZoneId
    slots: int
    state: InstanceState
    versions: dict[ModelName, int] = field(default_factory=dict)
    listed_version: int = 0
    is_preemptible: bool = False
    cold_left: float | None = None

    @property
    def name(self) -> InstanceName:
        """The server's name, which all its incarnations share."""
        return split_instance_id(self.id)[0]

    @property
    def started_at_ms(self) -> int | None:
        """Unix time of the server's start in milliseconds; None if not reported."""
        return split_instance_id(self.id)[1]


class InstanceDirectory:
    """All known instances by id, with at most one incarnation of each server.

    An instance whose entry is removed while the store is healthy is dropped at once. While the
    store is unhealthy, entries of live instances may vanish too, and reappear soon after it
    recovers. Such instances are kept as UNLISTED and still receive work; otherwise all work would
    go to the first few instances that reappear.

    Attributes:
        index: instances that accept new work, by service; read-only for other classes.
    """

    def __init__(self) -> None:
        self.index: ServiceIndex[InstanceInfo] = ServiceIndex()
        self._instances: dict[InstanceId, InstanceInfo] = {}
        self._observed_versions: dict[InstanceId, dict[ModelName, int]] = {}
        self._replaced: set[InstanceId] = set()
        self._id_by_name: dict[InstanceName, InstanceId] = {}
        self._removal_listeners: list[Callable[[InstanceId], None]] = []

    def __len__(self) -> int:
        return len(self._instances)

    def get(self, instance: InstanceId) -> InstanceInfo | None:
        """Returns an instance; None if unknown."""
        return self._instances.get(instance)

    def find_by_name(self, name: InstanceName) -> InstanceInfo | None:
        """Returns the known incarnation of a server; None if there is none."""
        current = self._id_by_name.get(name)
        return self._instances.get(current) if current is not None else None

    def resolve(self, instance: InstanceId) -> InstanceId:
        """Returns the id of the known incarnation if ``instance`` has no start time."""
        name, started_at_ms = split_instance_id(instance)
        return self._id_by_name.get(name, instance) if started_at_ms is None else instance

    def add_removal_listener(self, listener: Callable[[InstanceId], None]) -> None:
        """Registers a listener that is called whenever an instance is dropped."""
        self._removal_listeners.append(listener)

    def update(self, info: InstanceInfo) -> None:
        """Stores a new or changed entry.

        A newer incarnation replaces an older one; entries of older incarnations are ignored. An
        entry without a start time belongs to the known incarnation.
        """
        known = self.find_by_name(info.name)
        if known is not None and known.started_at_ms is not None:
            if info.started_at_ms is None:
                info = replace(info, id=known.id)
            elif info.started_at_ms < known.started_at_ms:
                return
        if info.id in self._replaced:
            return
        if known is not None and known.id != info.id:
            self.forget(known.id)
        known = self._instances.get(info.id)
        if known is not None and known.state is InstanceState.LEAVING:
            info = replace(info, state=InstanceState.LEAVING)
        self._store(info)
        self._id_by_name[info.name] = info.id

    def remove(self, name: InstanceName, *, store_healthy: bool) -> None:
        """Records that a server's entry was removed from the store.

        Args:
            store_healthy: whether the store has been healthy for long enough to trust the removal.
        """
        self._replaced = {known for known in self._replaced if split_instance_id(known)[0] != name}
        known = self.find_by_name(name)
        if known is None:
            return
        if store_healthy or known.state is InstanceState.LEAVING:
            self.forget(known.id)
        else:
            self._store(replace(known, state=InstanceState.UNLISTED))

    def drop_unreadable(self, name: InstanceName) -> None:
        """Drops a server whose entry became unreadable, unless it is already leaving."""
        known = self.find_by_name(name)
        if known is not None and known.state is not InstanceState.LEAVING:
            self.forget(known.id)

    def observe_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        """Records a weight version reported by an instance, which may be ahead of its entry."""
        observed = self._observed_versions.setdefault(instance, {})
        is_first = version > 0 and not observed.get(model)
        observed[model] = max(version, observed.get(model, 0))
        info = self._instances.get(instance)
        if is_first and info is not None:
            self._store(info)  # indexes it under the model

    def version_of(self, instance: InstanceId, model: ModelName) -> int:
        """Returns the newest known weight version of a model at an instance; 0 if unknown."""
        info = self._instances.get(instance)
        listed = info.versions.get(model, 0) if info is not None else 0
        return max(listed, self._observed_versions.get(instance, {}).get(model, 0))

    def mark_replaced(self, instance: InstanceId) -> None:
        """Drops an instance for good, because another one responded at its address.

        Its entry, which may remain in the store for a while, is ignored from now on.
        """
        self.forget(instance)
        self._replaced.add(instance)

    def forget(self, instance: InstanceId) -> None:
        """Drops an instance and notifies the removal listeners."""
        info = self._instances.pop(instance, None)
        if info is None:
            return
        self.index.drop(instance)
        if self._id_by_name.get(info.name) == instance:
            del self._id_by_name[info.name]
        self._observed_versions.pop(instance, None)
        for listener in self._removal_listeners:
            listener(instance)

    def of_service(self, service: ServiceName) -> list[InstanceInfo]:
        """Returns the instances of a service that accept new work."""
        return list(self.index.entries(service))

    def ready_of(self, service: ServiceName) -> list[InstanceInfo]:
        """Returns the instances of a service that accept new work and are listed in the store."""
        return [info for info in self.of_service(service) if info.state is InstanceState.READY]

    def drop_unlisted(self) -> list[InstanceId]:
        """Drops all UNLISTED instances, and returns their ids."""
        unlisted = [
            key for key, info in self._instances.items() if info.state is InstanceState.UNLISTED
        ]
        for key in unlisted:
            self.forget(key)
        return unlisted

    def accepts_work(self, instance: InstanceId) -> bool:
        """Returns whether an instance accepts new work."""
        info = self._instances.get(instance)
        return info is not None and info.state is not InstanceState.LEAVING

    def counts(self) -> dict[InstanceState, int]:
        """Returns the number of instances in each state."""
        counts = dict.fromkeys(InstanceState, 0)
        for info in self._instances.values():
            counts[info.state] += 1
        return counts

    def all(self) -> Iterable[InstanceInfo]:
        """Returns all instances, in no particular order."""
        return self._instances.values()

    def _store(self, info: InstanceInfo) -> None:
        self._instances[info.id] = info
        if info.state is InstanceState.LEAVING:
            self.index.drop(info.id)
            return
        sources = (info.versions, self._observed_versions.get(info.id, {}))
        models = {model for versions in sources for model, version in versions.items() if version}
        self.index.put(info, models)
