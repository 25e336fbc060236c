"""A planned stop while kept connections are in use; see claim.txt.

Thirty clients each keep a connection. Each has been answered on it once and then rests for less
than four fifths of `idle-timeout-ms`. The daemon gets SIGTERM. The clients then send their next
request one after the other, each 0.25 s, on their kept connections. The answer to each is a stream
of fifteen events, one each 0.1 s.
"""

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path

from aiohttp import web
from stand_ins import ZONES, Connection, Daemon, Server, Site, run_case

CLIENTS = 30
GAP_SECONDS = 0.25
EVENTS = 15
EVENT_SECONDS = 0.1
BEFORE_STOP_SECONDS = 0.75
"""Time between the first of the requests and SIGTERM."""
DEADLINE_MS = 12_000
EXEMPT_SECONDS = 3.0
"""A request sent within this time after SIGTERM may be cut in the last sixth of the grace time."""
GRACE_SECONDS = 8.0
ROUTE = {
    "name": "answers",
    "host": "ficu95.example",
    "path-prefix": "/answers/",
    "kind": "stream",
    "timeout-ms": 10_000,
    "target-ms": 400,
    "priority": 2,
    "service": "estante",
    "max-attempts": 1,
}
SERVICE = {"name": "estante", "health-path": "/health", "max-conns": 96}


@dataclass(slots=True)
class Request:
    """A request on a kept connection; times are seconds of the record."""

    attempt: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int | None = None


async def work(server: Server, request: web.Request) -> web.StreamResponse:
    """Answers a request with a stream of events."""
    events = 1 if request.path.endswith("/first") else EVENTS
    attempt = request.headers["Larkpost-Attempt-Id"]
    response = web.StreamResponse(headers=server.headers(request))
    response.content_type = "text/event-stream"
    await response.prepare(request)
    for number in range(1, events + 1):
        await asyncio.sleep(EVENT_SECONDS)
        await response.write(f"id: {number}\ndata: {attempt}-{number}\n\n".encode())
    await response.write_eof()
    server.record.note(f"server {server.name}: has done {attempt}")
    return response


async def ask(site: Site, connection: Connection, request: Request, path: str) -> None:
    """Sends a request on a kept connection and notes how it ended."""
    request.sent_at = site.record.now()
    site.record.note(f"client: sends {request.attempt} {path}")
    headers = {"Larkpost-Attempt-Id": request.attempt, "Larkpost-Deadline-Ms": str(DEADLINE_MS)}
    answer = await connection.exchange("POST", path, headers, b"a question about the manual")
    request.ended_at = site.record.now()
    request.status = answer.status if answer is not None else None
    how = f"got {answer.status}" if answer is not None else "CONNECTION CLOSED WITHOUT AN ANSWER"
    site.record.note(f"client: {request.attempt} {how}")


async def case(site: Site, has_trouble: bool) -> bool:
    """Plays the case; returns whether a request was lost."""
    await site.start_store()
    site.configure(1, [ROUTE], [SERVICE])
    for number, zone in enumerate(ZONES):
        server = Server(site.store, site.record, f"i-{number}a7f3", "estante", zone, 6, work)
        await site.add_server(server)
    daemons = [await site.add_daemon(f"front-{zone}-1", zone) for zone in ZONES]
    for daemon in daemons:
        await daemon.wait_until_ready()
    await asyncio.sleep(4.0)  # longer than contact-ms
    stopped = daemons[0]
    connections = [await Connection.open(stopped.front) for _ in range(CLIENTS)]
    firsts = [Request(f"{number:04x}f1") for number in range(CLIENTS)]
    for connection, first in zip(connections, firsts, strict=True):
        await ask(site, connection, first, f"/answers/{first.attempt}/first")
    if any(first.status != 200 for first in firsts):
        raise RuntimeError("a first request was not answered")
    await asyncio.sleep(1.0)
    requests = [Request(f"{number:04x}f2") for number in range(CLIENTS)]
    asking = asyncio.create_task(ask_in_turn(site, connections, requests))
    await asyncio.sleep(BEFORE_STOP_SECONDS)
    stopped_at = site.record.now()
    if has_trouble:
        stopped.signal(signal.SIGTERM)
    await asking
    if has_trouble:
        await note_end(site, stopped, stopped_at)
    return judge(site, requests, stopped_at)


async def ask_in_turn(site: Site, connections: list[Connection], requests: list[Request]) -> None:
    """Sends one request on each connection, one after the other, and waits for all ends."""
    tasks = []
    for connection, request in zip(connections, requests, strict=True):
        path = f"/answers/{request.attempt}/next"
        tasks.append(asyncio.create_task(ask(site, connection, request, path)))
        await asyncio.sleep(GAP_SECONDS)
    await asyncio.gather(*tasks)
    for connection in connections:
        connection.close()


async def note_end(site: Site, daemon: Daemon, stopped_at: float) -> None:
    """Notes when the stopped process ended."""
    await daemon.process.wait()
    seconds = site.record.now() - stopped_at
    site.record.note(f"daemon {daemon.name}: ended {seconds:.2f} s after SIGTERM")


def judge(site: Site, requests: list[Request], stopped_at: float) -> bool:
    """Returns whether LOST was broken, with the excuses that the rule names."""
    ran = set().union(*(server.ran for server in site.servers))
    lost = [
        request
        for request in requests
        if request.status is None
        and request.attempt in ran
        and EXEMPT_SECONDS < request.sent_at - stopped_at <= GRACE_SECONDS + 1
        and request.ended_at - request.sent_at < DEADLINE_MS / 1000
    ]
    for request in lost:
        site.record.note(
            f"LOST: {request.attempt}, sent {request.sent_at - stopped_at:.2f} s after SIGTERM on "
            f"a kept connection, was running at a server when its connection was closed "
            f"{request.ended_at - stopped_at:.2f} s after SIGTERM"
        )
    answered = sum(request.status == 200 for request in requests)
    site.record.note(f"{len(requests)} requests, {answered} answered, {len(lost)} lost")
    return bool(lost)


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
