"""Tests of store calls that a peer relays for a daemon that the store rejects."""

import random
import unittest

import aiohttp

from larkpost.common.clock import LoopClock
from larkpost.common.distance import Distance
from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address
from larkpost.common.tasks import TaskSet
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.store.peers import (
    MAX_PEER_ATTEMPTS,
    NO_PEER_COOLDOWN_SECONDS,
    is_allowed,
    next_peer_distance,
)
from larkpost.gateway.store.port import (
    HistoryLostError,
    RowKey,
    StoreUnavailableError,
    Transaction,
    WriteOutcome,
)
from larkpost.gateway.store.relay import MAX_PEER_CALL_SECONDS, RelayedStore
from larkpost.platform import names
from larkpost.platform.peer_store import PeerStoreApp
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient, StoreFaults
from larkpost.platform.stand_in.store_app import StoreApp
from larkpost.platform.store import HttpStore
from larkpost.rehearsal.processes import free_address
from larkpost.standalone.telemetry import Telemetry
from tests.platform_fleet import PlatformFleet, check_results, make_batch
from tests.virtual import run

KEY = RowKey("table", "part", "key")
CHANGE = Transaction(puts=((KEY, b"value"),))
PEERS = [Address("peer:0"), Address("peer:1")]


class PeerRuleTest(unittest.TestCase):
    """Distance and region rules for selecting a peer."""

    def test_next_peer_distance(self):
        zone, region, other = Distance
        cases = (
            ("nearest first", (other, zone, region), 0, zone),
            ("nearest again", (other, zone, region), 1, zone),
            ("the last one is far", (other, zone, region), 2, other),
            ("the last one, none is far", (zone, region), 2, region),
            ("all in one region", (region, region), 0, region),
        )
        for name, distances, failed_attempts, expected in cases:
            with self.subTest(name):
                usable = {Address(f"peer:{at}"): far for at, far in enumerate(distances)}
                self.assertEqual(expected, next_peer_distance(usable, failed_attempts))

    def test_only_region_bound_calls_stay_in_the_region(self):
        for distance in Distance:
            with self.subTest(distance):
                self.assertTrue(is_allowed(distance, region_bound=False))
                is_near = distance is not Distance.OTHER_REGION
                self.assertEqual(is_near, is_allowed(distance, region_bound=True))


class RelayTest(unittest.TestCase):
    """One daemon and two peers with an in-memory store."""

    def begin(self) -> None:
        """Creates a daemon with two peers that both reach the store."""
        self.clock = LoopClock()
        self.memory = MemoryStore(self.clock)
        self.direct = StoreClient(self.memory)
        self.peers = {address: StoreClient(self.memory) for address in PEERS}
        self.connections = 0
        self.store = RelayedStore(
            self.direct, self.connect, self.clock, EventLog("d"), random.Random(0)
        )
        self.tasks = TaskSet(self.clock, Telemetry("d", log=False))
        self.store.start(lambda: dict.fromkeys(PEERS, Distance.SAME_REGION), self.tasks)

    def connect(self, address: Address) -> StoreClient:
        """Returns the store as reached through a peer, and counts the connections."""
        self.connections += 1
        return self.peers[address]

    def test_rejected_calls_are_relayed_by_a_peer(self):
        async def play():
            self.begin()
            self.direct.refused = True
            self.assertIs(WriteOutcome.DONE, (await self.store.write(CHANGE, 1.0)).outcome)
            page = await self.store.read("table", "part")
            self.assertEqual([b"value"], [row.value for row in page.rows])
            self.assertEqual(1, len((await self.store.changes("table", 0, 0.1)).rows))
            self.assertTrue(self.store.is_relayed)

        run(play())

    def test_read_timeout_starts_relaying(self):
        async def play():
            self.begin()
            self.direct.cut_off = True
            await self.store.read("table", "part")
            self.assertTrue(self.store.is_relayed)
            began = self.clock.now()
            self.assertIs(WriteOutcome.DONE, (await self.store.write(CHANGE, 1.0)).outcome)
            self.assertLess(self.clock.now() - began, 0.1)

        run(play())

    def test_write_without_a_response_is_not_resent(self):
        async def play():
            self.begin()
            self.direct.cut_off = True
            self.assertIs(WriteOutcome.UNKNOWN, (await self.store.write(CHANGE, 0.5)).outcome)
            self.assertEqual({}, self.memory.rows)

        run(play())

    def test_calls_are_direct_again_once_the_store_accepts_them(self):
        async def play():
            self.begin()
            self.direct.refused = True
            await self.store.read("table", "part")
            self.direct.refused = False
            await self.clock.sleep(1.2)
            self.assertFalse(self.store.is_relayed)

        run(play())

    def test_peer_that_is_rejected_too_is_replaced(self):
        async def play():
            self.begin()
            self.direct.refused = True
            self.peers[PEERS[0]].refused = True
            for _ in range(20):
                try:
                    await self.store.read("table", "part")
                    break
                except StoreUnavailableError:
                    await self.clock.sleep(0.2)
            self.assertTrue(self.store.is_relayed)
            await self.store.read("table", "part")

        run(play())

    def test_peers_get_a_cooldown_while_none_reaches_the_store(self):
        async def play():
            self.begin()
            self.memory.faults = StoreFaults(refuses=True)
            calls = 0
            read = StoreClient.read

            async def counted(client, *arguments, **options):
                nonlocal calls
                calls += client is not self.direct
                return await read(client, *arguments, **options)

            StoreClient.read = counted
            try:
                for _ in range(20):
                    with self.assertRaises(StoreUnavailableError):
                        await self.store.read("table", "part")
                    await self.clock.sleep(0.1)
            finally:
                StoreClient.read = read
            rounds = 2.1 / NO_PEER_COOLDOWN_SECONDS + 1
            self.assertLessEqual(calls, rounds * MAX_PEER_ATTEMPTS)

        run(play())

    def test_unresponsive_peer_is_dropped_soon_and_gets_a_cooldown(self):
        """A frozen peer must not delay calls that another peer could relay."""

        async def play():
            self.begin()
            self.direct.refused = True
            self.peers[PEERS[0]].cut_off = True
            self.prefer_peer(PEERS[0])
            began = self.clock.now()
            await self.store.read("table", "part")
            self.assertLess(self.clock.now() - began, MAX_PEER_CALL_SECONDS + 0.1)
            self.peers[PEERS[1]].refused = True
            with self.assertRaises(StoreUnavailableError):
                await self.store.read("table", "part")
            self.peers[PEERS[1]].refused = False
            await self.clock.sleep(NO_PEER_COOLDOWN_SECONDS)
            began = self.clock.now()
            await self.store.read("table", "part")
            self.assertLess(self.clock.now() - began, 0.1)

        run(play())

    def test_peer_that_does_not_respond_to_a_write_is_dropped(self):
        async def play():
            self.begin()
            self.direct.refused = True
            self.prefer_peer(PEERS[0])
            await self.store.read("table", "part")
            self.peers[PEERS[0]].cut_off = True
            self.assertIs(WriteOutcome.UNKNOWN, (await self.store.write(CHANGE, 0.5)).outcome)
            began = self.clock.now()
            self.assertIs(WriteOutcome.DONE, (await self.store.write(CHANGE, 0.5)).outcome)
            self.assertLess(self.clock.now() - began, 0.1)

        run(play())

    def prefer_peer(self, address: Address) -> None:
        """Makes the selector prefer a peer."""
        self.store._peers._rng.choice = lambda found: address if address in found else found[0]

    def test_lost_history_is_raised_without_trying_a_peer(self):
        async def play():
            self.begin()
            self.memory.apply(CHANGE)
            self.memory.forget_history()
            with self.assertRaises(HistoryLostError):
                await self.store.changes("table", 0, 0.1)
            self.assertEqual(0, self.connections)

        run(play())


class RelayedFleetTest(unittest.TestCase):
    """A batch stays with its owner while the store rejects the owner."""

    def test_rejected_owner_lists_its_own_results(self):
        async def play():
            fleet = PlatformFleet(relays=True)
            await fleet.wait(3.0)
            spec = make_batch(items=40)
            owner = await fleet.submit(spec)
            await fleet.wait(0.1)
            fleet.clients[owner].refused = True
            results = await fleet.read_all(fleet.other(owner), spec.id)
            check_results(self, spec, results)
            runs = [name for state in fleet.engines.engines.values() for name in state.runs]
            self.assertEqual(len(set(runs)), len(runs))

        run(play())

    def test_rejected_daemon_accepts_and_reads_batches(self):
        async def play():
            fleet = PlatformFleet(relays=True)
            await fleet.wait(3.0)
            fleet.clients[0].refused = True
            spec = make_batch()
            began = fleet.clock.now()
            await fleet.gateways[0].batches.submit(spec)
            self.assertLess(fleet.clock.now() - began, 0.2)
            check_results(self, spec, await fleet.read_all(fleet.gateways[0], spec.id))

        run(play())


class PeerStoreAppTest(unittest.IsolatedAsyncioTestCase):
    """A peer's relay listener in front of a store, over real connections."""

    async def asyncSetUp(self):
        clock = LoopClock()
        self.memory = MemoryStore(clock)
        store_address, peer_address = free_address(), free_address()
        self.servers = [HttpServer(StoreApp(self.memory, clock).app(), store_address)]
        self.own = HttpStore(store_address, 65536)
        self.servers.append(HttpServer(PeerStoreApp(self.own), peer_address))
        for server in self.servers:
            await server.start()
        self.url = f"http://{peer_address}"
        self.by_peer = HttpStore(peer_address, 65536)

    async def asyncTearDown(self):
        await self.by_peer.close()
        await self.own.close()
        for server in self.servers:
            await server.close()

    async def test_calls_pass_unchanged(self):
        self.assertIs(WriteOutcome.DONE, (await self.by_peer.write(CHANGE, 1.0)).outcome)
        page = await self.by_peer.read("table", "part")
        self.assertEqual([b"value"], [row.value for row in page.rows])
        self.assertEqual(1, len((await self.by_peer.changes("table", 0, 0.1)).rows))
        conflict = Transaction(conditions=((KEY, 0),), puts=CHANGE.puts)
        self.assertIs(WriteOutcome.CONFLICT, (await self.by_peer.write(conflict, 1.0)).outcome)
        self.assertIsNotNone(self.by_peer.time())

    async def test_peer_rejected_by_the_store_reports_it_at_once(self):
        self.own.is_failing = True
        self.assertIs(WriteOutcome.NOT_DONE, (await self.by_peer.write(CHANGE, 1.0)).outcome)
        with self.assertRaises(StoreUnavailableError):
            await self.by_peer.read("table", "part")

    async def test_write_to_a_stopped_store_is_reported_as_not_done(self):
        await self.servers[0].close()
        self.assertIs(WriteOutcome.NOT_DONE, (await self.by_peer.write(CHANGE, 1.0)).outcome)

    async def test_unknown_calls_and_large_bodies_are_rejected(self):
        async with aiohttp.ClientSession() as session:
            for path in ("/", names.REPORT_PATH):
                async with session.get(self.url + path) as answer:
                    self.assertEqual(404, answer.status)
            large = b"x" * 2_000_000
            async with session.post(self.url + names.TRANSACTION_PATH, data=large) as answer:
                self.assertEqual(413, answer.status)


if __name__ == "__main__":
    unittest.main()
