"""The blackboard: one daemon's view of the cluster.

Feeds and server responses update it; request forwarding, batch runs and weight loads read it. Each
section records the age or version of its data.
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
    """The shared state of one daemon.

    Attributes:
        configuration: active routes, services, tenants and limits.
        directory: server instances with their states and weight versions.
        targets: the weight version that each model should have.
        evacuations: zones that receive no new requests.
        regions: regions of the zones.
        cold: instances that are cold.
        crashes: server crashes, by the request that the server was running.
    """

    regions: RegionMap = field(default_factory=RegionMap)
    configuration: ConfigurationState = field(default_factory=ConfigurationState)
    directory: InstanceDirectory = field(default_factory=InstanceDirectory)
    targets: WeightTargets = field(default_factory=WeightTargets)
    evacuations: Evacuations = field(default_factory=Evacuations)
    cold: ColdInstances = field(default_factory=ColdInstances)
    crashes: KnownCrashes = field(default_factory=KnownCrashes)
