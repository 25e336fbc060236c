"""What a daemon knows of the world: the blackboard that its controllers write.

Feeds and the responses of servers write it (`row_intake`, `directory`); forwarding, runs and orders
read it. Each part says by itself how old its news are or which version it holds.
"""

from dataclasses import dataclass, field

from larkpost.gateway.blackboard.cold_instances import ColdInstances
from larkpost.gateway.blackboard.configuration import ConfigurationState
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.evacuations import Evacuations
from larkpost.gateway.blackboard.known_crashes import KnownCrashes
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.blackboard.weight_targets import WeightTargets


@dataclass(slots=True)
class Blackboard:
    """The blackboard of one daemon.

    Attributes:
        configuration: routes, services, tenants and limits in force.
        directory: the server instances, their states and versions.
        targets: the weight version that each model should have.
        evacuations: the zones that are to get nothing.
        regions: where zones lie.
        cold: the instances that are cold.
        crashes: the servers that have crashed, and under which requests.
    """

    regions: RegionMap = field(default_factory=RegionMap)
    configuration: ConfigurationState = field(default_factory=ConfigurationState)
    directory: InstanceDirectory = field(default_factory=InstanceDirectory)
    targets: WeightTargets = field(default_factory=WeightTargets)
    evacuations: Evacuations = field(default_factory=Evacuations)
    cold: ColdInstances = field(default_factory=ColdInstances)
    crashes: KnownCrashes = field(default_factory=KnownCrashes)
