"""Tests that a followed table never reverts to older rows, in whatever order changes arrive."""

import unittest
from unittest import mock

from larkpost.common.clock import LoopClock
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.configuration import Configuration, ConfigurationState
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.store.follower import (
    RETRY_SECONDS,
    RelistPolicy,
    TableFollower,
    TableParts,
)
from larkpost.gateway.store.port import HistoryLostError, Row, RowKey, RowPage, Transaction
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient, StoreFaults
from larkpost.standalone.telemetry import Telemetry
from tests.recording_log import RecordingLog
from tests.virtual import run

TABLE = "t"


def key(name: str) -> RowKey:
    """Returns a row's key."""
    return RowKey(TABLE, "", name)


class StaleStore(StoreClient):
    """A store client that can return an outdated listing, and whose history may always be gone."""

    stale_page: RowPage | None = None
    has_no_history = False
    listings = 0

    async def read(self, table, part, first="", end="", limit=0):
        """Reads rows, or the stale listing."""
        self.listings += 1
        if self.stale_page is not None:
            return self.stale_page
        return await super().read(table, part, first, end, limit)

    async def changes(self, table, after, wait):
        """Returns changes, or reports at once that they are gone."""
        if self.has_no_history:
            raise HistoryLostError("gone")
        return await super().changes(table, after, wait)


class FollowerTest(unittest.TestCase):
    """Follows one table in virtual time."""

    def begin(self, spoiled: str = ""):
        """Starts a follower.

        Args:
            spoiled: key of a row that the listener cannot take.
        """
        clock = LoopClock()
        self.store = MemoryStore(clock)
        self.client = StaleStore(self.store)
        self.received: list[Row] = []
        self.log = RecordingLog()

        def receive(row: Row) -> None:
            if row.key.key == spoiled:
                raise KeyError("owner")
            self.received.append(row)

        self.follower = TableFollower(
            self.client,
            TableParts(TABLE),
            receive,
            Instruments(clock, self.log),
            RelistPolicy(1.0),
        )
        self.follower.start(TaskSet(clock, Telemetry("d", log=False)))
        return clock

    def put(self, name: str, value: bytes) -> None:
        """Writes a row."""
        self.store.apply(Transaction(puts=((key(name), value),)))

    def values(self) -> dict[str, bytes]:
        """Returns the values of the local copy."""
        return {name.key: row.value for name, row in self.follower.rows.items()}

    def test_store_whose_history_is_always_gone_is_listed_at_a_bounded_rate(self):
        """A loop without a pause would take the rate of calls of all daemons."""

        async def play():
            clock = self.begin()
            self.client.has_no_history = True
            self.put("a", b"1")
            await clock.sleep(3.0)
            self.assertEqual({"a": b"1"}, self.values())
            self.assertLessEqual(self.client.listings, 3.0 / RETRY_SECONDS + 1)

        run(play())

    def test_changes_and_removals_are_followed(self):
        async def play():
            clock = self.begin()
            self.put("a", b"1")
            await clock.sleep(0.5)
            self.put("a", b"2")
            self.put("b", b"1")
            await clock.sleep(0.5)
            self.assertEqual({"a": b"2", "b": b"1"}, self.values())
            self.store.apply(Transaction(removals=(key("a"),)))
            await clock.sleep(0.5)
            self.assertEqual({"b": b"1"}, self.values())
            self.assertTrue(self.received[-1].removed)

        run(play())

    def test_table_is_listed_again_after_lost_history(self):
        async def play():
            clock = self.begin()
            self.put("a", b"1")
            self.put("b", b"1")
            await clock.sleep(0.5)
            self.store.apply(Transaction(removals=(key("a"),)))
            self.put("b", b"2")
            self.store.forget_history()
            await clock.sleep(0.5)
            self.assertEqual({"b": b"2"}, self.values())

        run(play())

    def test_stale_listing_changes_nothing(self):
        async def play():
            clock = self.begin()
            self.put("a", b"1")
            await clock.sleep(0.5)
            old = await self.client.read(TABLE, "")
            self.put("a", b"2")
            self.put("b", b"1")
            await clock.sleep(0.5)
            self.client.stale_page = old
            await clock.sleep(3.0)
            self.assertEqual({"a": b"2", "b": b"1"}, self.values())
            self.assertGreater(self.follower.age(clock.now()), 1.0)

        run(play())

    def test_older_row_is_ignored(self):
        async def play():
            clock = self.begin()
            self.put("a", b"1")
            await clock.sleep(0.5)
            self.follower._apply(Row(key("a"), b"old", 0))
            self.assertEqual({"a": b"1"}, self.values())

        run(play())

    # Guards against a daemon that learns nothing of a table any more, without a line of the log.
    def test_row_that_cannot_be_taken_does_not_end_the_following(self):
        async def play():
            clock = self.begin(spoiled="b")
            for name in ("a", "b", "c"):
                self.put(name, b"1")
            await clock.sleep(0.5)
            self.put("b", b"2")
            self.put("d", b"1")
            await clock.sleep(3.0)
            self.assertEqual(["a", "c", "d"], [row.key.key for row in self.received])
            faults = [fields for event, fields in self.log.events if event is Event.FAULT]
            self.assertEqual({"row t//b"}, {fields["where"] for fields in faults})
            self.assertEqual(2, len(faults), "one for each version of the row")

        run(play())

    def test_unexpected_error_of_a_call_does_not_end_the_following(self):
        async def play():
            clock = self.begin()
            await clock.sleep(0.5)
            with mock.patch.object(StaleStore, "changes", side_effect=OverflowError("ver")):
                await clock.sleep(2.0)
            self.put("a", b"1")
            await clock.sleep(2.0)
            self.assertEqual({"a": b"1"}, self.values())
            faults = [fields for event, fields in self.log.events if event is Event.FAULT]
            self.assertEqual({"follow t"}, {fields["where"] for fields in faults})

        run(play())

    def test_healthy_time_counts_from_the_last_failure(self):
        async def play():
            clock = self.begin()
            await clock.sleep(4.0)
            self.store.faults = StoreFaults(refuses=True)
            await clock.sleep(1.0)
            self.assertLess(self.follower.healthy_for(clock.now()), 0.5)
            self.store.faults = StoreFaults()
            await clock.sleep(4.0)
            self.assertGreater(self.follower.healthy_for(clock.now()), 3.0)

        run(play())


class ConfigurationStateTest(unittest.TestCase):
    """A configuration is replaced only by a newer one."""

    def test_lower_and_equal_versions_are_ignored(self):
        state = ConfigurationState()
        newer = Configuration(5, (), {})
        self.assertTrue(state.update(newer))
        self.assertFalse(state.update(Configuration(4, (), {})))
        self.assertFalse(state.update(Configuration(5, (), {})))
        self.assertIs(newer, state.current)
