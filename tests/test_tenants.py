"""Tests of tenants and keys: admission, tenant headers to servers, and secrecy of keys."""

import asyncio
import contextlib
import json
import unittest
from contextlib import asynccontextmanager

import orjson

from larkpost.common.errors import LarkpostError
from larkpost.common.ids import Address, BatchId
from larkpost.gateway.blackboard.configuration import (
    Configuration,
    ConfigurationState,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.blackboard.tenants import Caller, Tenant, TenantName, digest_key
from larkpost.gateway.observability.eventlog import EventLog, NonBlockingWriter
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.proxy.admission import (
    Admission,
    NoRouteError,
    NotConfiguredError,
    UnknownKeyError,
)
from larkpost.gateway.proxy.request import (
    WholeResponse,
)
from larkpost.gateway.rollouts.errors import BatchIdTakenError, NoSuchBatchError
from larkpost.gateway.rollouts.model import ItemId
from larkpost.gateway.store.port import Row, RowKey
from larkpost.platform.batch_documents import read_batch
from larkpost.platform.http_protocol import Listener
from larkpost.platform.ingress import Ingress
from larkpost.platform.operator import UnreadableRowError, read_configuration
from larkpost.rehearsal.processes import free_address
from tests.platform_fleet import PAGES, PlatformFleet, check_results, make_batch
from tests.virtual import run

HOST = "pages.example"
FIRST_KEY = b"key-of-first-0123456789"
SECOND_KEY = b"key-of-second-0123456789"
NEW_KEY = b"key-added-later-0123456789"
FIRST = TenantName("first")
SECOND = TenantName("second")
APPLY_SECONDS = 3.0


def make_route(prefix: bytes, *, public: bool = False) -> Route:
    """Returns a route to the pages."""
    shares = (ServiceShare(PAGES, 1.0),)
    return Route("r", HOST, prefix, RouteKind.IDEMPOTENT, shares, 2.0, 0.2, is_public=public)


def make_tenant(name: TenantName, *keys: bytes) -> Tenant:
    """Returns a tenant with keys."""
    return Tenant(name, frozenset(digest_key(key) for key in keys))


def make_configuration(version: int, *tenants: Tenant) -> Configuration:
    """Returns a configuration with a route that needs a key and one that needs none."""
    routes = (make_route(b"/p/"), make_route(b"/open/", public=True))
    return Configuration(version, routes, {PAGES: Service(PAGES, 10)}, tenants=tenants)


CONFIGURATION = make_configuration(
    1, make_tenant(FIRST, FIRST_KEY), make_tenant(SECOND, SECOND_KEY)
)


def operator_row(document: dict) -> Row:
    """Returns the operator's row with a configuration."""
    return Row(RowKey("op", "", "config"), orjson.dumps(document), 1)


class ReadTenantsTest(unittest.TestCase):
    """Parsing of the operator's document."""

    def document(self, **fields) -> dict:
        return {"version": 3, "routes": [], "services": [], **fields}

    def test_tenants_are_read_with_digests_of_their_keys(self):
        entry = {"name": "first", "api-keys": [FIRST_KEY.decode(), "other"], "priority": 1}
        configuration = read_configuration(operator_row(self.document(tenants=[entry])))
        tenant = configuration.tenant_of(digest_key(FIRST_KEY))
        self.assertEqual(("first", 1), (tenant.name, tenant.priority))
        self.assertIsNone(configuration.tenant_of(digest_key(b"unknown")))
        self.assertNotIn(FIRST_KEY.decode(), repr(configuration))

    def test_missing_tenants_differ_from_an_empty_list(self):
        self.assertIsNone(read_configuration(operator_row(self.document())).tenants)
        empty = read_configuration(operator_row(self.document(tenants=[])))
        self.assertEqual((), empty.tenants)

    def test_a_name_invalid_in_a_header_is_rejected(self):
        for name in ("", "a\r\nX: y", "ä"):
            entry = {"name": name, "api-keys": ["k"]}
            with self.assertRaises(UnreadableRowError):
                read_configuration(operator_row(self.document(tenants=[entry])))

    def test_public_routes_are_read(self):
        entry = {"host": HOST, "path-prefix": "/p/", "kind": "idempotent", "service": "pages"}
        routes = [entry, entry | {"path-prefix": "/o/", "public": True}]
        configuration = read_configuration(operator_row(self.document(routes=routes)))
        self.assertEqual([False, True], [route.is_public for route in configuration.routes])


class AdmissionTest(unittest.TestCase):
    """Admission decisions, by the active configuration and its age."""

    def setUp(self):
        self.state = ConfigurationState()
        self.age = 0.0
        self.admission = Admission(
            self.state, lambda: self.age, lambda: APPLY_SECONDS, EventLog("d"), Metrics()
        )
        self.state.update(CONFIGURATION)

    def admit(self, key: bytes | None, path: bytes = b"/p/x"):
        digest = digest_key(key) if key is not None else None
        return self.admission.admit("request", HOST, path, digest)

    def test_a_key_identifies_its_tenant(self):
        self.assertEqual(FIRST, self.admit(FIRST_KEY).tenant)
        self.assertEqual(SECOND, self.admit(SECOND_KEY).tenant)
        self.assertEqual(SECOND, self.admit(SECOND_KEY, b"/open/x").tenant)

    def test_unknown_keys_and_routes_are_rejected(self):
        for key in (None, b"", b"unknown", FIRST_KEY + b" "):
            with self.assertRaises(UnknownKeyError) as caught:
                self.admit(key)
            self.assertEqual(401, caught.exception.status)
        with self.assertRaises(NoRouteError):
            self.admit(FIRST_KEY, b"/none/x")

    def test_public_routes_need_no_key(self):
        for key in (None, b"unknown"):
            self.assertIsNone(self.admit(key, b"/open/x").tenant)

    def test_keys_are_not_required_without_tenants(self):
        self.state.update(Configuration(2, (make_route(b"/p/"),), {PAGES: Service(PAGES, 10)}))
        self.assertIsNone(self.admit(None).tenant)
        self.assertTrue(self.admission.caller("c", HOST, None).can_read(FIRST))

    def test_removed_moved_and_duplicate_keys(self):
        self.state.update(make_configuration(2, make_tenant(FIRST, NEW_KEY)))
        with self.assertRaises(UnknownKeyError):
            self.admit(FIRST_KEY)
        self.assertEqual(FIRST, self.admit(NEW_KEY).tenant)
        self.state.update(make_configuration(3, make_tenant(SECOND, NEW_KEY)))
        self.assertEqual(SECOND, self.admit(NEW_KEY).tenant)
        doubled = (make_tenant(FIRST, NEW_KEY), make_tenant(SECOND, NEW_KEY, SECOND_KEY))
        self.state.update(make_configuration(4, *doubled))
        self.assertEqual(FIRST, self.admit(NEW_KEY).tenant)

    def test_an_old_configuration_rejects_nobody_permanently(self):
        """It may lack new keys: their callers are sent to another daemon; known keys still work."""
        self.age = APPLY_SECONDS + 0.1
        self.assertEqual(FIRST, self.admit(FIRST_KEY).tenant)
        for call in (lambda: self.admit(NEW_KEY), lambda: self.admit(FIRST_KEY, b"/new/x")):
            with self.assertRaises(NotConfiguredError) as caught:
                call()
            self.assertEqual(503, caught.exception.status)
            self.assertIsNotNone(caught.exception.retry_after)

    def test_without_a_configuration_nothing_is_admitted(self):
        self.state.current = None
        for call in (
            lambda: self.admit(FIRST_KEY),
            lambda: self.admission.caller("c", HOST, digest_key(FIRST_KEY)),
        ):
            with self.assertRaises(NotConfiguredError):
                call()

    def test_calls_about_batches_need_a_key(self):
        caller = self.admission.caller("c", HOST, digest_key(FIRST_KEY))
        self.assertEqual(Caller(FIRST, is_restricted=True), caller)
        with self.assertRaises(UnknownKeyError):
            self.admission.caller("c", HOST, digest_key(b"unknown"))


class TenantBatchTest(unittest.TestCase):
    """Batches belong to the tenant whose key submitted them."""

    def test_items_run_as_the_tenant_also_at_a_successor(self):
        async def play():
            fleet = PlatformFleet()
            told = record_tenants(fleet)
            await fleet.wait(1.0)
            spec = make_batch(items=40, tenant=FIRST)
            owner = await fleet.submit(spec)
            await fleet.wait(0.2)
            fleet.kill(owner)
            before = len(told)
            check_results(self, spec, await fleet.read_all(fleet.other(owner), spec.id))
            self.assertGreater(before, 0)
            self.assertGreater(len(told), before)
            self.assertEqual({FIRST}, set(told))

        run(play())

    def test_another_tenant_sees_nothing_of_it(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            spec = make_batch(tenant=FIRST)
            owner = await fleet.submit(spec)
            stranger = Caller(SECOND, is_restricted=True)
            for gateway in fleet.gateways:
                service = gateway.batches
                for call in (
                    service.read(spec.id, 0, 0.0, stranger),
                    service.body(spec.id, ItemId(f"{spec.id}-0"), stranger),
                    service.end(spec.id, stranger),
                ):
                    with self.assertRaises(NoSuchBatchError):
                        await call
                with self.assertRaises(BatchIdTakenError):
                    await service.submit(make_batch(tenant=SECOND))
            own = Caller(FIRST, is_restricted=True)
            gateway = fleet.other(owner)
            self.assertEqual(
                b"body 0", await gateway.batches.body(spec.id, ItemId(f"{spec.id}-0"), own)
            )
            await gateway.batches.submit(spec)
            check_results(self, spec, await fleet.read_all(gateway, spec.id))
            await gateway.batches.end(spec.id, own)
            await gateway.batches.end(spec.id, own)

        run(play())

    def test_headers_of_items_name_neither_keys_nor_tenants(self):
        headers = {"API-key": FIRST_KEY.decode(), "Larkpost-TENANT": "second", "X-Other": "v"}
        document = {"requests": [{"id": "i", "path": "/r/1", "headers": headers, "body": ""}]}
        spec = read_batch(b"batch", HOST, b"/r/x", orjson.dumps(document), FIRST)
        self.assertEqual((("X-Other", "v"),), spec.items[0].headers)
        self.assertEqual(FIRST, spec.tenant)


def record_tenants(fleet: PlatformFleet) -> list:
    """Returns a list that collects the tenant of each request that reaches an engine."""
    told = []
    send = fleet.engines.send

    @asynccontextmanager
    async def noting(instance, request):
        told.append(request.tenant)
        async with send(instance, request) as answer:
            yield answer

    fleet.engines.send = noting
    return told


class RecordingForwarder:
    """Records the requests that it receives."""

    def __init__(self) -> None:
        self.requests = []

    async def forward(self, request, _route):
        """Answers a request."""
        self.requests.append(request)
        return WholeResponse(200, (), b"whole")


class TenantIngressTest(unittest.IsolatedAsyncioTestCase):
    """Raw requests with keys."""

    async def asyncSetUp(self):
        self.state = ConfigurationState()
        self.state.update(CONFIGURATION)
        self.forwarder = RecordingForwarder()
        admission = Admission(
            self.state, lambda: 0.0, lambda: APPLY_SECONDS, EventLog("d"), Metrics()
        )
        ingress = Ingress(self.state, Lifecycle(), admission, self.forwarder, None)
        address = Address(free_address())
        listener = Listener(ingress, address, ingress.limits)
        await listener.start()
        self.addAsyncCleanup(listener.close)
        self.host, self.port = address.split(":")

    async def ask(self, *headers: bytes, path: bytes = b"/p/x") -> bytes:
        """Sends a request with some header lines and returns the answer."""
        reader, writer = await asyncio.open_connection(self.host, int(self.port))
        self.addCleanup(writer.close)
        lines = (b"GET " + path + b" HTTP/1.1", b"Host: " + HOST.encode(), *headers)
        writer.write(b"\r\n".join((*lines, b"Connection: close", b"", b"")))
        return await asyncio.wait_for(reader.read(), 3)

    async def test_the_server_receives_the_tenant_whatever_the_client_sent(self):
        answer = await self.ask(
            b"Larkpost-Tenant: second",
            b"LARKPOST-tenant: second",
            b"aPI-kEY: " + FIRST_KEY,
            b"X-Other: v",
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
        request = self.forwarder.requests[0]
        self.assertEqual(FIRST, request.tenant)
        self.assertEqual(((b"x-other", b"v"),), request.headers)

    async def test_unknown_missing_and_ambiguous_keys_get_401(self):
        for headers in (
            (),
            (b"Api-Key: unknown",),
            (b"Api-Key:",),
            (b"Api-Key: \xff\xfe\x80",),
            (b"Api-Key: " + FIRST_KEY, b"Api-Key: " + SECOND_KEY),
        ):
            answer = await self.ask(*headers)
            self.assertTrue(answer.startswith(b"HTTP/1.1 401"), answer)
        self.assertEqual([], self.forwarder.requests)
        answer = await self.ask(b"Api-Key: " + FIRST_KEY, b"Api-Key: " + FIRST_KEY)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"))

    async def test_no_route_is_404_and_a_public_route_needs_no_key(self):
        self.assertTrue((await self.ask(path=b"/none/x")).startswith(b"HTTP/1.1 404"))
        answer = await self.ask(b"Larkpost-Tenant: second", path=b"/open/x")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
        self.assertIsNone(self.forwarder.requests[0].tenant)
        self.assertEqual((), self.forwarder.requests[0].headers)

    async def test_calls_about_batches_need_a_key(self):
        for call in (b"/-/lots/b", b"/-/items/b?id=i"):
            self.assertTrue((await self.ask(path=call)).startswith(b"HTTP/1.1 401"))

    async def test_a_removed_key_is_rejected_from_the_next_request_on(self):
        key = b"Api-Key: " + FIRST_KEY
        self.assertTrue((await self.ask(key)).startswith(b"HTTP/1.1 200"))
        self.state.update(make_configuration(2, make_tenant(FIRST, NEW_KEY)))
        self.assertTrue((await self.ask(key)).startswith(b"HTTP/1.1 401"))


class NoKeyIsKeptTest(unittest.TestCase):
    """No log line, metric, error or row of larkpost contains a key."""

    def test_keys_are_not_disclosed(self):
        lines = RecordingWriter()
        metrics = Metrics()
        log = EventLog("daemon", lines, metrics)
        self.addCleanup(log.close)
        state = ConfigurationState()
        state.update(CONFIGURATION)
        admission = Admission(state, lambda: 0.0, lambda: APPLY_SECONDS, log, metrics)
        errors = []
        for key in (NEW_KEY, FIRST_KEY):
            with contextlib.suppress(LarkpostError):
                errors.append(repr(admission.admit("r", HOST, b"/p/x", digest_key(key))))
            try:
                admission.caller("r", HOST, digest_key(NEW_KEY))
            except LarkpostError as error:
                errors.append(f"{error.message} {error.remedy}")
        written = b"".join(lines.lines) + metrics.text() + "".join(errors).encode()
        self.assertIn(b"request_denied", written)
        self.assert_no_key(written)

    def test_no_row_of_a_batch_holds_a_key(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            headers = {"Api-Key": FIRST_KEY.decode(), "X-Other": "v"}
            entry = {"id": "i", "path": "/r/1", "headers": headers, "body": "aGk="}
            content = json.dumps({"requests": [entry], "model": "model"}).encode()
            spec = read_batch(b"batch", "trainers.example", b"/r/x", content, FIRST)
            await fleet.submit(spec)
            await fleet.read_all(fleet.gateways[0], BatchId("batch"))
            rows = b"".join(key.key.encode() + row.value for key, row in fleet.store.rows.items())
            self.assertIn(b"X-Other", rows)
            self.assert_no_key(rows)

        run(play())

    def assert_no_key(self, content: bytes) -> None:
        """Checks that the bytes contain none of the keys."""
        for key in (FIRST_KEY, SECOND_KEY, NEW_KEY):
            self.assertNotIn(key, content)


class RecordingWriter(NonBlockingWriter):
    """Collects log lines."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def write(self, line: bytes) -> None:
        """Keeps a line."""
        self.lines.append(line)


if __name__ == "__main__":
    unittest.main()
