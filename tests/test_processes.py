"""Kills, freezes and stops real daemons under load; checks the records of their callers."""

import os
import signal
import tempfile
import time
import unittest
from pathlib import Path

from larkpost.rehearsal.processes import ProcessGroup, wait_for
from larkpost.rehearsal.sites import SANTIAGO
from tests.process_fleet import Fleet, begin_fleet, finish_fleet
from tests.process_load import MUST_BE_ZERO, start_load, summarise, wait_for_load

LOAD_SECONDS = 14.0
FREEZE_SECONDS = 5.0
STOP_TIMEOUT = 60.0


class ProcessTest(unittest.TestCase):
    """One fleet of six daemons in three zones."""

    def test_kill_freeze_and_planned_stop_under_load_violate_no_invariant(self):
        with tempfile.TemporaryDirectory() as folder, ProcessGroup(Path(folder)) as group:
            fleet = begin_fleet(group, SANTIAGO, daemons_per_zone=2)
            finish_fleet(fleet)
            load = start_load(fleet, LOAD_SECONDS, seed=3)
            self._inject_faults(fleet)
            wait_for_load([load], LOAD_SECONDS)
            summary = summarise([load])
        broken = {name: summary[name] for name in MUST_BE_ZERO if summary[name]}
        self.assertEqual(broken, {})
        self.assertEqual(summary["samples_delivered"], summary["samples_expected"])
        self.assertGreater(summary["trainer_steps"], 1)
        self.assertGreater(summary["client_requests"], 20)

    def _inject_faults(self, fleet: Fleet) -> None:
        killed, frozen, stopped = list(fleet.daemons.values())[:3]
        time.sleep(2.0)
        killed.process.send(signal.SIGKILL)
        time.sleep(1.0)
        frozen.process.send(signal.SIGSTOP)
        fleet.engines["redactor-2"].process.send(signal.SIGKILL)
        time.sleep(FREEZE_SECONDS)
        frozen.process.send(signal.SIGCONT)
        stopped.process.send(signal.SIGTERM)
        fleet.engines["estante-1"].process.send(signal.SIGTERM)
        pid = stopped.process.popen.pid
        wait_for(lambda: stopped.process.popen.poll() is not None, f"{pid} stops", STOP_TIMEOUT)
        self.assertEqual(stopped.process.popen.returncode, 0, os.linesep.join(_errors(stopped)))


def _errors(node) -> list[str]:
    path = node.process.output.with_suffix(".err")
    return path.read_text(encoding="utf-8").splitlines()[-20:]
