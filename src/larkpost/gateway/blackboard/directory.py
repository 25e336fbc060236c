"""The directory of server instances: who serves which service, where, and in which state."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from larkpost.common.ids import Address, InstanceId, InstanceName, ZoneId
from larkpost.common.incarnations import split_instance_id
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.gateway.blackboard.service_index import ServiceIndex


class InstanceState(StrEnum):
    """Whether an instance takes new work.

    READY may become LEAVING or UNLISTED. UNLISTED becomes READY again once its entry is back.
    LEAVING is final: a server that comes back is another instance.
    """

    READY = "ready"
    UNLISTED = "unlisted"  # its entry went while the store was not sound; it may be back soon
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """A snapshot of one instance's entry.

    Attributes:
        slots: requests it handles at once.
        versions: weight version of each model it holds.
        listed_version: version of the entry in the store.
        is_preemptible: whether it may be taken away at short notice.
        cold_left: seconds, from the entry's writing, for which it stays cold; None if not
            known.
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
        """What the server calls itself, whichever incarnation it is."""
        return split_instance_id(self.id)[0]

    @property
    def started_at_ms(self) -> int | None:
        """The Unix millisecond of its start; None if it does not say it."""
        return split_instance_id(self.id)[1]


class InstanceDirectory:
    """All instances known, by id; of each server one incarnation at the most.

    An entry that goes while the store is sound ends the instance at once. While the store is not
    sound entries also go for no reason of the instance's; those of living instances are back soon
    after the store is. So the instance is kept until then, and serves like the others: if only
    those listed again did, all work would fall on the first few.

    Attributes:
        index: the instances that may take new work, by service; only read by others.
    """

    def __init__(self) -> None:
        self.index: ServiceIndex[InstanceInfo] = ServiceIndex()
        self._instances: dict[InstanceId, InstanceInfo] = {}
        self._observed: dict[InstanceId, dict[ModelName, int]] = {}
        self._replaced: set[InstanceId] = set()
        self._current: dict[InstanceName, InstanceId] = {}
        self._removal_listeners: list[Callable[[InstanceId], None]] = []

    def __len__(self) -> int:
        return len(self._instances)

    def get(self, instance: InstanceId) -> InstanceInfo | None:
        """Returns an instance, or None if it is unknown."""
        return self._instances.get(instance)

    def find_by_name(self, name: InstanceName) -> InstanceInfo | None:
        """Returns the incarnation of a server that is known, or None if none is."""
        current = self._current.get(name)
        return self._instances.get(current) if current is not None else None

    def resolve(self, instance: InstanceId) -> InstanceId:
        """Returns the incarnation that is known of a server of which only the name was said."""
        name, started_at_ms = split_instance_id(instance)
        return self._current.get(name, instance) if started_at_ms is None else instance

    def add_removal_listener(self, listener: Callable[[InstanceId], None]) -> None:
        """Calls a listener whenever an instance is dropped for good."""
        self._removal_listeners.append(listener)

    def update(self, info: InstanceInfo) -> None:
        """Stores an entry that is new or has changed.

        A later incarnation ends the one before; a late word of an earlier one changes nothing. An
        entry that does not say when its server started is of the incarnation that is known.
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
        self._current[info.name] = info.id

    def remove(self, name: InstanceName, *, store_healthy: bool) -> None:
        """Records that a server's entry is gone.

        Args:
            sound: whether the store has been without fault for long enough to be believed.
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
        """Records that a server's entry names no server any more; one that leaves goes on to."""
        known = self.find_by_name(name)
        if known is not None and known.state is not InstanceState.LEAVING:
            self.forget(known.id)

    def observe_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        """Records a weight version that an instance reports; it may be ahead of its entry."""
        observed = self._observed.setdefault(instance, {})
        is_first = version > 0 and not observed.get(model)
        observed[model] = max(version, observed.get(model, 0))
        info = self._instances.get(instance)
        if is_first and info is not None:
            self._store(info)

    def version_of(self, instance: InstanceId, model: ModelName) -> int:
        """Returns the newest weight version known of a model at an instance; 0 if none is."""
        info = self._instances.get(instance)
        listed = info.versions.get(model, 0) if info is not None else 0
        return max(listed, self._observed.get(instance, {}).get(model, 0))

    def mark_replaced(self, instance: InstanceId) -> None:
        """Drops an instance for good: another one has responded at its address.

        Its entry may stand for a while. A server that starts again is another instance.
        """
        self.forget(instance)
        self._replaced.add(instance)

    def forget(self, instance: InstanceId) -> None:
        """Drops an instance."""
        info = self._instances.pop(instance, None)
        if info is None:
            return
        self.index.drop(instance)
        if self._current.get(info.name) == instance:
            del self._current[info.name]
        self._observed.pop(instance, None)
        for listener in self._removal_listeners:
            listener(instance)

    def of_service(self, service: ServiceName) -> list[InstanceInfo]:
        """Returns the instances that may take new work."""
        return list(self.index.entries(service))

    def ready_of(self, service: ServiceName) -> list[InstanceInfo]:
        """Returns the instances whose entries stand, of those that may take new work."""
        return [info for info in self.of_service(service) if info.state is InstanceState.READY]

    def drop_unlisted(self) -> list[InstanceId]:
        """Drops the instances whose entries are not back, and returns them."""
        lapsed = [
            name for name, info in self._instances.items() if info.state is InstanceState.UNLISTED
        ]
        for name in lapsed:
            self.forget(name)
        return lapsed

    def accepts_work(self, instance: InstanceId) -> bool:
        """Returns whether an instance may be given new work at this moment."""
        info = self._instances.get(instance)
        return info is not None and info.state is not InstanceState.LEAVING

    def counts(self) -> dict[InstanceState, int]:
        """Returns how many instances are in each state."""
        counts = dict.fromkeys(InstanceState, 0)
        for info in self._instances.values():
            counts[info.state] += 1
        return counts

    def all(self) -> Iterable[InstanceInfo]:
        """Returns all instances, in no order."""
        return self._instances.values()

    def _store(self, info: InstanceInfo) -> None:
        self._instances[info.id] = info
        if info.state is InstanceState.LEAVING:
            self.index.drop(info.id)
            return
        known = (info.versions, self._observed.get(info.id, {}))
        models = {model for versions in known for model, version in versions.items() if version}
        self.index.put(info, models)
