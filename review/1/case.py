"""Servers crash some times, then all is calm; see claim.txt.

Three model servers run the items of a step. One or two of them crash each 0.45 s, each three times
in all, and each is back under a new id 0.25 s later. Then nothing is disturbed any more. The step
runs out of time. The trainer sends four of the groups that were not whole again, under the same
ids, in a second step, which begins in steady state.
"""

import asyncio
import base64
import json
from pathlib import Path

from aiohttp import web
from stand_ins import ZONES, Server, Site, exchange, run_case

MODEL = "daka510000"
GROUPS, GROUP_SIZE, DESIRED = 9, 4, 8
EVENTS, EVENT_SECONDS = 80, 0.06
SLOTS = 12
CRASH_TIMES, CRASH_INTERVAL_SECONDS, DOWN_SECONDS = 6, 0.45, 0.25
ENTRY_SECONDS = 3.6
"""The entry of a crashed server goes after three heartbeats of silence."""
STEP_SECONDS = 12.0
"""The trainer gives a step up after this time."""
CONTACT_SECONDS, IDLE_SECONDS = 3.0, 5.0
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
    """Runs an item: a stream of events that goes on after the last event that was received."""
    item = request.headers["Larkpost-Attempt-Id"]
    began = server.record.now()
    after = int(request.headers.get("Last-Event-Id", 0))
    headers = server.headers(request) | {"Larkpost-Weight-Versions": str(server.models[MODEL])}
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    try:
        await response.prepare(request)
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            await response.write(f"id: {number}\ndata: {item}-{number}\n\n".encode())
        await response.write_eof()
    finally:
        runs.setdefault(item, []).append((began, server.record.now()))
    return response


runs: dict[str, list[tuple[float, float]]] = {}
"""When each item was at a server, by item."""


def item_of(number: int) -> dict:
    """Returns an item; the same number gives the same item in every step."""
    group, item = number // GROUP_SIZE, f"e5b2907c{number:08x}"
    headers = {
        "Larkpost-Model": MODEL,
        "Larkpost-Token-Count": "1016,900",
        "Larkpost-Prompt-Prefix": f"{group + 0x9C2E41:x}:1000,{number + 0x5D07B8:x}:16",
    }
    return {
        "id": item,
        "path": f"/drafts/{item}",
        "headers": headers,
        "body": base64.b64encode(f"question {number}".encode()).decode(),
        "tokens": 1916,
        "group": f"g{group}",
    }


class Step:
    """A step: a batch job that is submitted, read until its time is over, and ended."""

    def __init__(self, site: Site, number: int, items: list[dict], address: str) -> None:
        self._site, self._address = site, address
        self.id = f"7c41e09b52d6a3f{number}"
        self.items = items
        self.document = {
            "step": number,
            "model": MODEL,
            "min-version": 1,
            "desired": min(DESIRED, len({item["group"] for item in items})),
            "requests": items,
        }
        self.listed: dict[str, str] = {}
        self.began = self.ended = 0.0

    async def run(self) -> bool:
        """Runs the step; returns whether enough groups were whole in time."""
        self.began = self._site.record.now()
        content = json.dumps(self.document).encode()
        answer = await self._call("POST", f"/drafts/{self.id}", content)
        if answer.status != 202:
            raise RuntimeError(f"the step was answered {answer.status}")
        while not self.is_whole() and self._site.record.now() - self.began < STEP_SECONDS:
            answer = await self._call("GET", f"/-/lots/{self.id}?after-rev={len(self.listed)}")
            if answer.status == 200:
                for result in answer.json()["results"]:
                    self.listed[result["id"]] = result["state"]
            await asyncio.sleep(0.5)
        self.ended = self._site.record.now()
        await self._call("DELETE", f"/-/lots/{self.id}")
        self._site.record.note(
            f"trainer: {self.id} whole: {self.is_whole()}, {len(self.listed)} of {len(self.items)} "
            f"items listed after {self.ended - self.began:.1f} s"
        )
        return self.is_whole()

    async def _call(self, method: str, path: str, body: bytes = b""):
        answer = await exchange(self._address, method, path, {"Larkpost-Attempt-Id": self.id}, body)
        if answer is None:
            raise RuntimeError(f"no answer to {method} {path}")
        return answer

    def is_whole(self) -> bool:
        """Returns whether as many groups are whole as the trainer waits for."""
        missing = {item["group"] for item in self.items if item["id"] not in self.listed}
        groups = {item["group"] for item in self.items}
        return len(groups - missing) >= self.document["desired"]

    def unlisted_groups(self) -> list[dict]:
        """Returns the items of the groups that were not whole."""
        missing = {item["group"] for item in self.items if item["id"] not in self.listed}
        return [item for item in self.items if item["group"] in missing]


async def crash_servers(site: Site) -> None:
    """Crashes one or two servers at a time and starts them again under new ids."""
    gone: set[asyncio.Task] = set()
    for number in range(CRASH_TIMES):
        chosen = [number % 3, (number + 1) % 3][: 1 + number % 2]
        for index in chosen:
            server = site.servers[index]
            site.record.note(f"server {server.name}: crashes")
            await server.stop()
            task = asyncio.create_task(remove_entry(site, server.name))
            gone.add(task)
            task.add_done_callback(gone.discard)
        await asyncio.sleep(DOWN_SECONDS)
        for index in chosen:
            old = site.servers[index]
            site.servers[index] = new_server(
                site, index, f"i-{index}{number + 1:x}c9d0", old.address
            )
            await site.servers[index].start()
        await asyncio.sleep(CRASH_INTERVAL_SECONDS - DOWN_SECONDS)
    site.record.note("no more crashes")


async def remove_entry(site: Site, name: str) -> None:
    """Removes the entry of a server that says nothing any more."""
    await asyncio.sleep(ENTRY_SECONDS)
    site.store.remove("servers", name)


def new_server(site: Site, index: int, name: str, address: str | None = None) -> Server:
    """Returns a model server, not yet started."""
    server = Server(
        site.store, site.record, name, "redactor", ZONES[index], SLOTS, work, {MODEL: 1}
    )
    if address is not None:
        server.address = address
    return server


async def case(site: Site, has_trouble: bool) -> bool:
    """Plays the case; returns whether an item of a step was left lying."""
    await site.start_store()
    site.configure(1, [ROUTE], [SERVICE])
    for index in range(3):
        await site.add_server(new_server(site, index, f"i-{index}0c9d0"))
    daemons = [await site.add_daemon(f"front-{zone}-1", zone) for zone in ZONES]
    for daemon in daemons:
        await daemon.wait_until_ready()
    await asyncio.sleep(4.0)  # longer than contact-ms
    items = [item_of(number) for number in range(GROUPS * GROUP_SIZE)]
    first = Step(site, 0, items, daemons[0].front)
    running = asyncio.create_task(first.run())
    await asyncio.sleep(0.4)
    if has_trouble:
        await crash_servers(site)
    calm_at = site.record.now()
    if await running:
        return False
    # Groups that were not whole come again, at most half of those wanted; new ones fill the step.
    carried = first.unlisted_groups()[: DESIRED // 2 * GROUP_SIZE]
    fresh = [item_of(number) for number in range(100, 100 + GROUPS * GROUP_SIZE - len(carried))]
    second = Step(site, 1, carried + fresh, daemons[1].front)
    await second.run()
    return judge(site, second, calm_at)


def judge(site: Site, step: Step, calm_at: float) -> bool:
    """Returns whether LOST was broken by a step that began in steady state."""
    if step.is_whole() or step.began < calm_at + CONTACT_SECONDS:
        return False
    begun = [item for item in step.items if was_at_server(item, step.began, step.ended)]
    lying = [
        item["id"]
        for item in step.items
        if item["id"] not in step.listed and not was_at_server(item, step.began, step.ended)
    ]
    site.record.note(
        f"the step began {step.began - calm_at:.1f} s after the last crash and ran out of time; "
        f"{len(begun)} of its items had been at servers, {len(lying)} had not in "
        f"{step.ended - step.began:.1f} s; there are {3 * SLOTS} slots"
    )
    for item in lying:
        spans = [f"{start:.1f} to {end:.1f}" for start, end in runs.get(item, [])]
        site.record.note(f"LOST: {item} was at no server in the step; before it at {spans}")
    most = most_running(step.ended - IDLE_SECONDS, step.ended)
    site.record.note(
        f"in the last {IDLE_SECONDS:.0f} s of the step at most {most} items ran at one time"
    )
    return bool(lying) and bool(begun) and most < 3 * SLOTS / 2


def most_running(began: float, ended: float) -> int:
    """Returns the largest number of items that were at servers at one time within a time."""
    spans = [span for spans in runs.values() for span in spans]
    times = [began, *(start for start, _ in spans if began < start < ended)]
    return max(sum(start <= at < end for start, end in spans) for at in times)


def was_at_server(item: dict, began: float, ended: float) -> bool:
    """Returns whether an item was at a server within a time."""
    return any(start < ended and end > began for start, end in runs.get(item["id"], []))


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
