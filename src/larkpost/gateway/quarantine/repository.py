"""Crashes in the store: one row per content and server, so that writes of daemons never conflict.

The rows are a part of the batch table. Every daemon already follows that table, so crashes reach
all daemons within about 60 ms and cost no calls while there are none; a separate table would cost
each daemon one call per second.
"""

import orjson

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.known_crashes import Crash
from larkpost.gateway.blackboard.request_content import ContentDigest
from larkpost.gateway.store.batch_tables import CRASH_PART, HEAD_TABLE
from larkpost.gateway.store.port import ABSENT, Row, RowKey, Store, Transaction, WriteOutcome

CRASH_TABLE = HEAD_TABLE
MAX_ROWS = 90
"""Most rows written at once; a transaction takes up to 100 entries."""
WRITE_TIMEOUT_SECONDS = 1.0
"""Timeout of a write; no request waits for it."""
CLAIM_TIMEOUT_SECONDS = 0.3
"""Timeout of a trial claim; short, because a client waits for it."""


def crash_of_row(row: Row) -> Crash:
    """Parses a row.

    Raises:
        ValueError: the row is not a crash.
    """
    content, slash, instance = row.key.key.partition("/")
    if not slash:
        raise ValueError("crash row key has no instance; expected '<content>/<instance>'")
    if row.removed:
        return Crash(ContentDigest(content), InstanceId(instance), 0.0)
    fields = orjson.loads(row.value)
    run_seconds = fields.get("run_seconds")
    return Crash(
        ContentDigest(content),
        InstanceId(instance),
        float(fields["at"]),
        None if run_seconds is None else float(run_seconds),
    )


class CrashRepository:
    """Writes and removes crashes."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def time(self) -> float | None:
        """Returns the store's time in seconds; None if it is unknown."""
        return self._store.time()

    async def save(self, added: list[Crash], removed: list[Crash]) -> bool:
        """Writes and removes crashes, `MAX_ROWS` in total; returns whether it succeeded.

        The caller retries a write that is not known to have succeeded; writes are idempotent.
        """
        change = Transaction(
            puts=tuple((_key(crash), _value(crash)) for crash in added),
            removals=tuple(_key(crash) for crash in removed),
        )
        result = await self._store.write(change, WRITE_TIMEOUT_SECONDS)
        return result.outcome is WriteOutcome.DONE

    async def claim(self, trial: Crash) -> WriteOutcome:
        """Writes a trial that no daemon has claimed yet."""
        key = _key(trial)
        change = Transaction(conditions=((key, ABSENT),), puts=((key, _value(trial)),))
        return (await self._store.write(change, CLAIM_TIMEOUT_SECONDS)).outcome


def _value(crash: Crash) -> bytes:
    """Returns a row's value; versions that do not know the duration ignore it."""
    fields = {"at": crash.at}
    if crash.run_seconds is not None:
        fields["run_seconds"] = round(crash.run_seconds, 3)
    return orjson.dumps(fields)


def _key(crash: Crash) -> RowKey:
    return RowKey(CRASH_TABLE, CRASH_PART, f"{crash.content}/{crash.instance}")
