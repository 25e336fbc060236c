"""Checks that a connection overwrites no attribute of the library class that it extends."""

import ast
import inspect
import textwrap
import unittest

from aiohttp.client_proto import ResponseHandler

from larkpost.platform.watched_connection import WatchedConnection


def assigned_attributes(cls: type) -> set[str]:
    """Returns the names that the methods of a class assign on ``self``."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(cls)))
    return {
        node.attr
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.ctx, ast.Store)
        and isinstance(node.value, ast.Name)
        and node.value.id == "self"
    }


class BaseClassNamesTest(unittest.TestCase):
    """Guards against a private name that the library uses for something else."""

    def test_watched_connection_overwrites_no_attribute_of_its_base(self):
        own = assigned_attributes(WatchedConnection)
        self.assertIn("record", own)
        self.assertIn("_timer", assigned_attributes(ResponseHandler))
        self.assertEqual(set(), own & assigned_attributes(ResponseHandler))


if __name__ == "__main__":
    unittest.main()
