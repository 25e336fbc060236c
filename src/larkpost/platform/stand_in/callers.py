"""Trainers and clients that call the daemons over HTTP and check every response."""

import asyncio
import base64
import itertools
import random
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import aiohttp
import orjson

from larkpost.common.ids import Address
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.platform import names
from larkpost.platform.stand_in.engine_state import expected_output
from larkpost.platform.stand_in.rows import (
    BATCH_PREFIX,
    HOST,
    PAGE_PREFIX,
    READING,
    TRAINING,
    tenant_api_key,
)

READ_WAIT_MS = "500"
RETRY_SECONDS = 0.1
CALL_SECONDS = 3.0
CONFIGURATION_VERSION = 1
"""The only version that the demo writes; its API keys are used."""
FAILURES = (aiohttp.ClientError, TimeoutError, OSError)


@dataclass(slots=True)
class CallerRecord:
    """Counts of what trainers and clients observed; `violations` must be 0."""

    batches_accepted: int = 0
    batches_whole: int = 0
    results_read: int = 0
    client_requests: int = 0
    client_answers: int = 0
    client_errors: int = 0
    retries: int = 0
    results_doubled: int = 0
    results_lost: int = 0
    results_wrong: int = 0
    answers_wrong: int = 0
    whole_seconds: list[float] = field(default_factory=list)

    @property
    def violations(self) -> int:
        """The number of duplicate, lost or wrong results and wrong responses."""
        return self.results_doubled + self.results_lost + self.results_wrong + self.answers_wrong


class Caller:
    """Calls a random daemon each time and retries failed calls."""

    def __init__(self, daemons: list[Address], record: CallerRecord, seed: int) -> None:
        self._daemons = daemons
        self.record = record
        self._rng = random.Random(seed)

    async def call(
        self, method: str, target: str, request_id: str, body: bytes | None = None
    ) -> tuple[int, bytes] | None:
        """Makes one call; returns None if there was no complete response."""
        daemon = self._rng.choice(self._daemons)
        tenant = READING if target.startswith(PAGE_PREFIX) else TRAINING
        headers = {
            "Host": HOST,
            names.API_KEY.decode(): tenant_api_key(tenant, CONFIGURATION_VERSION),
            names.REQUEST_ID.decode(): request_id,
            names.WAIT_MS.decode(): READ_WAIT_MS,
        }
        try:
            async with (
                asyncio.timeout(CALL_SECONDS),
                aiohttp.ClientSession() as session,
                session.request(
                    method, f"http://{daemon}{target}", data=body, headers=headers
                ) as response,
            ):
                return response.status, await response.read()
        except FAILURES:
            return None  # the caller counts it as a failure

    async def call_until(
        self, method: str, target: str, request_id: str, body: bytes | None, expected_status: int
    ) -> bytes:
        """Repeats a call until the response has the expected status."""
        while True:
            response = await self.call(method, target, request_id, body)
            if response is not None and response[0] == expected_status:
                return response[1]
            self.record.retries += 1
            await asyncio.sleep(RETRY_SECONDS)


@dataclass(frozen=True, slots=True)
class BatchShape:
    """The batches of one trainer: a model, and items in groups."""

    model: ModelName
    items: int
    group_size: int


class StandInTrainer:
    """Submits batches one after another and publishes a weight version after each.

    Args:
        publish_version: writes a weight version of a model to the store.
    """

    def __init__(
        self,
        caller: Caller,
        shape: BatchShape,
        publish_version: Callable[[ModelName, int], Awaitable[None]],
    ) -> None:
        self._caller = caller
        self._record = caller.record
        self._shape = shape
        self._publish_version = publish_version

    async def run(self, until: float) -> None:
        """Trains until an event loop time; finishes the batch in progress."""
        loop = asyncio.get_running_loop()
        for step in itertools.count():
            if loop.time() >= until:
                return
            if step:
                await self._publish_version(self._shape.model, step + 1)
            await self._step(step)

    async def _step(self, step: int) -> None:
        began = asyncio.get_running_loop().time()
        batch = secrets.token_hex(8)
        items = [secrets.token_hex(8) for _ in range(self._shape.items)]
        body = orjson.dumps(self._document(step, items))
        await self._caller.call_until("POST", f"{BATCH_PREFIX}{batch}", batch, body, 202)
        self._record.batches_accepted += 1
        found = await self._read(batch, len(items))
        self._check(items, found, step)
        self._record.whole_seconds.append(asyncio.get_running_loop().time() - began)
        target = f"{names.BATCH_PATH_PREFIX.decode()}{batch}"
        await self._caller.call_until("DELETE", target, batch, None, 200)

    async def _read(self, batch: str, total: int) -> list[dict]:
        found: list[dict] = []
        while len(found) < total:
            target = f"{names.BATCH_PATH_PREFIX.decode()}{batch}?after-rev={len(found)}"
            content = await self._caller.call_until("GET", target, batch, None, 200)
            found.extend(orjson.loads(content)["results"])
        return found

    def _document(self, step: int, items: list[str]) -> dict:
        return {
            "step": step,
            "model": self._shape.model,
            "min-version": max(1, step),
            "desired": len(items) // self._shape.group_size,
            "requests": [
                {
                    "id": item,
                    "path": f"{BATCH_PREFIX}{item}",
                    "headers": {
                        "Larkpost-Model": self._shape.model,
                        "Larkpost-Token-Count": "100,900",
                    },
                    "body": base64.b64encode(item.encode()).decode(),
                    "tokens": 1000,
                    "group": f"g{number // self._shape.group_size}",
                    "scorer-url": _reward_call(item),
                }
                for number, item in enumerate(items)
            ],
        }

    def _check(self, items: list[str], found: list[dict], step: int) -> None:
        ids = [result["id"] for result in found]
        self._record.results_read += len(ids)
        self._record.results_doubled += len(ids) - len(set(ids))
        self._record.results_lost += len(set(items) - set(ids))
        for result in found:
            expected_text = b"\n".join(expected_output(result["id"])).decode()
            fresh = min(result.get("versions", [0])) >= max(1, step)
            scored = result.get("score", "").endswith(f".{_reward_call_id(result['id'])}")
            if (
                result["state"] != "done"
                or result["message"] != expected_text
                or not (fresh and scored)
            ):
                self._record.results_wrong += 1
        self._record.batches_whole += 1


def _reward_call_id(item: str) -> str:
    return f"score-{item}"


def _reward_call(item: str) -> dict[str, str]:
    """Returns the reward call of an item; the page servers execute it."""
    return {
        "id": _reward_call_id(item),
        "host": HOST,
        "path": f"{PAGE_PREFIX}{item}",
        "body": base64.b64encode(b"score it").decode(),
    }


class StandInClient:
    """Requests pages at a constant rate."""

    def __init__(self, caller: Caller, per_second: float) -> None:
        self._caller = caller
        self._record = caller.record
        self._interval = 1 / per_second
        self._running: set[asyncio.Task] = set()

    async def run(self, until: float) -> None:
        """Sends requests until an event loop time."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            task = asyncio.create_task(self._request_page())
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(self._interval)
        await asyncio.gather(*self._running)

    async def _request_page(self) -> None:
        self._record.client_requests += 1
        for _ in range(2):
            request_id = secrets.token_hex(8)
            response = await self._caller.call("GET", f"{PAGE_PREFIX}{request_id}", request_id)
            if response is not None and response[0] == 200:
                self._record.client_answers += 1
                wrong = response[1] != f"page for {request_id}".encode()
                self._record.answers_wrong += wrong
                return
            await asyncio.sleep(RETRY_SECONDS)
        self._record.client_errors += 1
