"""Tests of the settings: precedence of their sources, and errors that name what is invalid."""

import tempfile
import unittest
from pathlib import Path

from larkpost.common.errors import SettingsError
from larkpost.standalone.settings import load_settings

FILE = """
daemon_id = "d1"
zone = "z"
listen = "127.0.0.1:8100"
platform = "127.0.0.1:9000"
[membership]
probe_interval = 0.5
"""


class SettingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "daemon.toml"
        self.path.write_text(FILE, encoding="utf-8")

    def fail_with(self, text: str, **overrides) -> SettingsError:
        self.path.write_text(FILE + text, encoding="utf-8")
        with self.assertRaises(SettingsError) as caught:
            load_settings(self.path, overrides)
        return caught.exception

    def test_flag_wins_over_file_and_section_keeps_its_other_defaults(self):
        settings = load_settings(self.path, {"zone": "other", "daemon_id": None})
        self.assertEqual((settings.zone, settings.daemon_id), ("other", "d1"))
        self.assertEqual(settings.membership.probe_interval, 0.5)
        self.assertEqual(settings.membership.probe_timeout, 0.4)

    def test_unknown_setting_is_named(self):
        self.assertIn("probe_intervall", self.fail_with("probe_intervall = 1\n").message)

    def test_wrong_value_is_named(self):
        self.assertIn("routing.retry_ratio", self.fail_with("[routing]\nretry_ratio=7\n").message)

    def test_wrong_address_names_the_expected_format(self):
        self.assertIn("host:port", self.fail_with("", listen="nowhere").message)

    def test_file_that_is_not_toml_is_named(self):
        self.assertIn("not TOML", self.fail_with("= =").message)

    def test_missing_file_and_missing_settings_are_named(self):
        with self.assertRaises(SettingsError) as caught:
            load_settings(self.path.with_name("absent.toml"), {})
        self.assertIn("absent.toml", caught.exception.message)
        with self.assertRaises(SettingsError) as caught:
            load_settings(None, {"zone": "z"})
        self.assertIn("daemon_id", caught.exception.message)
