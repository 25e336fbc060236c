"""Runs all tests with nose2, modules side by side, and ends with one line: ``N passed, N failed``.

Each module runs in a process of its own, a few at a time. Modules that start real processes wait
for time on the machine's clock, so they run by themselves once the others are done.

Tests named in KNOWN-RED.txt may fail: they are run and printed, and counted as skipped if they do.
A test of that list that passes is counted as failed, so that the list cannot outlive its cause.
"""

import asyncio
import os
import sys
from dataclasses import dataclass, field
from pathlib import Path

import nose2
from nose2 import events, result

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
MODULES_AT_ONCE = max(2, min(6, (os.cpu_count() or 2) - 1))
MODULE_SECONDS = 900
"""A module that runs longer has failed."""
REAL_PROCESS_MODULES = (
    "tests.test_processes",
    "tests.test_memory",
    "tests.test_platform_settings",
    "tests.test_deployment",
    "tests.test_process_soak",
    "tests.test_silent_connections",
    "tests.test_early_signals",
)
"""Modules that start processes, or measure time; they run after the others, one at a time."""
SLOWEST_FIRST = ("tests.test_fuzz", "tests.test_soak", "tests.test_regressions")
"""Modules that begin first, as the whole run waits for them."""
ONE_MODULE = "--module"
COUNT_LINE = "module counts:"


def read_known_red() -> set[str]:
    """Returns the ids of the tests that may fail; the first word of each line."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    names = {line.split()[0].rstrip(":,") for line in lines if line and not line.startswith("#")}
    if len(names) > MAX_KNOWN_RED:
        raise SystemExit(f"KNOWN-RED.txt names {len(names)} tests, but at most {MAX_KNOWN_RED}")
    return names


@dataclass(slots=True)
class Counts:
    """Outcomes of tests; `red` names the known red ones that failed."""

    passed: int = 0
    failed: int = 0
    red: set[str] = field(default_factory=set)

    def add(self, other: "Counts") -> None:
        """Adds the outcomes of other tests."""
        self.passed += other.passed
        self.failed += other.failed
        self.red |= other.red

    def line(self) -> str:
        """Returns the counts as the last line of a module's output."""
        return " ".join([COUNT_LINE, str(self.passed), str(self.failed), *sorted(self.red)])

    @classmethod
    def of_line(cls, line: str) -> "Counts":
        """Reads the last line of a module's output; anything else counts as one failure."""
        if not line.startswith(COUNT_LINE):
            return cls(failed=1)
        passed, failed, *red = line.removeprefix(COUNT_LINE).split()
        return cls(int(passed), int(failed), set(red))


class OutcomeCounter(events.Plugin):
    """Counts outcomes and lets known red tests pass over."""

    known_red = read_known_red()
    counts = Counts()

    def setTestOutcome(self, event) -> None:  # noqa: N802 (nose2's name)
        """Counts a test's outcome."""
        name = event.test.id().split("\n")[0]
        failed = event.outcome in (result.FAIL, result.ERROR)
        if failed and name in self.known_red:
            event.outcome = result.SKIP
            event.reason = "known red"
            self.counts.red.add(name)
        elif failed:
            self.counts.failed += 1
        elif event.outcome == result.PASS:
            self.counts.passed += 1


def run_module(names: list[str]) -> Counts:
    """Runs tests in this process and returns their counts."""
    arguments = ["nose2", "-v", "-s", str(ROOT / "tests"), "-t", str(ROOT), *names]
    program = nose2.discover(argv=arguments, exit=False, extraHooks=_hooks())
    counts = OutcomeCounter.counts
    if counts.failed == 0 and not program.result.wasSuccessful():
        counts.failed = 1
    return counts


async def run_all() -> Counts:
    """Runs every module and returns the counts of all."""
    modules = {f"tests.{path.stem}" for path in (ROOT / "tests").glob("test_*.py")}
    together = sorted(modules - set(REAL_PROCESS_MODULES))
    together.sort(key=lambda name: name not in SLOWEST_FIRST)
    total = Counts()
    places = asyncio.Semaphore(MODULES_AT_ONCE)
    for counts in await asyncio.gather(*(_run_apart(module, places) for module in together)):
        total.add(counts)
    for module in REAL_PROCESS_MODULES:
        total.add(await _run_apart(module, places))
    return total


async def _run_apart(module: str, places: asyncio.Semaphore) -> Counts:
    """Runs a module in a process of its own, prints its output and returns its counts."""
    async with places:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.run",
            ONE_MODULE,
            module,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(MODULE_SECONDS):
                output, _ = await process.communicate()
        except TimeoutError:
            process.kill()
            output = (await process.stdout.read()) + b"\nran for too long\n"
    text = output.decode(errors="replace").rstrip()
    print(f"--- {module}\n{text}", flush=True)
    return Counts.of_line(text.rpartition("\n")[2])


def main() -> int:
    """Runs the tests and returns the exit status."""
    arguments = sys.argv[1:]
    if arguments[:1] == [ONE_MODULE]:
        counts = run_module(arguments[1:])
        sys.stderr.flush()
        print(counts.line(), flush=True)
        return 0
    counts = run_module(arguments) if arguments else asyncio.run(run_all())
    for name in sorted(counts.red):
        print(f"known red: {name}")
    turned_green = OutcomeCounter.known_red - counts.red if not arguments else set()
    for name in sorted(turned_green):
        print(f"named in KNOWN-RED.txt, but it did not fail: {name}")
    failed = counts.failed + len(turned_green)
    skipped = f", {len(counts.red)} skipped" if counts.red else ""
    sys.stderr.flush()
    print(f"{counts.passed} passed, {failed} failed{skipped}", flush=True)
    return 1 if failed or counts.passed == 0 else 0


def _hooks() -> list[tuple[str, events.Plugin]]:
    counter = OutcomeCounter(session=nose2.session.Session())
    return [("setTestOutcome", counter)]


if __name__ == "__main__":
    sys.exit(main())
