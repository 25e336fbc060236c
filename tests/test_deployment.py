"""Checks that the daemon imports only libraries that the deployment installs."""

import json
import re
import subprocess
import sys
import unittest
from importlib.metadata import packages_distributions
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LIST_MODULES = (
    "import json, sys, larkpost.platform.process;"
    "print(json.dumps(sorted({name.partition('.')[0] for name in sys.modules})))"
)


def _canonical(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


class DeploymentTest(unittest.TestCase):
    """Compares what the daemon imports with the deployment's list of libraries."""

    def test_daemon_imports_only_what_the_deployment_installs(self):
        lines = (ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8").splitlines()
        installed = {_canonical(line.partition("==")[0]) for line in lines if line.strip()}
        done = subprocess.run(
            [sys.executable, "-c", LIST_MODULES], capture_output=True, text=True, check=True
        )
        distributions = packages_distributions()
        for module in json.loads(done.stdout):
            for name in distributions.get(module, ()):
                if module != "larkpost" and not module.startswith("_"):
                    self.assertIn(_canonical(name), installed, module)


if __name__ == "__main__":
    unittest.main()
