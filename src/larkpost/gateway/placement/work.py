"""What is to be sent to an instance, as far as rules of placement ask."""

from dataclasses import dataclass
from enum import StrEnum

from larkpost.common.ids import RegionId
from larkpost.gateway.blackboard.configuration import ModelName


class WorkKind(StrEnum):
    """What kind of work it is."""

    CLIENT = "client"  # a client's request
    ITEM = "item"  # a run of a batch's item, new or continued
    REWARD = "reward"  # a call that scores an item's output
    ORDER = "order"  # an order to load weights; no request


@dataclass(frozen=True, slots=True)
class Work:
    """One piece of work that wants a place.

    Attributes:
        regions: the only regions in which it may be served; None for all.
        model: the model that makes its tokens; None if it names none.
        minimum_version: oldest weight version that may make them.
        is_suspect: whether servers have crashed repeatedly under such a request.
    """

    kind: WorkKind
    regions: frozenset[RegionId] | None = None
    model: ModelName | None = None
    minimum_version: int = 0
    is_suspect: bool = False


CLIENT_WORK = Work(WorkKind.CLIENT)
REWARD_WORK = Work(WorkKind.REWARD)
ORDER_WORK = Work(WorkKind.ORDER)
