"""Tests that the pages name existing files and the code that writes each event."""

import ast
import re
import unittest
from pathlib import Path

from larkpost.gateway.observability.eventlog import Event

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "src" / "larkpost"
PAGE = ROOT / "docs" / "ARCHITECTURE.md"
PATH = re.compile(
    r"`((?:src|tests|docs|deploy)?/?[a-z_0-9]+(?:/[A-Za-z_0-9.]+)*(?:/|\.py|\.md|\.toml))`"
)
EVENT_ROW = re.compile(r"^\| `([a-z_]+)` \| (.*) \|$", re.MULTILINE)
WRITER = re.compile(r"`([a-z_/]+\.py)` `([A-Za-z_.]+)`")
CURRENT_PAGES = (*(ROOT / "docs").glob("*.md"), *(ROOT / "docs" / "design").glob("*.md"))
"""Pages on the current code; those in docs/history/ may name former modules."""


def find_file(name: str) -> bool:
    """Returns whether a path exists in the repository, its sources, or the gateway."""
    return any((folder / name).exists() for folder in (ROOT, SOURCES, SOURCES / "gateway"))


def writers_of_events() -> dict[str, set[tuple[str, str]]]:
    """Returns the module and function of each call with an event, by event."""
    found: dict[str, set[tuple[str, str]]] = {}
    for path in sorted((SOURCES / "gateway").rglob("*.py")) + sorted(
        (SOURCES / "platform").rglob("*.py")
    ):
        module = str(path.relative_to(SOURCES))
        _collect(ast.parse(path.read_text(encoding="utf-8")), module, "", found)
    return found


def _collect(node: ast.AST, module: str, function: str, found: dict) -> None:
    for child in ast.iter_child_nodes(node):
        inner = function
        if isinstance(child, ast.ClassDef):
            inner = child.name
        elif isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef):
            inner = f"{function}.{child.name}" if function else child.name
        if isinstance(child, ast.Call) and function:
            for argument in child.args:
                if _is_event(argument):
                    event = Event[argument.attr].value
                    found.setdefault(event, set()).add((module, function))
        _collect(child, module, inner, found)


def _is_event(node: ast.expr) -> bool:
    return (
        isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "Event"
    )


def event_rows() -> str:
    """Returns the expected rows of the page's table."""
    rows = []
    for event, writers in sorted(writers_of_events().items()):
        names = ", ".join(f"`{module}` `{function}`" for module, function in sorted(writers))
        rows.append(f"| `{event}` | {names} |")
    return "\n".join(rows)


class ArchitecturePageTest(unittest.TestCase):
    """Compares the page with the sources."""

    maxDiff = None

    def test_every_path_that_a_page_names_exists(self):
        for page in CURRENT_PAGES:
            paths = PATH.findall(page.read_text(encoding="utf-8"))
            self.assertEqual([], [path for path in paths if not find_file(path)], page)

    def test_every_event_names_the_functions_that_write_it(self):
        text = PAGE.read_text(encoding="utf-8")
        known = writers_of_events()
        told = {
            event: set(WRITER.findall(writers))
            for event, writers in EVENT_ROW.findall(text)
            if event in known
        }
        self.assertEqual(known, told, f"the rows should be:\n{event_rows()}")


if __name__ == "__main__":
    print(event_rows())
