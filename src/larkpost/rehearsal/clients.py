"""Stand-in clients, which send requests at a varying rate and verify the answers."""

import asyncio
import math
import random
import time
from dataclasses import asdict, dataclass, field

import aiohttp
import orjson

from larkpost.client import parse_error
from larkpost.common.errors import LarkpostError, Ran
from larkpost.common.ids import Address
from larkpost.rehearsal.tokens import expected_answer
from larkpost.standalone.api.inference import KEY_HEADER, REQUEST_HEADER, RUN_ONCE_HEADER

MAX_ATTEMPTS = 6
RETRY_SECONDS = 0.2
ATTEMPT_TIMEOUT = aiohttp.ClientTimeout(total=30, sock_connect=1.0)
"""Timeouts of one attempt: in total, and to connect."""


@dataclass(frozen=True, slots=True)
class ClientShape:
    """Parameters of a service's traffic.

    Attributes:
        rate: peak rate in requests per second.
        day_seconds: period of the rate, which rises from 20 % to the peak and falls again.
        run_once_share: share of requests that must be executed at most once.
        stream_share: share of requests that ask for a stream.
    """

    service: str
    rate: float = 10.0
    day_seconds: float = 20.0
    max_tokens: int = 32
    run_once_share: float = 0.1
    stream_share: float = 0.5


@dataclass(slots=True)
class ClientRecord:
    """Counts and times observed by the clients."""

    service: str
    requests: int = 0
    answered: int = 0
    wrong_answers: int = 0
    errors: int = 0
    tries: int = 0
    seconds: list[float] = field(default_factory=list)
    told_not_run: list[str] = field(default_factory=list)
    run_once: list[str] = field(default_factory=list)
    error_codes: dict[str, int] = field(default_factory=dict)


class _AttemptError(Exception):
    """An attempt ended without a complete answer."""

    def __init__(self, code: str, ran: Ran, retry_after: float | None) -> None:
        super().__init__(code)
        self.code = code
        self.ran = ran
        self.retry_after = retry_after


class Clients:
    """Sends one service's requests."""

    def __init__(
        self,
        shape: ClientShape,
        daemons: list[Address],
        session: aiohttp.ClientSession,
        seed: int,
    ) -> None:
        self._shape = shape
        self._daemons = daemons
        self._session = session
        self._rng = random.Random(seed)
        self._name = f"{shape.service}-{self._rng.randrange(16**6):06x}"
        self.record = ClientRecord(shape.service)

    async def run(self, seconds: float) -> ClientRecord:
        """Sends requests for a number of seconds, then waits for the remaining answers."""
        started = time.monotonic()
        tasks = []
        while (elapsed := time.monotonic() - started) < seconds:
            await asyncio.sleep(self._rng.expovariate(self._rate_at(elapsed)))
            tasks.append(asyncio.create_task(self._request(len(tasks))))
        await asyncio.gather(*tasks)
        return self.record

    def _rate_at(self, elapsed: float) -> float:
        position = elapsed / self._shape.day_seconds
        return self._shape.rate * (0.6 - 0.4 * math.cos(2 * math.pi * position))

    async def _request(self, number: int) -> None:
        """Retries until there is an answer, attempts run out, or a retry might execute twice."""
        self.record.requests += 1
        run_once = self._rng.random() < self._shape.run_once_share
        started = time.monotonic()
        for attempt in range(MAX_ATTEMPTS):
            name = f"{self._name}-{number}-{attempt}"
            self.record.tries += 1
            try:
                await self._send(name, f"question {number}", run_once)
            except _AttemptError as outcome:
                self._record_failure(name, outcome)
                if run_once and outcome.ran == Ran.UNKNOWN:
                    break
                wait = outcome.retry_after or RETRY_SECONDS
                await asyncio.sleep(wait * self._rng.uniform(1.0, 1.5))
            else:
                self.record.answered += 1
                self.record.seconds.append(time.monotonic() - started)
                return
        self.record.errors += 1

    def _record_failure(self, name: str, outcome: _AttemptError) -> None:
        codes = self.record.error_codes
        codes[outcome.code] = codes.get(outcome.code, 0) + 1
        if outcome.ran == Ran.NO:
            self.record.told_not_run.append(name)

    async def _send(self, name: str, prompt: str, run_once: bool) -> None:
        daemon = self._rng.choice(self._daemons)
        stream = self._rng.random() < self._shape.stream_share
        headers = {REQUEST_HEADER: name}
        if run_once:
            headers |= {RUN_ONCE_HEADER: "true"}
            self.record.run_once.append(name)
            if self._rng.random() < 0.5:
                headers[KEY_HEADER] = name
        body = {
            "model": self._shape.service,
            "prompt": prompt,
            "max_tokens": self._shape.max_tokens,
            "stream": stream,
        }
        content = await self._post(daemon, headers, orjson.dumps(body))
        text, spans = _read_stream(content) if stream else _read_whole(content)
        expected = expected_answer(name, prompt, self._shape.max_tokens, spans)
        self.record.wrong_answers += text != " ".join(map(str, expected))

    async def _post(self, daemon: Address, headers: dict[str, str], body: bytes) -> bytes:
        """Sends a request and returns the complete body of a successful response.

        Raises:
            _AttemptError: there was no such response.
        """
        url = f"http://{daemon}/v1/completions"
        try:
            async with self._session.post(
                url, data=body, headers=headers, timeout=ATTEMPT_TIMEOUT
            ) as response:
                content = await response.read()
        except aiohttp.ClientConnectorError:
            raise _AttemptError("connect", Ran.NO, None) from None
        except (aiohttp.ClientError, TimeoutError, OSError):
            raise _AttemptError("broken", Ran.UNKNOWN, None) from None
        if response.status != 200:
            raise _attempt_error(parse_error(response.status, content))
        return content


def _attempt_error(error: LarkpostError) -> _AttemptError:
    return _AttemptError(error.code, error.ran, error.retry_after)


def _read_whole(content: bytes) -> tuple[str, list[tuple[int, int, int]]]:
    fields = orjson.loads(content)
    return fields["choices"][0]["text"], _spans(fields)


def _read_stream(content: bytes) -> tuple[str, list[tuple[int, int, int]]]:
    """Parses a stream; raises `_AttemptError` if it lacks the end marker."""
    events = [e[len(b"data: ") :] for e in content.split(b"\n\n") if e.startswith(b"data: ")]
    if not events or events[-1] != b"[DONE]":
        if events and b'"error"' in events[-1]:
            raise _attempt_error(parse_error(502, events[-1]))
        raise _AttemptError("cut", Ran.UNKNOWN, None)
    parts = [orjson.loads(event) for event in events[:-1]]
    text = "".join(part["choices"][0]["text"] for part in parts)
    return text, _spans(parts[-1])


def _spans(fields: dict) -> list[tuple[int, int, int]]:
    spans = fields["larkpost"]["versions"]
    return [(span["version"], span["first_token"], span["count"]) for span in spans]


async def run_clients(
    shape: ClientShape, daemons: list[Address], seconds: float, seed: int
) -> dict:
    """Runs a service's clients for a number of seconds and returns their record."""
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        clients = Clients(shape, daemons, session, seed)
        return asdict(await clients.run(seconds))
