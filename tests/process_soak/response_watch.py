"""Watches whether each daemon of a soak answers at all, whatever the faults are.

A daemon whose event loop goes round without end answers nothing, though its process lives on.
"""

import asyncio
import http.client
import os
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from pathlib import Path

from larkpost.common.ids import Address
from larkpost.platform.stand_in.daemon_settings import ready_path
from larkpost.rehearsal.processes import Process
from tests.process_soak.plan import USUAL_LONGEST_SECONDS
from tests.process_soak.site import Daemon, Site

POLL_SECONDS, ANSWER_SECONDS = 0.5, 1.0
CONTACT_SECONDS = 3.0
"""The users' bound: a machine that may be reached takes connections again after this time."""
MAX_SILENT_SECONDS = USUAL_LONGEST_SECONDS + CONTACT_SECONDS
"""Time after which a daemon counts as hung; none of the faults holds one for longer."""


@dataclass(slots=True)
class _Watched:
    """What was last heard of a daemon's process.

    Attributes:
        heard_at: monotonic time of its last answer, or at which it was first seen.
        used_seconds: its processor time by then.
    """

    process: Process
    heard_at: float
    used_seconds: float


class ResponseWatch:
    """Asks each daemon for its readiness, at its own address and not by way of a proxy."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._watched: dict[str, _Watched] = {}

    async def run(self) -> None:
        """Asks all daemons again and again."""
        while True:
            await asyncio.gather(*(self._ask(daemon) for daemon in list(self._site.daemons)))
            await asyncio.sleep(POLL_SECONDS)

    def check(self) -> None:
        """Checks that each daemon whose process runs has answered recently."""
        now = time.monotonic()
        for daemon in self._site.daemons:
            watched = self._watched.get(daemon.place.machine)
            if watched is None or watched.process is not daemon.process:
                continue
            if daemon.process.popen.poll() is not None:
                continue
            silent = now - watched.heard_at
            used = processor_seconds(daemon.process) - watched.used_seconds
            assert silent <= MAX_SILENT_SECONDS, (
                f"{daemon.place.machine} has answered nothing for {silent:.1f} s, in which it used "
                f"{used:.1f} s of processor time"
            )

    async def _ask(self, daemon: Daemon) -> None:
        """Asks one daemon; a new process counts as heard when it is first seen."""
        process, name = daemon.process, daemon.place.machine
        watched = self._watched.get(name)
        is_new = watched is None or watched.process is not process
        is_heard = await asyncio.to_thread(is_answering, daemon.place.ready, ready_path())
        if is_new or is_heard:
            self._watched[name] = _Watched(process, time.monotonic(), processor_seconds(process))


def is_answering(address: Address, path: str) -> bool:
    """Returns whether an HTTP GET gets any answer; one that is not ready answers, too."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=ANSWER_SECONDS):
            return True
    except urllib.error.HTTPError:
        return True
    except (OSError, http.client.HTTPException):
        return False


def processor_seconds(process: Process) -> float:
    """Returns the processor time that a process has used; 0 once it has exited."""
    try:
        text = Path(f"/proc/{process.popen.pid}/stat").read_text(encoding="utf-8")
    except OSError:
        return 0.0
    user, system = text.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")
