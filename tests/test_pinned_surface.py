"""What people and programs outside see of larkpost: its form must stay as it is.

Events of the log with their fields, metrics, commands with their help, settings, codes of errors
and the files of ``deploy/`` are compared with `pinned_surface.json`. That file and this module are
not edited when the code is reshaped, but for imports: a difference is a change for everyone who
reads the log, queries the metrics or calls a daemon. Run as a program it prints today's form.
"""

import ast
import hashlib
import importlib
import json
import pkgutil
import re
import sys
import unittest
from pathlib import Path
from typing import Any

import typer
from click.testing import CliRunner

import larkpost
from larkpost.cli import app
from larkpost.common.errors import LarkpostError
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.metrics import Metrics
from larkpost.standalone.settings import Settings
from larkpost.standalone.telemetry import Telemetry

ROOT = Path(__file__).resolve().parent.parent
PINNED = Path(__file__).with_name("pinned_surface.json")
COMMANDS = (
    (),
    ("run",),
    ("serve",),
    ("explain",),
    ("batches",),
    ("status",),
    ("drain",),
    ("intent",),
    ("intent", "plan"),
    ("intent", "confirm"),
    ("intent", "show"),
    ("rehearsal", "demo"),
    ("rehearsal", "bench"),
)
TRIAL_ONLY_CODES = {"policy"}
"""Codes that no running daemon raises: only a trial that makes a daemon by hand can meet them."""


def logged_fields() -> dict[str, list[str]]:
    """Returns the keywords that the sources write with each event of the log, by event."""
    fields: dict[str, set[str]] = {}
    for path in sorted((ROOT / "src").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call):
                continue
            for name in filter(None, map(_event_name, node.args)):
                named = {keyword.arg for keyword in node.keywords if keyword.arg}
                fields.setdefault(Event[name].value, set()).update(named)
    return {event: sorted(names) for event, names in sorted(fields.items())}


def _event_name(argument: ast.expr) -> str | None:
    if not isinstance(argument, ast.Attribute) or not isinstance(argument.value, ast.Name):
        return None
    return argument.attr if argument.value.id == "Event" else None


def metric_heads() -> list[str]:
    """Returns the name, help and kind of each metric of both programs."""
    names = Metrics().text().decode().splitlines()
    own = Telemetry("daemon", log=False).registry.collect()
    lines = [line for line in names if line.startswith("#") and "_created" not in line]
    lines += [f"# {metric.name} {metric.type} {metric.documentation}" for metric in own]
    return sorted(lines)


def help_texts() -> dict[str, list[str]]:
    """Returns the words of the help of each command, in their order."""
    runner = CliRunner(env={"COLUMNS": "200", "TERMINAL_WIDTH": "200", "NO_COLOR": "1"})
    program = typer.main.get_command(app)
    texts = {}
    for command in COMMANDS:
        shown = runner.invoke(program, [*command, "--help"], prog_name="larkpost").output
        texts[" ".join(command)] = re.sub(r"\x1b\[[0-9;]*m|[│╭╮╰╯─]", " ", shown).split()
    return texts


def error_codes() -> dict[str, list[int]]:
    """Returns the statuses of each code of error."""
    for module in pkgutil.walk_packages(larkpost.__path__, "larkpost."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    codes: dict[str, list[int]] = {}
    kinds = [LarkpostError]
    while kinds:
        kind = kinds.pop()
        kinds += kind.__subclasses__()
        if kind.code not in TRIAL_ONLY_CODES and kind.__module__.startswith("larkpost."):
            codes[kind.code] = sorted({*codes.get(kind.code, ()), kind.status})
    return dict(sorted(codes.items()))


def checksums() -> dict[str, str]:
    """Returns the checksum of each file that a deployment is built from."""
    files = sorted(path for path in (ROOT / "deploy").iterdir() if path.is_file())
    return {path.name: hashlib.sha256(path.read_bytes()).hexdigest() for path in files}


def settings_fields(schema: Any) -> Any:
    """Returns the settings' fields, bounds and defaults: their schema without its descriptions."""
    if isinstance(schema, list):
        return [settings_fields(part) for part in schema]
    if not isinstance(schema, dict):
        return schema
    kept = {name: part for name, part in schema.items() if not _is_description(name, part)}
    return {name: settings_fields(part) for name, part in kept.items()}


def _is_description(name: str, part: Any) -> bool:
    return name == "description" and isinstance(part, str)


def surface() -> dict[str, Any]:
    """Returns today's form of everything that is pinned."""
    return {
        "log": logged_fields(),
        "events": sorted(event.value for event in Event),
        "metrics": metric_heads(),
        "commands": help_texts(),
        "settings": settings_fields(Settings.model_json_schema()),
        "errors": error_codes(),
        "deploy": checksums(),
    }


class PinnedSurfaceTest(unittest.TestCase):
    """Compares each part with the pinned one."""

    maxDiff = None

    @classmethod
    def setUpClass(cls):
        cls.pinned = json.loads(PINNED.read_text(encoding="utf-8"))
        cls.today = json.loads(json.dumps(surface()))

    def check(self, part: str):
        """Compares one part."""
        self.assertEqual(self.pinned[part], self.today[part])

    def test_events_are_written_with_the_same_fields(self):
        self.check("log")

    def test_events_have_the_same_names(self):
        self.check("events")

    def test_metrics_have_the_same_names_kinds_and_meanings(self):
        self.check("metrics")

    def test_commands_have_the_same_help(self):
        self.check("commands")

    def test_settings_have_the_same_fields_bounds_and_defaults(self):
        self.check("settings")

    def test_errors_have_the_same_codes_and_statuses(self):
        self.check("errors")

    def test_files_of_a_deployment_are_the_same(self):
        self.check("deploy")


if __name__ == "__main__":
    json.dump(surface(), sys.stdout, indent=1, sort_keys=True)
