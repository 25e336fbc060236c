"""The platform's settings: errors name the invalid field, and changed files are reloaded."""

import asyncio
import resource
import signal
import tempfile
import unittest
from pathlib import Path

from larkpost.common.errors import SettingsError
from larkpost.common.ids import Address, ZoneId
from larkpost.gateway.assembly.environment import GatewaySettings
from larkpost.gateway.blackboard.cold_instances import ColdTerms
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.usage.port import UsageTerms
from larkpost.platform.process import STACK_SIGNAL
from larkpost.platform.settings import load_platform_settings
from larkpost.platform.settings_watch import ReloadTargets, SettingsWatcher
from larkpost.platform.stand_in.daemon_settings import DaemonSettings, write_settings
from larkpost.platform.store import HttpStore
from larkpost.rehearsal.processes import ProcessGroup, free_address, wait_for

GOOD = """
node = "front-1"
ip = "10.0.0.1"
zone = "z"
unknown = { of = "later" }
metrics = "9100/figures"
port-range = [7720, 7735]
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
[bounds]
grace-s = 7.5
lease-ms = 2000
[platform]
address = "10.9.0.1:8169"
row_bytes = 4096
"""


class SettingsTest(unittest.TestCase):
    """Loads settings files."""

    def load(self, text: str):
        """Writes a file and loads it."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text, encoding="utf-8")
            return load_platform_settings(path)

    def test_good_settings_with_fields_unknown_and_left_out(self):
        settings = self.load(GOOD)
        self.assertEqual((7.5, 2.0, 3.0), (settings.grace_time, settings.lease_time, 3.0))
        self.assertEqual((4096, 120), (settings.row_bytes, settings.batch_lifetime))
        self.assertEqual((9100, "/figures"), settings.metrics)
        self.assertEqual("10.0.0.1:7720", settings.peer)
        self.assertIsNone(self.load(GOOD.replace("port-range = [7720, 7735]", "")).peer)

    def test_memory_is_what_the_file_says_or_not_limited(self):
        self.assertEqual(160_000_000, self.load(GOOD + "[limits]\nmemory-mb = 160\n").memory_bytes)
        self.assertIsNone(self.load(GOOD).memory_bytes)
        for wrong in ("0", "-3", '"160"', "true"):
            with self.subTest(wrong), self.assertRaises(SettingsError) as caught:
                self.load(GOOD + f"[limits]\nmemory-mb = {wrong}\n")
            self.assertIn("limits.memory-mb", caught.exception.message)

    def test_cores_are_the_share_of_a_core_times_its_speed(self):
        given = self.load(GOOD + "[limits]\ncores = 3\ncpu-share = 0.717\n")
        self.assertAlmostEqual(2.151, given.cores)
        self.assertEqual(2.0, self.load(GOOD + "[limits]\ncores = 2\n").cores)
        self.assertIsNone(self.load(GOOD).cores)

    def test_most_descriptors_are_the_given_ones_or_the_system_s(self):
        given = self.load(GOOD + "[limits]\nmax-fds = 900\n")
        self.assertEqual(900, given.max_descriptors)
        system = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.assertEqual(system, self.load(GOOD).max_descriptors)

    def test_duties_and_usage_are_asked_for_or_not(self):
        self.assertIsNone(self.load(GOOD).duties)
        self.assertIsNone(self.load(GOOD).usage)
        asked = GOOD.replace("[platform]", "report-window-s = 4\nusage-late-s = 9\n[platform]")
        asked += '[cloud-api]\naddress = "10.9.0.2:80"\nduties = ["usage", "autoscale"]\n'
        settings = self.load(asked)
        self.assertEqual("10.9.0.2:80", settings.duties)
        self.assertEqual(UsageTerms(4, 9), settings.usage)
        self.assertIsNone(self.load(asked.replace('"usage", ', "")).usage)

    def test_limits_of_cold_servers_are_agreed_or_not(self):
        self.assertIsNone(self.load(GOOD).cold)
        agreed = GOOD.replace("[platform]", "cold-overage = 1.5\ncold-slack = 5\n[platform]")
        self.assertEqual(ColdTerms(1.5, 5), self.load(agreed).cold)
        without = self.load(agreed.replace("cold-slack = 5", "cold-slack = 0"))
        self.assertEqual(ColdTerms(1.5, 0), without.cold)

    def test_wrong_fields_are_named_with_their_remedy(self):
        wrong = {
            'front = "10.0.0.1:80"': ("front = 5", "listen.front"),
            'address = "10.9.0.1:8169"': ('address = "nowhere"', "platform.address"),
            "lease-ms = 2000": ("lease-ms = -1", "bounds.lease-ms"),
            'zone = "z"': ("", "zone"),
            'metrics = "9100/figures"': ('metrics = "x"', "metrics"),
            "port-range = [7720, 7735]": ('port-range = ["x"]', "port-range"),
        }
        for good, (bad, name) in wrong.items():
            with self.assertRaises(SettingsError) as caught:
                self.load(GOOD.replace(good, bad))
            self.assertIn(name, caught.exception.message)
            self.assertIn(name, caught.exception.remedy)

    def test_zones_and_their_regions(self):
        zones = '[zones]\nz = "east"\ny = "east"\nx = "west"\n'
        for named in ("", 'region = "east"\n'):
            regions = self.load(named + GOOD + zones).regions
            found = [regions.region_of(ZoneId(zone)) for zone in "zyxw"]
            self.assertEqual(["east", "east", "west", None], found)
        only_own = self.load('region = "east"\n' + GOOD).regions
        self.assertEqual(("east", "east"), (only_own.own_region, only_own.region_of(ZoneId("y"))))
        self.assertIsNone(self.load(GOOD).regions.own_region)

    def test_wrong_zones_and_regions_are_named(self):
        for before, after, name in (
            ("region = 5\n", "", "region"),
            ('region = "west"\n', '[zones]\nz = "east"\n', "region"),
            ('zones = "z"\n', "", "zones"),
            ("", "[zones]\nz = 5\n", "zones.z"),
            ("", '[zones]\ny = ""\n', "zones.y"),
        ):
            with self.assertRaises(SettingsError) as caught:
                self.load(before + GOOD + after)
            self.assertTrue(caught.exception.message.startswith(f"{name} is"))
            self.assertIn(name, caught.exception.remedy)

    def test_missing_and_unreadable_files(self):
        for text in ("= no toml", GOOD.replace("[listen]", "[listen")):
            with self.assertRaises(SettingsError):
                self.load(text)
        with self.assertRaises(SettingsError):
            load_platform_settings(Path("/nonexistent/node.toml"))


class ReloadTest(unittest.TestCase):
    """A daemon process whose settings change; its store does not respond."""

    def test_changes_are_taken_with_and_without_a_signal(self):
        with tempfile.TemporaryDirectory() as name, ProcessGroup(Path(name)) as group:
            folder = Path(name)
            place = DaemonSettings(
                "front-1",
                ZoneId("z"),
                free_address(),
                free_address(),
                free_address(),
                Address("127.0.0.1:9"),
            )
            environment = write_settings(place, folder)
            path = folder / "front-1.toml"
            good = path.read_text(encoding="utf-8")
            daemon = group.start_module(
                "front-1", "larkpost.platform.process", environment=environment
            )

            def outcomes(outcome: str) -> int:
                return sum(f'"outcome":"{outcome}"' in line for line in self.settings(daemon))

            wait_for(lambda: any('"start"' in line for line in daemon.lines()), "a start")
            path.write_text(good.replace("grace-s = 8", "grace-s = 6"), encoding="utf-8")
            wait_for(lambda: outcomes("taken") == 1, "a change without a signal")
            path.write_text("= no toml", encoding="utf-8")
            wait_for(lambda: outcomes("refused") >= 1, "a refusal")
            path.write_text(good, encoding="utf-8")
            daemon.send(signal.SIGHUP)
            wait_for(lambda: outcomes("taken") == 2, "a change with a signal")
            daemon.send(signal.SIGTERM)
            self.assertEqual(0, daemon.wait(12))
            self.assertTrue(any('"stop"' in line for line in daemon.lines()))

    def test_process_tells_on_a_signal_where_it_stands_and_goes_on(self):
        """A daemon whose event loop does not go on can write no line of its log."""
        with tempfile.TemporaryDirectory() as name, ProcessGroup(Path(name)) as group:
            addresses = (free_address(), free_address(), free_address(), Address("127.0.0.1:9"))
            place = DaemonSettings("front-1", ZoneId("z"), *addresses)
            daemon = group.start_module(
                "front-1",
                "larkpost.platform.process",
                environment=write_settings(place, Path(name)),
            )
            wait_for(lambda: any('"start"' in line for line in daemon.lines()), "a start")
            daemon.send(STACK_SIGNAL)
            told = Path(name) / "front-1.err"
            wait_for(lambda: " in run\n" in told.read_text(encoding="utf-8"), "its stack")
            daemon.send(signal.SIGTERM)
            self.assertEqual(0, daemon.wait(12))

    def test_change_during_the_start_is_not_missed(self):
        """The file is compared with the content that was read before the settings were loaded."""

        async def play() -> GatewaySettings:
            with tempfile.TemporaryDirectory() as name:
                path = Path(name) / "node.toml"
                path.write_text(GOOD.replace("grace-s = 7.5", "grace-s = 4.5"), encoding="utf-8")
                reload = asyncio.Event()
                reload.set()
                current = GatewaySettings("front-1", grace_time=7.5)
                store = HttpStore(Address("10.9.0.1:8169"), 4096)
                log = EventLog("front-1")
                targets = ReloadTargets(current, store, None)
                watcher = SettingsWatcher(path, GOOD.encode(), reload, targets, log)
                watching = asyncio.create_task(watcher.watch())
                await asyncio.sleep(0.05)
                watching.cancel()
                await store.close()
                return current

        self.assertEqual(4.5, asyncio.run(play()).grace_time)

    @staticmethod
    def settings(daemon) -> list[str]:
        """Returns the log lines about settings."""
        return [line for line in daemon.lines() if '"message_type":"settings"' in line]
