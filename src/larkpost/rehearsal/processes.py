"""Starts, signals and stops the processes of a rehearsal; output is written to files."""

import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import IO

from larkpost.common.ids import Address

START_TIMEOUT = 30.0
STOP_TIMEOUT = 20.0
POLL_SECONDS = 0.05
LOOPBACK = "127.0.0.1"
FIRST_PORT = 11_000
LAST_PORT = 31_000
"""Below the ephemeral ports of outgoing connections, which begin at 32,768."""


class RehearsalError(Exception):
    """A process of the rehearsal failed or did not respond in time."""


def free_address() -> Address:
    """Returns a loopback address whose port is free for TCP and UDP.

    The port lies below the ephemeral range, so that an outgoing connection cannot take it before
    the caller binds it.
    """
    for _ in range(1000):
        port = next(_ports)
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind((LOOPBACK, port))
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
            return Address(f"{LOOPBACK}:{port}")
    raise RehearsalError(f"no port from {FIRST_PORT} to {LAST_PORT - 1} is free for TCP and UDP")


def _port_numbers() -> Iterator[int]:
    """Yields the ports of the range cyclically, from a random start."""
    first = random.randrange(FIRST_PORT, LAST_PORT)
    while True:
        yield from range(first, LAST_PORT)
        first = FIRST_PORT


_ports = _port_numbers()


@dataclass(slots=True)
class Process:
    """A started process and its output files."""

    name: str
    popen: subprocess.Popen
    output: Path
    _stdout: IO[bytes]
    _stderr: IO[bytes]

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def wait(self, timeout: float) -> int:
        """Waits for the process to exit and returns its exit status.

        Raises:
            RehearsalError: it did not exit in time.
        """
        try:
            status = self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            raise RehearsalError(f"{self.name} did not exit within {timeout:g} s") from None
        self._stdout.close()
        self._stderr.close()
        return status

    def lines(self) -> list[str]:
        """Returns the lines that the process has written to standard output."""
        return self.output.read_text(encoding="utf-8").splitlines()


class ProcessGroup:
    """The processes of a rehearsal; leaving the context kills them."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: list[Process] = []

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *_exc: object) -> None:
        for process in self._processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in self._processes:
            process.wait(STOP_TIMEOUT)

    def start(self, name: str, *arguments: str) -> Process:
        """Starts the ``larkpost`` command with arguments."""
        return self.start_module(name, "larkpost", *arguments)

    def start_module(
        self, name: str, module: str, *arguments: str, environment: dict[str, str] | None = None
    ) -> Process:
        """Starts a module with ``python -m``, with additional environment variables."""
        output = self._folder / f"{name}.out"
        stdout = output.open("ab")
        stderr = (self._folder / f"{name}.err").open("ab")
        popen = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=stdout,
            stderr=stderr,
            stdin=subprocess.DEVNULL,
            env=os.environ | (environment or {}),
        )
        process = Process(name, popen, output, stdout, stderr)
        self._processes.append(process)
        return process


def wait_for(condition: Callable[[], bool], what: str, timeout: float = START_TIMEOUT) -> None:
    """Waits until a condition holds.

    Raises:
        RehearsalError: it did not hold in time.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise RehearsalError(f"{what}: not within {timeout:g} s")
        time.sleep(POLL_SECONDS)


def is_responding(address: Address, path: str) -> bool:
    """Whether an HTTP GET returns status 200."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=1.0) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        return False


def call(address: Address, verb: str, path: str, body: bytes = b"") -> bytes:
    """Makes one HTTP call and returns the response body."""
    request = urllib.request.Request(f"http://{address}{path}", data=body, method=verb)
    with urllib.request.urlopen(request, timeout=10.0) as response:
        return response.read()
