"""Tests of signals at any moment of a process's life, from its first instruction to its last."""

import signal
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from larkpost.common.ids import Address, ZoneId
from larkpost.platform.stand_in.daemon_settings import DaemonSettings, write_settings
from larkpost.rehearsal.processes import free_address

PROGRAM = Path(__file__).resolve().parent.parent / "src" / "serve.py"
STEP_SECONDS, STEPS = 0.02, 50
"""Signals are sent at these moments after the process can be expected to handle them."""
AT_ONCE = 8
STOP_SECONDS = 15.0
START_SECONDS = 15.0
POLL_SECONDS = 0.002


class Daemon:
    """A daemon process whose store does not respond."""

    def __init__(self, folder: Path, name: str) -> None:
        place = DaemonSettings(
            name,
            ZoneId("z"),
            free_address(),
            free_address(),
            free_address(),
            Address("127.0.0.1:9"),
        )
        self._output = folder / f"{name}.out"
        self.settings = folder / f"{name}.toml"
        environment = write_settings(place, folder)
        with self._output.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, str(PROGRAM)],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env=environment,
            )
        self.began = time.monotonic()

    def catches(self, number: signal.Signals) -> bool:
        """Returns whether the process handles a signal now."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        mask = next(line for line in status.splitlines() if line.startswith("SigCgt"))
        return bool(int(mask.split()[1], 16) >> (number - 1) & 1)

    def text(self) -> str:
        """Returns what it has written."""
        return self._output.read_text(encoding="utf-8")

    def wait_until(self, condition: Callable[[], bool]) -> float:
        """Waits until a condition holds; returns the seconds since the process began."""
        while not condition():
            if time.monotonic() - self.began > START_SECONDS:
                raise AssertionError(f"not within {START_SECONDS:g} s: {self.text()}")
            time.sleep(POLL_SECONDS)
        return time.monotonic() - self.began


class EarlySignalsTest(unittest.TestCase):
    """Real processes, each with a signal at another moment."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def start(self, name: str) -> Daemon:
        """Starts a daemon that is killed after the test."""
        daemon = Daemon(self.folder, name)
        self.addCleanup(daemon.process.wait)
        self.addCleanup(daemon.process.kill)
        return daemon

    def play_at_each_step(self, play: Callable[[int], None]) -> None:
        """Calls a function for each moment, a few at the same time."""
        with ThreadPoolExecutor(AT_ONCE) as pool:
            for _ in pool.map(play, range(STEPS)):
                pass

    def test_signals_are_handled_before_the_slow_imports(self) -> None:
        daemon = self.start("front")
        handled = daemon.wait_until(lambda: daemon.catches(signal.SIGTERM))
        started = daemon.wait_until(lambda: '"start"' in daemon.text())
        self.assertLess(handled, started / 2)

    def test_early_stop_ends_the_process_well(self) -> None:
        def play(step: int) -> None:
            daemon = self.start(f"term-{step}")
            daemon.wait_until(lambda: daemon.catches(signal.SIGTERM))
            time.sleep(step * STEP_SECONDS)
            daemon.process.send_signal(signal.SIGTERM)
            self.assertEqual(0, daemon.process.wait(STOP_SECONDS), daemon.text())
            self.assertIn('"message_type":"stop"', daemon.text())

        self.play_at_each_step(play)

    def test_early_reload_takes_effect(self) -> None:
        def play(step: int) -> None:
            daemon = self.start(f"hup-{step}")
            daemon.wait_until(lambda: daemon.catches(signal.SIGHUP))
            time.sleep(step * STEP_SECONDS)
            text = daemon.settings.read_text(encoding="utf-8")
            daemon.settings.write_text(text.replace("grace-s = 8", "grace-s = 6"), encoding="utf-8")
            daemon.process.send_signal(signal.SIGHUP)
            daemon.wait_until(lambda: '"start"' in daemon.text())
            daemon.process.send_signal(signal.SIGTERM)
            began = time.monotonic()
            self.assertEqual(0, daemon.process.wait(STOP_SECONDS), daemon.text())
            self.assertLess(time.monotonic() - began, 6.0)

        self.play_at_each_step(play)

    def test_stop_requests_that_go_on_until_the_end(self) -> None:
        def play(step: int) -> None:
            daemon = self.start(f"again-{step}")
            daemon.wait_until(lambda: daemon.catches(signal.SIGTERM))
            time.sleep(step * STEP_SECONDS)
            until = time.monotonic() + STOP_SECONDS
            while daemon.process.poll() is None and time.monotonic() < until:
                daemon.process.send_signal(signal.SIGTERM)
                time.sleep(POLL_SECONDS)
            self.assertEqual(0, daemon.process.wait(1.0), daemon.text())

        self.play_at_each_step(play)
