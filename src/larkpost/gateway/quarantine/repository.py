"""Crashes in the store: a row for each content and server, so that no two daemons' writes conflict.

The rows lie in a part of the table of batches. Every daemon follows that table, so news of a crash
reach all within some 60 ms, and cost no call while there are none; a table of their own would cost
each daemon a call a second.
"""

import orjson

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.known_crashes import Crash
from larkpost.gateway.blackboard.request_content import ContentDigest
from larkpost.gateway.store.batch_tables import CRASH_PART, HEAD_TABLE
from larkpost.gateway.store.port import ABSENT, Row, RowKey, Store, Transaction, WriteOutcome

CRASH_TABLE = HEAD_TABLE
MAX_ROWS = 90
"""Rows written at once; a transaction takes a hundred entries."""
WRITE_TIMEOUT_SECONDS = 1.0
"""Longest wait for the store. Nobody waits for it."""
CLAIM_TIMEOUT_SECONDS = 0.3
"""Longest wait for the claim of a trial. Short, as a client waits for it."""


def crash_of_row(row: Row) -> Crash:
    """Reads a row.

    Raises:
        ValueError: it is no crash.
    """
    content, slash, instance = row.key.key.partition("/")
    if not slash:
        raise ValueError("the key names no instance")
    at = 0.0 if row.removed else float(orjson.loads(row.value)["at"])
    return Crash(ContentDigest(content), InstanceId(instance), at)


class CrashRepository:
    """Writes and removes crashes."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def time(self) -> float | None:
        """Returns the store's time in seconds; None if it is not known."""
        return self._store.time()

    async def save(self, added: list[Crash], removed: list[Crash]) -> bool:
        """Writes some crashes, removes others, `MAX_ROWS` in all; returns whether it is done.

        What is not certainly done is to be saved again; a second time changes nothing.
        """
        change = Transaction(
            puts=tuple((_key(crash), orjson.dumps({"at": crash.at})) for crash in added),
            removals=tuple(_key(crash) for crash in removed),
        )
        result = await self._store.write(change, WRITE_TIMEOUT_SECONDS)
        return result.outcome is WriteOutcome.DONE

    async def claim(self, trial: Crash) -> bool:
        """Writes a trial that no daemon has claimed yet, and returns whether that is done."""
        key = _key(trial)
        change = Transaction(
            conditions=((key, ABSENT),), puts=((key, orjson.dumps({"at": trial.at})),)
        )
        result = await self._store.write(change, CLAIM_TIMEOUT_SECONDS)
        return result.outcome is WriteOutcome.DONE


def _key(crash: Crash) -> RowKey:
    return RowKey(CRASH_TABLE, CRASH_PART, f"{crash.content}/{crash.instance}")
