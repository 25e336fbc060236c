"""Trainers and clients that call the daemons over HTTP and record responses for the checker."""

import asyncio
import base64
import contextlib
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import orjson

from larkpost.common.ids import Address
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.platform import names
from larkpost.platform.stand_in.rows import (
    BATCH_PREFIX,
    HOST,
    PAGE_PREFIX,
    READING,
    TRAINING,
    tenant_api_key,
)
from tests.process_soak.checker import InvariantChecker, SubmittedBatch
from tests.process_soak.kept_connections import NOT_RUN_STATUSES
from tests.process_soak.records import CRASHING_PAGE

CALL_SECONDS = 3.0
PAUSE_SECONDS = 0.1
SUBMIT_SECONDS = 30.0
STEP_SECONDS = 40.0
READ_WAIT_MS = "500"
GROUP_SIZE = 4
ONCE_PREFIX = "/orders/"
CRASHING_ITEM_SECONDS = 8.0
"""Time for which a batch with a crashing item stays open."""
KEY_LIFETIME_VERSIONS = 2
"""Number of configuration versions in which a key is valid."""
REVOKED_KEY_INTERVAL = 7
"""One request in this many carries a revoked key."""
KEEP_ALIVE_SHARE = 0.5
"""Fraction of the clients' requests that reuse connections."""
CRASHING_TRIES = 2
CRASHING_PAUSE_SECONDS = 0.7
CALL_FAILURES = (aiohttp.ClientError, TimeoutError, OSError)


class Callers:
    """The trainers and clients of a soak.

    Args:
        fronts: returns the addresses at which callers reach the daemons.
        publish_version: publishes a weight version of a model.
        configured_at: returns the acknowledgement time of each configuration version.
    """

    def __init__(
        self,
        fronts: Callable[[], list[Address]],
        checker: InvariantChecker,
        rng: random.Random,
        publish_version: Callable[[ModelName, int], Awaitable[None]],
        configured_at: Callable[[], dict[int, float]],
    ) -> None:
        self._configured_at = configured_at
        self._fronts = fronts
        self._checker = checker
        self._rng = rng
        self._publish_version = publish_version
        self.step_seconds: list[float] = []
        self.abandoned = 0
        self.requests = 0
        self.served = 0
        self.served_times: list[float] = []
        self.crashing_pages: set[int] = set()
        self._sessions: dict[Address, aiohttp.ClientSession] = {}

    async def close(self) -> None:
        """Closes the reused connections."""
        for session in self._sessions.values():
            await session.close()

    async def train(self, model: ModelName, items: int, until: float) -> None:
        """Runs training steps until a monotonic time."""
        step = 0
        while time.monotonic() < until:
            if step:
                await self._publish_version(model, step + 1)
            await self._step(model, step, items)
            step += 1

    async def ask(self, per_second: float, until: float) -> None:
        """Sends requests at a rate until a monotonic time; every third may run only once."""
        running: set[asyncio.Task] = set()
        while time.monotonic() < until:
            task = asyncio.create_task(self._request(once=self.requests % 3 == 0))
            running.add(task)
            task.add_done_callback(running.discard)
            self.requests += 1
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*running)

    async def ask_again_and_again(self, page: int, seconds: float) -> None:
        """Requests a page that crashes servers, with new request ids and at random daemons."""
        self.crashing_pages.add(page)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for _ in range(CRASHING_TRIES):
                name = f"r{self._rng.getrandbits(60):x}"
                self._checker.client_requests[name] = False
                await self._call("GET", f"{PAGE_PREFIX}{CRASHING_PAGE}{page}", name)
            await asyncio.sleep(CRASHING_PAUSE_SECONDS)

    async def read_on(self, batch: SubmittedBatch, until: float) -> None:
        """Reads a batch until it is complete or a monotonic time is reached."""
        while not batch.is_whole and time.monotonic() < until:
            position = len(batch.read)
            if position and self._rng.random() < 0.2:
                position = self._rng.randrange(position)  # sometimes from an earlier position
            target = f"{names.BATCH_PATH_PREFIX.decode()}{batch.batch}?after-rev={position}"
            answer = await self._call("GET", target, batch.batch)
            if answer is None or answer[0] != 200:
                assert answer is None or answer[0] != 404, f"{batch.batch} is lost"
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            self._checker.record_page(batch, position, orjson.loads(answer[1])["results"])

    async def _step(self, model: ModelName, step: int, items: int) -> None:
        began = time.monotonic()
        batch = self._new_batch(step, items)
        if not await self._submit(batch, model, step, began + SUBMIT_SECONDS):
            return
        await self.read_on(batch, began + STEP_SECONDS)
        if not batch.is_whole:
            self.abandoned += 1
            return  # it must complete once all faults have ended
        self.step_seconds.append(time.monotonic() - began)
        target = f"{names.BATCH_PATH_PREFIX.decode()}{batch.batch}"
        answer = await self._call("DELETE", target, batch.batch)
        if answer is not None and answer[0] == 200:
            batch.ended_at = time.monotonic()

    def register_kept(self, name: str) -> None:
        """Registers a stream on a kept connection, which may run only once."""
        self._checker.client_requests[name] = True
        self._checker.tenants[name] = READING

    def _new_batch(self, step: int, items: int) -> SubmittedBatch:
        name = f"b{self._rng.getrandbits(60):x}"
        calls = {f"{name}i{number}": f"{name}s{number}" for number in range(items)}
        batch = SubmittedBatch(name, calls, minimum_version=max(1, step))
        self._checker.batches[name] = batch
        return batch

    async def _submit(
        self, batch: SubmittedBatch, model: ModelName, step: int, until: float
    ) -> bool:
        body = orjson.dumps(_document(batch, model, step))
        refused = True
        while time.monotonic() < until:
            answer = await self._call("POST", f"{BATCH_PREFIX}{batch.batch}", batch.batch, body)
            if answer is not None and answer[0] == 202:
                batch.accepted = True
                return True
            refused = refused and answer is not None and answer[0] in NOT_RUN_STATUSES
            await asyncio.sleep(PAUSE_SECONDS)
        batch.refused = refused
        await self._end(batch, until + SUBMIT_SECONDS)
        return False

    async def _end(self, batch: SubmittedBatch, until: float) -> None:
        """Ends a batch, and repeats that until it is acknowledged."""
        target = f"{names.BATCH_PATH_PREFIX.decode()}{batch.batch}"
        while time.monotonic() < until:
            answer = await self._call("DELETE", target, batch.batch)
            if answer is not None and answer[0] == 200:
                batch.ended_at = time.monotonic()
                return
            await asyncio.sleep(PAUSE_SECONDS)

    async def submit_and_give_up(self, model: ModelName, until: float) -> None:
        """Submits batches once each, and ends those that are not accepted at once."""
        while time.monotonic() < until:
            batch = self._new_batch(step=0, items=GROUP_SIZE)
            body = orjson.dumps(_document(batch, model, 0))
            answer = await self._call("POST", f"{BATCH_PREFIX}{batch.batch}", batch.batch, body)
            batch.accepted = answer is not None and answer[0] == 202
            await self._end(batch, until + SUBMIT_SECONDS)
            await asyncio.sleep(PAUSE_SECONDS)

    async def submit_crashing_item(self, model: ModelName, page: int, seconds: float) -> None:
        """Submits a batch with an item that crashes its servers, and ends it after a while."""
        batch = self._new_batch(step=0, items=GROUP_SIZE)
        document = _document(batch, model, 0)
        document["requests"][0]["path"] = f"{BATCH_PREFIX}{CRASHING_PAGE}{page}"
        self._checker.client_requests[document["requests"][0]["id"]] = False
        target = f"{BATCH_PREFIX}{batch.batch}"
        answer = await self._call("POST", target, batch.batch, orjson.dumps(document))
        batch.accepted = answer is not None and answer[0] == 202
        await asyncio.sleep(max(seconds, CRASHING_ITEM_SECONDS))
        await self._end(batch, time.monotonic() + SUBMIT_SECONDS)

    async def _request(self, *, once: bool) -> None:
        name = f"r{self._rng.getrandbits(60):x}"
        self._checker.client_requests[name] = once
        self._checker.tenants[name] = READING
        version = self.newest_version()
        if self.requests % REVOKED_KEY_INTERVAL == 0 and version > KEY_LIFETIME_VERSIONS:
            self._checker.revoked[name] = self._configured_at()[version]
            version -= KEY_LIFETIME_VERSIONS
        target = f"{ONCE_PREFIX if once else PAGE_PREFIX}{name}"
        keep_alive = self._rng.random() < KEEP_ALIVE_SHARE
        method = "POST" if once else "GET"
        answer = await self._call(method, target, name, version=version, keep_alive=keep_alive)
        if answer is None:
            return
        status, body = answer
        if status == 200:
            assert body == f"page for {name}".encode(), f"{name} got another request's answer"
            self.served += 1
            self.served_times.append(time.monotonic())
        elif once and status in NOT_RUN_STATUSES:
            self._checker.reported_not_run.add(name)

    def newest_version(self) -> int:
        """Returns the newest acknowledged configuration version."""
        return max(self._configured_at())

    async def _call(
        self,
        method: str,
        target: str,
        request: str,
        body: bytes | None = None,
        version: int | None = None,
        keep_alive: bool = False,
    ) -> tuple[int, bytes] | None:
        """Makes one call at a random daemon; returns None without a complete response.

        Args:
            version: configuration version whose key is sent; None for the newest.
            keep_alive: whether the call reuses a connection.
        """
        daemon = self._rng.choice(self._fronts())
        tenant = TRAINING if request.startswith("b") else READING
        headers = {
            "Host": HOST,
            names.API_KEY.decode(): tenant_api_key(tenant, version or self.newest_version()),
            names.REQUEST_ID.decode(): request,
            names.WAIT_MS.decode(): READ_WAIT_MS,
        }
        url = f"http://{daemon}{target}"
        try:
            async with (
                asyncio.timeout(CALL_SECONDS),
                self._session(daemon, keep_alive=keep_alive) as session,
                session.request(method, url, data=body, headers=headers) as answer,
            ):
                return answer.status, await answer.read()
        except CALL_FAILURES:
            return None

    @contextlib.asynccontextmanager
    async def _session(
        self, daemon: Address, *, keep_alive: bool
    ) -> AsyncIterator[aiohttp.ClientSession]:
        """Yields a session with reused connections to a daemon, or a new one for a single call."""
        if keep_alive:
            if daemon not in self._sessions:
                self._sessions[daemon] = aiohttp.ClientSession()
            yield self._sessions[daemon]
            return
        async with aiohttp.ClientSession() as session:
            yield session


def _document(batch: SubmittedBatch, model: ModelName, step: int) -> dict:
    return {
        "step": step,
        "model": model,
        "min-version": batch.minimum_version,
        "desired": len(batch.calls) // GROUP_SIZE,
        "requests": [
            {
                "id": item,
                "path": f"{BATCH_PREFIX}{item}",
                "headers": {"Larkpost-Model": model, "Larkpost-Token-Count": "100,900"},
                "body": base64.b64encode(item.encode()).decode(),
                "tokens": 1000,
                "group": f"g{number // GROUP_SIZE}",
                "scorer-url": {
                    "id": call,
                    "host": HOST,
                    "path": f"{PAGE_PREFIX}{call}",
                    "body": base64.b64encode(b"score it").decode(),
                },
            }
            for number, (item, call) in enumerate(batch.calls.items())
        ],
    }
