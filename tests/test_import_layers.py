"""Checks which packages of larkpost may import each other.

Source files are parsed, not imported, so that imports inside functions are checked as well.
"""

import ast
import unittest
from collections.abc import Iterable
from pathlib import Path

SOURCES = Path(__file__).resolve().parent.parent / "src"

Imports = dict[str, set[str]]
"""For each module, the full names of the larkpost modules that it imports."""

PROGRAMS = ("gateway", "standalone", "platform", "rehearsal")

FORBIDDEN = {
    "common": PROGRAMS,
    "gateway": ("platform", "standalone", "rehearsal"),
    "platform": ("standalone", "rehearsal"),
    "standalone": ("gateway", "platform", "rehearsal"),
}
"""For each package, the packages that its modules must not import."""

GATEWAY_ORDER = (
    "observability",
    "memory",
    "store",
    "blackboard",
    "servers",
    "controllers",
    "usage",
    "placement",
    "quarantine",
    "fairness",
    "proxy",
    "rollouts",
    "scaling",
    "assembly",
    "graceful_shutdown",
    "daemon",
)
"""The parts of the gateway, lowest first: a part may import itself and lower ones only.

The package's documentation names the same order.
"""

KNOWN_VIOLATIONS: set[tuple[str, str]] = set()
"""Accepted violations, as (importing module, imported module)."""


def read_imports() -> Imports:
    """Returns the imports within larkpost of each of its modules."""
    modules = {_module_name(path): path for path in SOURCES.glob("larkpost/**/*.py")}
    return {name: _imported(path, set(modules)) for name, path in modules.items()}


def part(module: str) -> str:
    """Returns the folder or module directly below larkpost that `module` belongs to."""
    return module.split(".")[1] if "." in module else ""


def gateway_part(module: str) -> str:
    """Returns the folder or module directly below the gateway that `module` belongs to."""
    return ".".join(module.split(".")[2:3])


def forbidden_imports(imports: Imports) -> set[tuple[str, str]]:
    """Returns the imports between folders that `FORBIDDEN` rules out."""
    return {
        (module, imported)
        for module, imported in _pairs(imports)
        if part(imported) in FORBIDDEN.get(part(module), ())
    }


def upward_imports(imports: Imports) -> set[tuple[str, str]]:
    """Returns the imports within the gateway that go from a lower part to a higher one."""
    rank = {name: number for number, name in enumerate(GATEWAY_ORDER)}
    inside = [pair for pair in _pairs(imports) if all(gateway_part(m) in rank for m in pair)]
    return {
        (module, imported)
        for module, imported in inside
        if part(module) == part(imported) == "gateway"
        and rank[gateway_part(module)] < rank[gateway_part(imported)]
    }


def import_cycles(imports: Imports) -> list[list[str]]:
    """Returns the groups of modules that import each other, directly or indirectly."""
    reached = {module: _reached(module, imports) for module in imports}
    groups = {
        tuple(sorted(other for other in reached[module] if module in reached[other]))
        for module in imports
        if module in reached[module]
    }
    return [list(group) for group in sorted(groups)]


def _reached(module: str, imports: Imports) -> set[str]:
    found: set[str] = set()
    ahead = list(imports[module])
    while ahead:
        name = ahead.pop()
        if name not in found:
            found.add(name)
            ahead.extend(imports[name])
    return found


def _pairs(imports: Imports) -> Iterable[tuple[str, str]]:
    return [(module, imported) for module in imports for imported in imports[module]]


def _module_name(path: Path) -> str:
    return ".".join(path.relative_to(SOURCES).with_suffix("").parts).removesuffix(".__init__")


def _imported(path: Path, modules: set[str]) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom):
            whole = {f"{node.module}.{alias.name}" for alias in node.names}
            names |= {name if name in modules else str(node.module) for name in whole}
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
    return names & modules


class ImportLayersTest(unittest.TestCase):
    """Applies the import rules to the sources."""

    def setUp(self) -> None:
        self.imports = read_imports()

    def test_there_are_no_import_cycles(self) -> None:
        self.assertEqual(import_cycles(self.imports), [])

    def test_only_known_imports_break_a_rule(self) -> None:
        broken = forbidden_imports(self.imports) | upward_imports(self.imports)
        self.assertEqual(broken - KNOWN_VIOLATIONS, set(), "imports that break a rule")
        self.assertEqual(KNOWN_VIOLATIONS - broken, set(), "gone: take them out of KNOWN")

    def test_every_part_of_the_gateway_has_a_place_in_the_order(self) -> None:
        parts = {gateway_part(m) for m in self.imports if part(m) == "gateway"} - {""}
        self.assertEqual(parts, set(GATEWAY_ORDER))

    def test_no_import_is_relative(self) -> None:
        """The other tests do not detect relative imports."""
        for path in SOURCES.glob("larkpost/**/*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.ImportFrom):
                    self.assertEqual(node.level, 0, f"{path}:{node.lineno}")


class ImportRulesTest(unittest.TestCase):
    """The rules detect violations."""

    def test_cycle_of_three_modules_is_found(self) -> None:
        imports = {"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}
        self.assertEqual(import_cycles(imports), [["a", "b", "c"]])

    def test_forbidden_and_upward_imports_are_found(self) -> None:
        imports = {
            "larkpost.common.ids": {"larkpost.gateway.daemon"},
            "larkpost.gateway.store.port": {"larkpost.gateway.proxy.service_selection"},
            "larkpost.gateway.proxy.service_selection": {"larkpost.gateway.store.port"},
            "larkpost.gateway.daemon": {"larkpost.common.ids"},
        }
        self.assertEqual(
            forbidden_imports(imports), {("larkpost.common.ids", "larkpost.gateway.daemon")}
        )
        self.assertEqual(
            upward_imports(imports),
            {("larkpost.gateway.store.port", "larkpost.gateway.proxy.service_selection")},
        )


if __name__ == "__main__":
    unittest.main()
