"""Checks that every exception handler acts on the error or has a comment with the reason."""

import ast
import unittest
from pathlib import Path

SOURCES = Path(__file__).resolve().parent.parent / "src" / "larkpost"
PACKAGES = ("gateway", "platform")
"""The packages of the program that runs on the platform."""
MODULES = ("common/tasks.py",)


def find_swallowed(source: str) -> list[int]:
    """Returns the lines of handlers that do nothing with an error and give no reason.

    A handler acts if it raises, calls or assigns anything. Otherwise it needs a comment on one of
    its lines.
    """
    lines = source.splitlines()
    found = []
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.ExceptHandler):
            continue
        acts = (ast.Raise, ast.Call, ast.Assign, ast.AugAssign, ast.AnnAssign)
        if any(isinstance(inner, acts) for part in node.body for inner in ast.walk(part)):
            continue
        text = lines[node.lineno - 1 : node.end_lineno]
        if not any("# " in line for line in text):
            found.append(node.lineno)
    return found


class SwallowedErrorsTest(unittest.TestCase):
    """Checks the exception handlers of the gateway, the platform and common/tasks.py."""

    def test_every_handler_acts_or_has_a_comment(self):
        paths = [path for name in PACKAGES for path in sorted((SOURCES / name).rglob("*.py"))]
        paths += [SOURCES / name for name in MODULES]
        self.assertGreater(len(paths), 50)
        found = [
            f"{path.relative_to(SOURCES)}:{line}"
            for path in paths
            for line in find_swallowed(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], found)

    def test_bare_handlers_are_found(self):
        source = "try:\n    f()\nexcept ValueError:\n    return_value = None\n"
        self.assertEqual([], find_swallowed(source))
        bare = "def g():\n    try:\n        f()\n    except ValueError:\n        return None\n"
        self.assertEqual([4], find_swallowed(bare))
        self.assertEqual([], find_swallowed(bare.replace("None\n", "None  # it is optional\n")))
        self.assertEqual([4], find_swallowed(bare.replace("return None", "pass")))
        noted = bare.replace("return None", "return note()")
        self.assertEqual([], find_swallowed(noted))


if __name__ == "__main__":
    unittest.main()
