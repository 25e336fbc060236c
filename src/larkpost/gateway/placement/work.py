"""Description of the work to be sent, as the placement rules need it."""

from dataclasses import dataclass
from enum import StrEnum

from larkpost.common.ids import RegionId
from larkpost.gateway.blackboard.configuration import ModelName


class WorkKind(StrEnum):
    """Kind of work."""

    CLIENT = "client"  # a client request
    ITEM = "item"  # a run of a batch item, new or resumed
    REWARD = "reward"  # a call that scores an item's output
    ORDER = "order"  # an order to load weights, not a request


@dataclass(frozen=True, slots=True)
class Work:
    """One piece of work to be placed.

    Attributes:
        regions: the only regions in which it may be served; None for all.
        model: the model that generates its tokens; None if it names none.
        minimum_version: oldest weight version that may generate its tokens.
        is_suspect: whether servers have repeatedly crashed while running such a request.
    """

    kind: WorkKind
    regions: frozenset[RegionId] | None = None
    model: ModelName | None = None
    minimum_version: int = 0
    is_suspect: bool = False


CLIENT_WORK = Work(WorkKind.CLIENT)
REWARD_WORK = Work(WorkKind.REWARD)
ORDER_WORK = Work(WorkKind.ORDER)
