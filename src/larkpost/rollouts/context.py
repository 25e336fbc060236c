"""What running batches needs of its daemon."""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.clock import Clock
from larkpost.eventlog import EventLog
from larkpost.fleet.configuration import ConfigurationState
from larkpost.fleet.directory import Directory
from larkpost.metrics import Metrics
from larkpost.proxy.balancer import Balancer
from larkpost.proxy.port import ServerPort
from larkpost.proxy.shares import ShareChooser


@dataclass(slots=True)
class RunServices:
    """The parts of a daemon that batches use; `store_time` is the store's clock, if known."""

    configuration: ConfigurationState
    directory: Directory
    balancer: Balancer
    servers: ServerPort
    clock: Clock
    log: EventLog
    metrics: Metrics
    shares: ShareChooser
    store_time: Callable[[], float | None]
