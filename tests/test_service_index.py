"""Tests that the service index always agrees with a scan of all entries."""

import random
import unittest
from dataclasses import replace

from larkpost.common.ids import InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceState
from tests.server_parts import make_instance

SERVICES = (ServiceName("pages"), ServiceName("engines"))
MODELS = (ModelName("first"), ModelName("second"))
ZONES = (ZoneId("a"), ZoneId("b"))
NAMES = tuple(InstanceId(f"s{number}") for number in range(12))
STEPS = 600


def change(directory: InstanceDirectory, rng: random.Random) -> None:
    """Applies one random change that feeds or requests may make to a directory."""
    name = rng.choice(NAMES)
    match rng.randrange(8):
        case 0:
            directory.remove(name, store_healthy=rng.random() < 0.5)
        case 1:
            directory.mark_replaced(name)
        case 2:
            directory.observe_version(name, rng.choice(MODELS), rng.randrange(3))
        case 3:
            directory.drop_unlisted()
        case _:
            state = rng.choice((InstanceState.READY, InstanceState.READY, InstanceState.LEAVING))
            info = make_instance(name, rng.choice(SERVICES), zone=rng.choice(ZONES))
            versions = {model: rng.randrange(3) for model in MODELS if rng.random() < 0.7}
            directory.update(replace(info, state=state, versions=versions))


class ServiceIndexTest(unittest.TestCase):
    """Compares the index of a directory with its entries."""

    def check(self, directory: InstanceDirectory) -> None:
        """Compares all lookups of the index with the entries."""
        index = directory.index
        for service in SERVICES:
            open_to_work = {
                info.id: info
                for info in directory.all()
                if info.service == service and info.state is not InstanceState.LEAVING
            }
            entries = {info.id: info for info in index.entries(service)}
            self.assertEqual(open_to_work, entries)
            self.assertEqual(sorted(open_to_work), sorted(index.ids(service)))
            self.assertEqual({info.zone for info in entries.values()}, set(index.zones(service)))
            for model in MODELS:
                holders = {name for name in entries if directory.version_of(name, model)}
                self.assertEqual(sorted(holders), sorted(index.holders(service, model)))
            for name, info in entries.items():
                self.assertIs(info, index.get(service, name))

    def test_index_agrees_with_all_entries_after_each_change(self):
        for seed in range(10):
            rng = random.Random(seed)
            directory = InstanceDirectory()
            for _ in range(STEPS):
                change(directory, rng)
                self.check(directory)

    def test_instances_keep_their_order_when_their_entries_change(self):
        directory = InstanceDirectory()
        for name in NAMES:
            directory.update(make_instance(name))
        directory.update(make_instance(NAMES[3], slots=9))
        directory.remove(NAMES[5], store_healthy=False)
        directory.update(make_instance(NAMES[5]))
        self.assertEqual(list(NAMES), [info.id for info in directory.of_service(SERVICES[0])])

    def test_generation_changes_only_with_the_set_of_instances(self):
        directory = InstanceDirectory()
        seen = [directory.index.generation(SERVICES[0])]
        for change_entry, is_new in (
            (lambda: directory.update(make_instance("s0")), True),
            (lambda: directory.update(make_instance("s0", slots=9)), False),
            (lambda: directory.observe_version(InstanceId("s0"), MODELS[0], 4), False),
            (lambda: directory.update(make_instance("s1")), True),
            (lambda: directory.remove("s0", store_healthy=True), True),
            (lambda: directory.update(make_instance("s2")), True),
        ):
            change_entry()
            generation = directory.index.generation(SERVICES[0])
            self.assertEqual(is_new, generation != seen[-1])
            self.assertEqual(is_new, generation not in seen)
            seen.append(generation)


if __name__ == "__main__":
    unittest.main()
