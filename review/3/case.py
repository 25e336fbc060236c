"""A batch job is ended while its acceptance is still on its way; see claim.txt.

For 1.5 s the store answers no call that writes a row of a new batch job, and does these calls
5.9 s later. A trainer submits the batch job in that time, retries once at another daemon, and gets
no 202. It gives the batch job up and ends it, with the store in order again, and repeats the end
for `ack-ms`.
"""

import asyncio
import base64
import json
from pathlib import Path

from aiohttp import web
from stand_ins import ZONES, Server, Site, exchange, run_case

BATCH = "7c41e09b52d6a3f8"
MODEL = "daka510000"
ACCEPTED = 202
ITEMS, GROUP_SIZE = 92, 4
EVENTS, EVENT_SECONDS = 15, 0.2
SLOTS = 4
LOSING_SECONDS = 1.5
LATE_SECONDS = 5.9
"""The bench does late calls 1 to 6 s later."""
PAUSE_SECONDS = 1.6
"""Time from the submission until the trainer ends the batch job."""
END_INTERVAL_SECONDS = 0.5
CONTACT_SECONDS, ACK_SECONDS, CANCEL_SECONDS = 3.0, 4.0, 3.0
WATCH_SECONDS = 32.0
ROUTE = {
    "name": "drafts",
    "host": "ficu95.example",
    "path-prefix": "/drafts/",
    "kind": "rollout",
    "timeout-ms": 10_000,
    "target-ms": 400,
    "priority": 1,
    "service": "redactor",
    "max-attempts": 3,
    "queue-ttl-s": 40,
    "result-due-ms": 7_500,
    "resumable": True,
    "sticky": True,
}
SERVICE = {
    "name": "redactor",
    "health-path": "/health",
    "max-conns": 150,
    "engine": {"slots": SLOTS, "models": [{"name": MODEL}]},
}


async def work(server: Server, request: web.Request) -> web.StreamResponse:
    """Runs an item: a stream of events."""
    item = request.headers["Larkpost-Attempt-Id"]
    server.arrivals.append((server.record.now(), item))
    after = int(request.headers.get("Last-Event-Id", 0))
    headers = server.headers(request) | {"Larkpost-Weight-Versions": str(server.models[MODEL])}
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    await response.prepare(request)
    for number in range(after + 1, EVENTS + 1):
        await asyncio.sleep(EVENT_SECONDS)
        await response.write(f"id: {number}\ndata: {item}-{number}\n\n".encode())
    await response.write_eof()
    return response


def submission() -> bytes:
    """Returns the document of the batch job."""
    items = []
    for number in range(ITEMS):
        group = number // GROUP_SIZE
        item = f"e5b2907c{number:08x}"
        prefix = f"{group + 0x9C2E41:x}:1000,{number + 0x5D07B8:x}:16"
        headers = {
            "Larkpost-Model": MODEL,
            "Larkpost-Token-Count": "1016,900",
            "Larkpost-Prompt-Prefix": prefix,
        }
        items.append(
            {
                "id": item,
                "path": f"/drafts/{item}",
                "headers": headers,
                "body": base64.b64encode(f"question {number}".encode()).decode(),
                "tokens": 1916,
                "group": f"g{group}",
            }
        )
    document = {"step": 0, "model": MODEL, "min-version": 1, "desired": 20, "requests": items}
    return json.dumps(document).encode()


def writes_batch(change: dict) -> bool:
    """Returns whether a writing call holds a row of the batch job."""
    return any(BATCH in row["key"] for row in change["put"])


async def call(site: Site, address: str, method: str, path: str, body: bytes = b"") -> int | None:
    """Makes a call on a new connection; returns its status, None without an answer."""
    began = site.record.now()
    try:
        answer = await exchange(address, method, path, {"Larkpost-Attempt-Id": BATCH}, body)
    except OSError:
        answer = None
    status = answer.status if answer is not None else None
    site.record.note(f"trainer: {method} {path} sent at {began:.3f}: {status}")
    return status


async def case(site: Site, has_trouble: bool) -> bool:
    """Plays the case; returns whether an item ran although its batch job was ended."""
    await site.start_store()
    site.configure(1, [ROUTE], [SERVICE])
    for number, zone in enumerate(ZONES):
        server = Server(
            site.store, site.record, f"i-{number}c9d0", "redactor", zone, SLOTS, work, {MODEL: 1}
        )
        await site.add_server(server)
    daemons = [await site.add_daemon(f"front-{zone}-1", zone) for zone in ZONES]
    for daemon in daemons:
        await daemon.wait_until_ready()
    await asyncio.sleep(4.0)  # longer than contact-ms
    began = site.record.now()
    if has_trouble:
        site.record.note("store: answers no call that writes rows of the batch job for 1.5 s")
        site.store.lose = lambda change: (
            LATE_SECONDS
            if site.record.now() - began < LOSING_SECONDS and writes_batch(change)
            else None
        )
    submitted = await call(site, daemons[0].front, "POST", "/drafts/7c41e0", submission())
    if submitted != ACCEPTED:
        submitted = await call(site, daemons[1].front, "POST", "/drafts/7c41e0", submission())
    await asyncio.sleep(max(0.0, began + PAUSE_SECONDS - site.record.now()))
    acknowledged_at = await end(site, [daemon.front for daemon in daemons[1:]])
    if acknowledged_at is None:
        # The strictest reading: the late call counts as disruption until it is done.
        acknowledged_at = began + LOSING_SECONDS + LATE_SECONDS + CONTACT_SECONDS + ACK_SECONDS
    await asyncio.sleep(max(0.0, began + WATCH_SECONDS - site.record.now()))
    return judge(site, submitted, acknowledged_at + CANCEL_SECONDS)


async def end(site: Site, addresses: list[str]) -> float | None:
    """Ends the batch job at one daemon after the other; returns when it was acknowledged."""
    until = site.record.now() + ACK_SECONDS
    number = 0
    while site.record.now() < until:
        address = addresses[number % len(addresses)]
        if await call(site, address, "DELETE", f"/-/lots/{BATCH}") == 200:
            return site.record.now()
        number += 1
        await asyncio.sleep(END_INTERVAL_SECONDS)
    return None


def judge(site: Site, submitted: int | None, ended_at: float) -> bool:
    """Returns whether UNASKED was broken."""
    arrivals = sorted(arrival for server in site.servers for arrival in server.arrivals)
    late = [(at, item) for at, item in arrivals if at > ended_at]
    first = f"{arrivals[0][0]:.3f}" if arrivals else "never"
    site.record.note(
        f"submitted: {submitted}; {len(arrivals)} items reached servers, the first at {first}; "
        f"from {ended_at:.3f} none may run"
    )
    for at, item in late:
        site.record.note(f"UNASKED: item {item} reached a server at {at:.3f} and ran")
    return bool(late)


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
