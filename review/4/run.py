"""The operator removes the route of an open batch job while its runs move to a faster server."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import (  # noqa: E402 (the folder above holds the stand-ins)
    BATCH_PREFIX,
    ENGINES,
    PAGE_PREFIX,
    PAGES,
    Call,
    Daemon,
    Server,
    Store,
    batch_document,
    batch_item,
    call_daemon,
    configuration,
    response,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENTS = 75
WARM_UP_EVENTS = 12
EVENT_SECONDS = 0.08
SPEEDS = (1.0, 1.0, 1.3)
"""The factors of the site file on the time of each server; the last one is the slowest."""
SLOTS = 16
REMOVED_AFTER_SECONDS = 3.0
WATCHED_SECONDS = 20.0
HELD_SECONDS = 5.0
"""A daemon that answers nothing for so long, without any disruption on it, hangs."""


class Engine(Server):
    """Streams the events of an item."""

    def __init__(self, number, store, factor, record):
        super().__init__(f"i-engine-{number}", ENGINES, store, SLOTS)
        self._seconds = EVENT_SECONDS * factor
        self._record = record

    async def run(self, call: Call, writer) -> None:
        if self.running > self.slots:
            writer.write(response(503, {"Larkpost-Not-Executed": "1"}))
            return
        item = call.headers["larkpost-attempt-id"]
        after = int(call.headers.get("last-event-id", "0"))
        self._record.add(self.name, "begins", item, "after event", after)
        headers = self.answer_headers(call) | {"Content-Type": "text/event-stream"}
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        events = WARM_UP_EVENTS if item.startswith("w") else EVENTS
        for event in range(after + 1, events + 1):
            await asyncio.sleep(self._seconds)
            piece = f"id: {event}\ndata: {item}-{event}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
        writer.write(b"0\r\n\r\n")


class Page(Server):
    """Answers client requests."""

    def __init__(self, store):
        super().__init__("i-page-0", PAGES, store, 6)

    async def run(self, call: Call, writer) -> None:
        await asyncio.sleep(0.02)
        writer.write(response(200, self.answer_headers(call), b"a page"))


def without_rollouts(version: int) -> dict:
    """Returns a configuration from which the route of the batch jobs is gone."""
    document = configuration(version)
    document["routes"] = [route for route in document["routes"] if route["name"] != "rollouts"]
    return document


async def play(record, folder, daemons) -> int:
    store = Store()
    await store.start()
    store.put("op", "config", configuration(1))
    servers = [Engine(number, store, factor, record) for number, factor in enumerate(SPEEDS)]
    servers.append(Page(store))
    for server in servers:
        await server.start()
    for name in ("front-1", "front-2"):
        daemons.append(Daemon(name, store.port, folder))
        daemons[-1].start()
    for started in daemons:
        await started.wait_until_ready()
    await asyncio.sleep(2.0)
    daemon = daemons[0]
    if not await warm_up(daemon, record):
        return 2
    items = [f"e{number:04x}" for number in range(len(SPEEDS) * SLOTS)]
    if not await submit(daemon, "b1", items):
        record.add("the batch job was not accepted")
        return 2
    record.add("batch job b1 accepted,", len(items), "items")
    await asyncio.sleep(REMOVED_AFTER_SECONDS)
    if TROUBLE:
        store.put("op", "config", without_rollouts(2))
        record.add("the operator's version 2 has no route for the batch job any more")
    return 1 if await is_held(daemon, record) else 0


async def warm_up(daemon, record) -> bool:
    """Runs a batch job to its end, so that the daemons know the speeds of the servers."""
    items = [f"w{number:04x}" for number in range(len(SPEEDS) * SLOTS)]
    if not await submit(daemon, "b0", items):
        return False
    ends_at = time.monotonic() + 30.0
    while time.monotonic() < ends_at:
        answer = await call_daemon(daemon.front, "GET", "/-/lots/b0?after-rev=0")
        results = answer.document()["results"] if answer and answer.status == 200 else []
        if len(results) == len(items):
            await call_daemon(daemon.front, "DELETE", "/-/lots/b0")
            record.add("batch job b0 is whole")
            return True
        await asyncio.sleep(0.3)
    return False


async def submit(daemon, batch, items) -> bool:
    body = batch_document([batch_item(item, f"g{batch}") for item in items])
    headers = {"Larkpost-Attempt-Id": batch, "Content-Type": "application/json"}
    answer = await call_daemon(daemon.front, "POST", f"{BATCH_PREFIX}{batch}", headers, body)
    return answer is not None and answer.status == 202


async def is_held(daemon, record) -> bool:
    """Asks the daemon twice a second; returns whether it answers nothing for too long."""
    heard_at = time.monotonic()
    ends_at = heard_at + WATCHED_SECONDS
    number = 0
    while time.monotonic() < ends_at:
        number += 1
        headers = {"Larkpost-Attempt-Id": f"a{number:04x}", "Larkpost-Deadline-Ms": "1500"}
        ready, page = await asyncio.gather(
            call_daemon(daemon.ready, "GET", "/-/ready", seconds=1.5),
            call_daemon(daemon.front, "POST", f"{PAGE_PREFIX}x", headers, b"q", seconds=1.5),
        )
        if ready is not None or page is not None:
            heard_at = time.monotonic()
        silent = time.monotonic() - heard_at
        record.add(
            "ready:", ready.status if ready else "silence", "page:", page.status if page else "none"
        )
        if silent > HELD_SECONDS:
            used = cpu_seconds(daemon)
            await asyncio.sleep(2.0)
            record.add("in 2 s the process used", round(cpu_seconds(daemon) - used, 2), "s of CPU")
            record.add(daemon.name, "has answered nothing for", round(silent, 1), "s")
            return True
        await asyncio.sleep(0.5)
    record.add(daemon.name, "has answered all the time")
    return False


def cpu_seconds(daemon) -> float:
    """Returns the processor time of the daemon so far."""
    fields = Path(f"/proc/{daemon.process.pid}/stat").read_text(encoding="utf-8").split(")")[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
