"""The directory of server instances: who serves which service, where, and in which state."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName


class InstanceState(StrEnum):
    """Whether an instance takes new work.

    READY may become LEAVING or UNLISTED. UNLISTED becomes READY again once its entry is back.
    LEAVING is final: an instance that comes back has a new id.
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
        born: Unix millisecond of its start, which tells its incarnations apart; None if it does
            not say it.
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
    born: int | None = None


class Directory:
    """All instances known, by id.

    An entry that goes while the store is sound ends the instance at once. While the store is not
    sound entries also go for no reason of the instance's; those of living instances are back soon
    after the store is. So the instance is kept until then, and serves like the others: if only
    those listed again did, all work would fall on the first few.
    """

    def __init__(self) -> None:
        self._instances: dict[InstanceId, InstanceInfo] = {}
        self._observed: dict[tuple[InstanceId, ModelName], int] = {}
        self._retired: set[InstanceId] = set()

    def __len__(self) -> int:
        return len(self._instances)

    def get(self, instance: InstanceId) -> InstanceInfo | None:
        """Returns an instance, or None if it is unknown."""
        return self._instances.get(instance)

    def update(self, info: InstanceInfo) -> None:
        """Stores an entry that is new or has changed."""
        if info.id in self._retired:
            return
        known = self._instances.get(info.id)
        if known is not None and known.state is InstanceState.LEAVING:
            info = replace(info, state=InstanceState.LEAVING)
        self._instances[info.id] = info

    def remove(self, instance: InstanceId, *, sound: bool) -> None:
        """Records that an entry is gone.

        Args:
            sound: whether the store has been without fault for long enough to be believed.
        """
        self._retired.discard(instance)
        known = self._instances.get(instance)
        if known is None:
            return
        if sound or known.state is InstanceState.LEAVING:
            self.forget(instance)
        else:
            self._instances[instance] = replace(known, state=InstanceState.UNLISTED)

    def observe_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        """Records a weight version that an instance reports; it may be ahead of its entry."""
        key = (instance, model)
        self._observed[key] = max(version, self._observed.get(key, 0))

    def version_of(self, instance: InstanceId, model: ModelName) -> int:
        """Returns the newest weight version known of a model at an instance; 0 if none is."""
        info = self._instances.get(instance)
        listed = info.versions.get(model, 0) if info is not None else 0
        return max(listed, self._observed.get((instance, model), 0))

    def retire(self, instance: InstanceId) -> None:
        """Drops an instance for good: another one has responded at its address.

        Its entry may stand for a while; each start has an id of its own, so it never comes back.
        """
        self.forget(instance)
        self._retired.add(instance)

    def forget(self, instance: InstanceId) -> None:
        """Drops an instance."""
        self._instances.pop(instance, None)
        for key in [key for key in self._observed if key[0] == instance]:
            del self._observed[key]

    def of_service(self, service: ServiceName) -> list[InstanceInfo]:
        """Returns the instances that may take new work."""
        return [
            info
            for info in self._instances.values()
            if info.service == service and info.state is not InstanceState.LEAVING
        ]

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

    def takes_work(self, instance: InstanceId) -> bool:
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
