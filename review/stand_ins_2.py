"""Stand-ins of the store, the servers and the callers for the scripts of the second review.

Only the standard library is used. All stand-ins of a script share its process; the daemons are
processes of their own, started with the command of the deploy file. Every address is on loopback.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "users.example"
MODEL = "model-a"
ENGINES = "engines"
PAGES = "pages"
BATCH_PREFIX = "/rollouts/"
PAGE_PREFIX = "/pages/"
HEARTBEAT_SECONDS = 1.2
MAX_SECONDS = 115.0
"""Longest time that a script may take."""

SETTINGS = """\
node = "{name}"
role = "larkpost"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
port-range = [{peer},{peer}]
bootstrap = true
loss-counts = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
[zones]
zone-a = "region-a"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu-share = 0.717
cores = 3
memory-mb = 360
max-fds = 8200
link-mbps = 1000.0
disk-mb = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 5.2
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-skew-ms = 5000
recover-s = 12
pass-ms = 120
finish-s = 10
status-s = 120
cancel-ms = 3000
settle-ms = 1000
require-fence = true
lease-ms = {lease_ms}
thaw-ms = 300
[platform]
address = "127.0.0.1:{store}"
form = "table"
writes-per-s = 800
reads-per-s = 2000
tx_ms = 5.0
part_writes_per_s = 200
row_bytes = 65536
across = false
history-s = 20
"""


class Record:
    """What was sent, answered and run, with the seconds since the start; written at the end."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, *words: object) -> None:
        """Adds a line."""
        self.lines.append(f"{self.now():8.3f}  " + " ".join(str(word) for word in words))

    def write(self) -> None:
        """Writes all lines."""
        self._path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


@dataclass
class Call:
    """A request as it was read from a connection; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int = 0

    @property
    def path(self) -> str:
        """The target without its query."""
        return urlsplit(self.target).path

    def query(self, name: str, default: str = "") -> str:
        """Returns a parameter of the query."""
        return parse_qs(urlsplit(self.target).query).get(name, [default])[0]


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Reads one request; None once the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Call(method, target, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


def response(status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Returns a whole response with its length."""
    lines = [f"HTTP/1.1 {status} Stand-in"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """Serves HTTP/1.1 on a loopback port; subclasses implement `serve`."""

    started: "list[Listener]" = []

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._connections = 0

    async def start(self) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0, limit=2**22)
        Listener.started.append(self)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops, and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def serve(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Answers one request."""
        raise NotImplementedError

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self._connections += 1
        number = self._connections
        try:
            while (call := await read_call(reader)) is not None:
                call.connection = number
                work = asyncio.ensure_future(self.serve(call, writer))
                gone = asyncio.ensure_future(_wait_for_end(reader))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                gone.cancel()
                if not work.done():
                    work.cancel()  # the caller has closed its connection
                    break
                await work
                await writer.drain()
                if writer.is_closing():
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Waits until the caller has closed its connection; takes no bytes."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


@dataclass
class StoreFaults:
    """What is wrong with the store now.

    Attributes:
        delay: seconds by which each answer is late; the call itself is carried out at once.
        silent_ports: ports of daemons whose calls are not answered.
    """

    delay: float = 0.0


class Store(Listener):
    """The platform's store: rows, transactions and the feed, as PROTOCOL.md tells them."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.version = 0
        self.faults = StoreFaults()
        self.watchers: list = []
        self._log: list[dict] = []
        self._changed = asyncio.Event()
        self._began = time.monotonic()

    def now_ms(self) -> int:
        """Returns the store's steady clock."""
        return int((time.monotonic() - self._began) * 1000) + 1_000_000

    def put(self, table: str, key: str, document: dict, part: str = "") -> None:
        """Writes a row, as the operator, a trainer or a server does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([((table, part, key), value)], [])

    def remove(self, table: str, key: str, part: str = "") -> None:
        """Removes a row."""
        self._apply([], [(table, part, key)])

    def value(self, table: str, part: str, key: str) -> dict | None:
        """Returns the document of a row."""
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[0])) if row is not None else None

    async def serve(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Carries a call out at once, and answers after the usual or the present delay."""
        if call.path == "/-/rows-feed":
            status, document = await self._feed(call)
        elif call.path == "/-/rows-get":
            status, document = 200, self._get(call)
        elif call.path == "/-/rows-tx":
            status, document = self._transact(json.loads(call.body))
        else:
            status, document = 404, {}
        document["now_ms"] = self.now_ms()
        await asyncio.sleep(0.004 + self.faults.delay)
        content = json.dumps(document).encode()
        writer.write(response(status, {"Content-Type": "application/json"}, content))

    def _transact(self, document: dict) -> tuple[int, dict]:
        expected = {_key(entry): entry["ver"] for entry in document.get("expected", ())}
        if any(self.rows.get(key, ("", 0))[1] != ver for key, ver in expected.items()):
            found = [_row(key, *self.rows[key]) for key in expected if key in self.rows]
            return 412, {"rows": found, "ver": self.version}
        puts = [(_key(entry), entry["value"]) for entry in document.get("put", ())]
        self._apply(puts, [_key(entry) for entry in document.get("remove", ())])
        return 200, {"ver": self.version}

    def _apply(self, puts: list, removals: list) -> None:
        self.version += 1
        for key, value in puts:
            self.rows[key] = (value, self.version)
            self._log.append(_row(key, value, self.version))
        for key in removals:
            if self.rows.pop(key, None) is not None:
                self._log.append(_row(key, "", self.version) | {"gone": True})
        for watcher in self.watchers:
            watcher(puts, removals)
        self._changed.set()
        self._changed = asyncio.Event()

    def _get(self, call: Call) -> dict:
        table, part = call.query("table"), call.query("part")
        first, end = call.query("from"), call.query("target-version")
        limit = min(500, int(call.query("limit", "500")))
        keys = sorted(
            key
            for key in self.rows
            if key[0] == table and key[1] == part and key[2] >= first and (not end or key[2] < end)
        )
        rows = [_row(key, *self.rows[key]) for key in keys[:limit]]
        return {"rows": rows, "more": len(keys) > limit, "ver": self.version}

    async def _feed(self, call: Call) -> tuple[int, dict]:
        table, after = call.query("table"), int(call.query("after-rev"))
        ends_at = time.monotonic() + int(call.query("wait-ms", "0")) / 1000
        while True:
            rows = [row for row in self._log if row["table"] == table and row["ver"] > after]
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "more": False, "ver": self.version}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


def _key(entry: dict) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]


def _row(key: tuple[str, str, str], value: str, version: int) -> dict:
    return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}


class Server(Listener):
    """A server of a service: refuses what is meant for another one, and lists itself."""

    def __init__(self, name: str, service: str, store: Store, slots: int = 16) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.slots = slots
        self.weights = 1
        self.orders = 0
        self.running = 0
        self.state = "ready"
        self._store = store
        self._seq = 0
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to listen, and to write the entry in the store."""
        await super().start()
        self.beat()
        self._beats = asyncio.ensure_future(self._keep_listed())

    async def stop(self) -> None:
        """Ends as in a crash: says nothing."""
        if self._beats is not None:
            self._beats.cancel()
        await super().stop()

    def beat(self) -> None:
        """Writes the entry."""
        self._seq += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "seq": self._seq,
        }
        if self.service == ENGINES:
            entry["stage"] = "both"
            entry["models"] = [{"name": MODEL, "version": self.weights, "adapters": []}]
        self._store.put("servers", self.name, entry)

    async def _keep_listed(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.beat()

    async def serve(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Answers control calls; passes requests to `run`."""
        if call.headers.get("larkpost-expect-instance", self.name) != self.name:
            writer.write(response(421, {"Larkpost-Instance-Id": self.name}))
        elif call.path == "/-/report":
            writer.write(response(200, {"Content-Type": "application/json"}, self._report()))
        elif call.path == "/-/order":
            writer.write(response(self.order(json.loads(call.body))))
        else:
            self.running += 1
            try:
                await self.run(call, writer)
            finally:
                self.running -= 1

    async def run(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Runs a request and answers it."""
        raise NotImplementedError

    def answer_headers(self, call: Call) -> dict[str, str]:
        """Returns the headers of every answer to a request that has run."""
        attempt = call.headers["larkpost-attempt-id"]
        headers = {
            "Larkpost-Attempt-Id": attempt,
            "Larkpost-Server-Stamp": f"{self.name}.{attempt}",
            "Larkpost-Instance-Load": f"{self.running},0,{self.slots}",
        }
        if self.service == ENGINES:
            headers["Larkpost-Weight-Versions"] = str(self.weights)
        return headers

    def is_busy(self) -> bool:
        """Returns whether an order is under way."""
        return False

    def _report(self) -> bytes:
        document = {
            "stage": "both",
            "models": [{"name": MODEL, "version": self.weights, "adapters": []}],
            "busy": self.is_busy(),
            "seq": self.orders,
            "waiting": 0,
            "running": self.running,
            "kv-used": 0,
            "kv-total": 52385,
            "handles": 0,
        }
        return json.dumps(document).encode()

    def order(self, document: dict) -> int:
        """Takes an order, and returns the status of the answer."""
        if document.get("expected", self.orders) != self.orders:
            return 409
        if self.weights >= document["version"]:
            return 200
        self.orders += 1
        self.weights = document["version"]
        self.beat()
        return 202


def configuration(version: int = 1, **changes: object) -> dict:
    """Returns a configuration like that of a small deployment.

    Args:
        changes: fields of the routes to change, by the route's name.
    """
    rollouts = {
        "name": "rollouts",
        "host": HOST,
        "path-prefix": BATCH_PREFIX,
        "kind": "rollout",
        "timeout-ms": 10000,
        "target-ms": 400,
        "priority": 1,
        "service": ENGINES,
        "max-attempts": 3,
        "queue-ttl-s": 40.0,
        "result-due-ms": 7500,
        "single-version": False,
        "sticky": True,
        "resumable": True,
    }
    pages = {
        "name": "pages",
        "host": HOST,
        "path-prefix": PAGE_PREFIX,
        "kind": "idempotent",
        "timeout-ms": 1500,
        "target-ms": 191,
        "priority": 2,
        "service": PAGES,
        "max-attempts": 2,
    }
    routes = [route | changes.get(route["name"], {}) for route in (rollouts, pages)]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": ENGINES,
                "health-path": "/health",
                "max-conns": 170,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 16, "stride": 1, "most": 12, "models": [{"name": MODEL}]},
            },
            {
                "name": PAGES,
                "health-path": "/health",
                "max-conns": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 33554432,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


@dataclass
class Daemon:
    """A daemon as a process.

    Attributes:
        settings: values that differ from those of `SETTINGS`, by the names of the page.
    """

    name: str
    store_port: int
    folder: Path
    front: int = 0
    ready: int = 0
    peer: int = 0
    process: subprocess.Popen | None = None
    log: Path = field(default_factory=Path)
    settings: dict[str, int] = field(default_factory=dict)

    def write_settings(self) -> Path:
        """Writes the settings file as the platform does, and returns its path."""
        path = self.folder / f"{self.name}.toml"
        text = SETTINGS.format(
            name=self.name,
            front=self.front,
            ready=self.ready,
            peer=self.peer,
            store=self.store_port,
            lease_ms=self.settings.get("lease-ms", 3000),
        )
        whole = path.with_suffix(".new")
        whole.write_text(text, encoding="utf-8")
        whole.replace(path)
        return path

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        if not self.front:
            self.front, self.ready, self.peer = free_ports(3)
        settings = self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LARKPOST_NODE_FILE"] = str(settings)
        self.log = self.folder / f"{self.name}.log"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["larkpost"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process and waits for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Waits until the daemon calls itself ready.

        Raises:
            TimeoutError: it does not.
        """
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(OSError, asyncio.TimeoutError):
                    answer = await call_daemon(self.ready, "GET", "/-/ready")
                    if answer is not None and answer.status == 200:
                        return
                await asyncio.sleep(0.05)


@dataclass
class Answer:
    """An answer that a caller got; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def document(self) -> dict:
        """Returns the body as JSON."""
        return json.loads(self.body)


async def call_daemon(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    seconds: float = 12.0,
) -> Answer | None:
    """Makes one call on a new connection; None if no whole answer came."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                lines = [f"{method} {target} HTTP/1.1"]
                fields = {"Host": HOST, "Content-Length": str(len(body))} | (headers or {})
                lines += [f"{name}: {value}" for name, value in fields.items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
                return await read_answer(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer.

    Raises:
        asyncio.IncompleteReadError: it ended early.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(first.split(" ")[1]), headers, body)


def batch_document(items: list[dict], step: int = 0, least: int = 0, desired: int = 1) -> bytes:
    """Returns the body of a batch job."""
    document = {
        "step": step,
        "model": MODEL,
        "min-version": least,
        "desired": desired,
        "requests": items,
    }
    return json.dumps(document).encode()


def batch_item(item: str, group: str) -> dict:
    """Returns an item of a batch job."""
    return {
        "id": item,
        "path": f"{BATCH_PREFIX}run/{item}",
        "headers": {
            "Larkpost-Model": MODEL,
            "Larkpost-Token-Count": "271,16",
            "Larkpost-Prompt-Prefix": f"9c2e41:255,{group.encode().hex()}:16",
        },
        "body": base64.b64encode(f"body of {item}".encode()).decode(),
        "tokens": 287,
        "group": group,
    }


def run_case(folder: Path, play: Callable) -> int:
    """Runs a script and ends everything that it started; returns its exit code.

    Args:
        play: plays the case; called with its record, a temporary folder and the list to which it
            adds the daemons that it starts; returns the exit code.
    """
    record = Record(folder / "record.txt")
    daemons: list[Daemon] = []

    async def play_and_end(temporary: Path) -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(MAX_SECONDS):
                return await play(record, temporary, daemons)
        finally:
            for daemon in daemons:
                daemon.end()
            for listener in Listener.started:
                await listener.stop()
            await asyncio.sleep(0.1)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            return asyncio.run(play_and_end(Path(temporary)))
        except (Exception, asyncio.CancelledError) as error:
            record.add("the case could not run:", repr(error))
            return 2
        finally:
            record.write()
