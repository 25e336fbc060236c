"""An answer of 500 arrives once more, where the answer to the next run of the same item is due."""

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
MAX_ATTEMPTS = 3
SERVERS, STRUCK = 5, 3
"""The share of the servers that send an answer too many is 0.6."""
WINDOWS, WINDOW_SECONDS, PAUSE_SECONDS = 9, 5.0, 2.0
EXTRA_SHARE = 0.03
"""Share of its answers after which a struck server sends one too many, in each window."""
TRAINERS = 2
FAILING_EACH = 3
"""Of the batch jobs of a trainer, each so-and-so-many-th has an item that fails."""
EVENT_SECONDS = (0.01, 0.013, 0.013, 0.013, 0.013)
"""Seconds for an event at each server; the servers of one service vary in speed."""


class Engine(Server):
    """Fails the first and the third run of the items that are named so."""

    def __init__(self, number, store, runs, record):
        super().__init__(f"i-engine-{number}", ENGINES, store)
        self._event_seconds = EVENT_SECONDS[number]
        self._runs = runs
        self._record = record
        self._extra: dict[int, bytes] = {}
        self._strikes_until = 0.0
        self._answers = 0
        self._extras = 0

    def strike(self) -> None:
        """Begins to send answers too many, for the time of a window."""
        self._strikes_until = time.monotonic() + WINDOW_SECONDS
        self._answers = self._extras = 0

    async def run(self, call: Call, writer) -> None:
        item = call.headers["larkpost-attempt-id"]
        runs = self._runs.setdefault(item, [])
        number = len(runs)
        runs.append("begun")
        extra = self._extra.pop(call.connection, None)
        if extra is not None:
            before = extra[1]
            self._record.add(self.name, "sends its answer to", before, "again before that to", item)
            writer.write(extra[0])
        self._answers += 1
        if item.startswith("f") and number in (0, 2):
            runs[-1] = "500"
            answer = response(500, self.answer_headers(call), b"this run failed")
            self._record.add(self.name, "answers 500 to run", number + 1, "of", item)
            writer.write(answer)
            if self._may_send_extra():
                self._extras += 1
                self._extra[call.connection] = answer, item
            return
        await self._stream(call, writer, 8 if item.startswith("f") else 2)
        runs[-1] = "whole"

    def _may_send_extra(self) -> bool:
        is_struck = time.monotonic() < self._strikes_until
        return is_struck and self._extras + 1 <= EXTRA_SHARE * self._answers

    async def _stream(self, call: Call, writer, events: int) -> None:
        item = call.headers["larkpost-attempt-id"]
        headers = self.answer_headers(call) | {"Content-Type": "text/event-stream"}
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for event in range(int(call.headers.get("last-event-id", "0")) + 1, events + 1):
            await asyncio.sleep(self._event_seconds)
            piece = f"id: {event}\ndata: {item}-{event}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
        writer.write(b"0\r\n\r\n")


async def play(record, folder, daemons) -> int:
    store = Store()
    await store.start()
    store.put("op", "config", configuration())
    runs: dict[str, list[str]] = {}
    engines = [Engine(number, store, runs, record) for number in range(SERVERS)]
    for engine in engines:
        await engine.start()
    daemon = Daemon("front-1", store.port, folder)
    daemons.append(daemon)
    daemon.start()
    await daemon.wait_until_ready()
    await asyncio.sleep(2.0)
    results: dict[str, dict] = {}
    for window in range(WINDOWS):
        if TROUBLE:
            for engine in engines[:STRUCK]:
                engine.strike()
        ends_at = time.monotonic() + WINDOW_SECONDS
        trainers = [
            work(daemon, f"{window:x}{trainer:x}", ends_at, results) for trainer in range(TRAINERS)
        ]
        if not all(await asyncio.gather(*trainers)):
            record.add("a batch job was not accepted or not finished")
            return 2
        await asyncio.sleep(PAUSE_SECONDS)
    broken = 0
    for item, result in results.items():
        failed = runs.get(item, []).count("500")
        if result["state"] == "dead" and failed < MAX_ATTEMPTS:
            broken += 1
            record.add("item", item, "is dead after", failed, "answers of 500; runs", runs[item])
    record.add(len(results), "results;", broken, "dead after fewer than 3 answers of 500")
    return 1 if broken else 0


async def work(daemon, name, ends_at, results) -> bool:
    """Submits one batch job after the other, reads all results and ends it."""
    number = 0
    while time.monotonic() < ends_at:
        number += 1
        kind = "f" if number % FAILING_EACH == 0 else "p"
        batch = f"b{name}{number:04x}"
        if not await finish(daemon, batch, [f"{kind}{name}{number:04x}"], results):
            return False
    return True


async def finish(daemon, batch, items, results) -> bool:
    """Submits a batch job, reads all its results, and ends it; returns whether that worked."""
    body = batch_document([batch_item(item, f"g{batch}") for item in items])
    headers = {"Larkpost-Attempt-Id": batch, "Content-Type": "application/json"}
    answer = await call_daemon(daemon.front, "POST", f"{BATCH_PREFIX}{batch}", headers, body)
    if answer is None or answer.status != 202:
        return False
    position = 0
    ends_at = time.monotonic() + 20.0
    while position < len(items) and time.monotonic() < ends_at:
        target = f"/-/lots/{batch}?after-rev={position}"
        answer = await call_daemon(daemon.front, "GET", target, {"Larkpost-Wait-Ms": "1000"})
        if answer is not None and answer.status == 200:
            document = answer.document()
            position = document["next-token"]
            results.update({result["id"]: result for result in document["results"]})
        else:
            await asyncio.sleep(0.1)
    await call_daemon(daemon.front, "DELETE", f"/-/lots/{batch}")
    return position == len(items)


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
