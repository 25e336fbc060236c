"""The folders of the gateway import only what stands below them."""

import ast
import unittest
from pathlib import Path

import larkpost.gateway

ROOT = Path(larkpost.gateway.__file__).parent
PACKAGE = "larkpost.gateway."
ORDER = (
    "observability",
    "store",
    "blackboard",
    "servers",
    "controllers",
    "usage",
    "placement",
    "quarantine",
    "proxy",
    "rollouts",
    "scaling",
    "assembly",
    "daemon",
)
EXCEPTIONS = {
    ("controllers.feeds", "quarantine"),
    ("controllers.feeds", "rollouts"),
    ("quarantine.repository", "rollouts"),
    ("blackboard.known_crashes", "quarantine"),
}
"""Modules that import a folder above their own; named in the package's documentation."""


def imported_modules(path: Path) -> list[str]:
    """Returns the modules that a file imports, those within functions included."""
    modules: list[str] = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            modules.append(node.module or "")
        elif isinstance(node, ast.Import):
            modules += [alias.name for alias in node.names]
    return modules


def imports_upwards() -> set[tuple[str, str]]:
    """Returns each module that imports a folder above its own, and which."""
    found = set()
    for path in ROOT.rglob("*.py"):
        module = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        own = module.split(".")[0]
        for name in imported_modules(path):
            folder = name.removeprefix(PACKAGE).split(".")[0]
            if not name.startswith(PACKAGE) or own not in ORDER or folder not in ORDER:
                continue
            if ORDER.index(folder) > ORDER.index(own):
                found.add((module, folder))
    return found


class LayersTest(unittest.TestCase):
    """Dependencies between folders go one way."""

    def test_no_folder_imports_one_above_it(self):
        self.assertLessEqual(imports_upwards(), EXCEPTIONS)
