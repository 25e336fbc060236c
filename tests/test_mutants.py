"""Checks that the names that mutants patch exist, and the tests that must detect them.

`make mutants` runs the tests under each mutant and checks that it is detected.
"""

import unittest

from tests.mutants import EXPECTED_CHECKS, MUTANTS, OTHER_TESTS


class MutantsTest(unittest.TestCase):
    """Applies and reverts every mutant."""

    def test_every_mutant_finds_what_it_patches(self) -> None:
        for name, mutant in MUTANTS.items():
            with self.subTest(mutant=name), mutant():
                pass

    def test_tests_and_checks_are_named_for_known_mutants_only(self) -> None:
        self.assertEqual(set(), (set(OTHER_TESTS) | set(EXPECTED_CHECKS)) - set(MUTANTS))

    def test_every_test_named_for_a_mutant_exists(self) -> None:
        loader = unittest.TestLoader()
        for name in sorted(set(OTHER_TESTS.values())):
            suite = loader.loadTestsFromName(name)
            self.assertGreater(suite.countTestCases(), 0, name)
        self.assertEqual([], loader.errors)


if __name__ == "__main__":
    unittest.main()
