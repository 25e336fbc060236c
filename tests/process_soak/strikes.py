"""Injects the faults of a plan into a soak's site and ends each after its duration."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import orjson

from larkpost.common.ids import Address
from larkpost.platform import names
from larkpost.platform.stand_in.engine_state import EngineState
from larkpost.platform.stand_in.rows import evacuation_transaction
from larkpost.rehearsal.processes import Process
from tests.process_soak.daemon_program import SUSPENDED_SIGNAL
from tests.process_soak.plan import Fault, Kind
from tests.process_soak.proxy import FaultProxy, LinkFault
from tests.process_soak.records import (
    FAILING_CALL,
    FORGET_CALL,
    LATE_ORDERS_CALL,
    SLOW_CALL,
    STORE_FAULTS_CALL,
    Evacuation,
)
from tests.process_soak.site import (
    ENGINE_COUNT,
    PAGES,
    STORE_SECONDS,
    ZONES,
    Daemon,
    Server,
    Site,
)

STORE_FAULTS = {
    Kind.STORE_REFUSES: {"refuses": True},
    Kind.STORE_LOSES_ANSWERS: {"lost_answers": 0.3},
    Kind.STORE_WRITES_LATE: {"late_writes": 0.3},
    Kind.ALL_WRITES_LATE: {"late_writes": 1.0, "late_seconds": 5.9},
    Kind.STORE_SLOW: {"slow_seconds": 0.2},
    Kind.STORE_PARTS_DOWN: {"parts_down": ["b0", "b1", "b2", "b3"]},
}
STOP_SECONDS = 12.0
"""Timeout of a planned stop, after which the daemon is killed."""
BAD_SETTINGS_SECONDS = 1.5
WAVES = 9
USUAL_EVENT_SECONDS, SLOW_EVENT_SECONDS = EngineState().event_seconds, 0.2
SHORT_PAUSE_SECONDS = 0.25

FaultHandler = Callable[[Fault], Awaitable[None]]


class FaultInjector:
    """Injects faults into one site."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._handlers: dict[Kind, FaultHandler] = {
            Kind.DAEMON_KILL: self._kill_daemon,
            Kind.DAEMON_STOP: self._stop_daemon,
            Kind.ALL_DAEMONS_KILL: self._kill_all_daemons,
            Kind.DAEMON_MOVE: self._move_daemon,
            Kind.DAEMON_PAUSE: self._pause_daemon,
            Kind.DAEMON_SUSPEND: self._suspend_daemon,
            Kind.GOOD_SETTINGS: self._change_settings,
            Kind.BAD_SETTINGS: self._break_settings,
            Kind.STORE_TURNS_AWAY: self._refuse_calls_of_daemon,
            Kind.STORE_FORGETS: self._forget_history,
            Kind.STORE_PAUSE: self._pause_store,
            Kind.STORE_LINK: self._harm_store_link,
            Kind.FRONT_LINK: self._harm_front_link,
            Kind.SERVER_LINK: self._harm_server_link,
            Kind.SERVER_GARBLES: self._harm_server_link,
            Kind.SERVER_PAUSE: self._pause_server,
            Kind.SERVER_KILL: self._replace_server,
            Kind.ORDERS_LATE: self._delay_orders,
            Kind.SCORER_FAILS: self._fail_scorer,
            Kind.CONFIGURATION: self._configure,
            Kind.EVACUATION: self._evacuate,
            Kind.STOPS_IN_TURN: self._stop_all_in_turn,
            Kind.SERVER_WAVES: self._crash_in_waves,
            Kind.SERVER_SLOW: self._slow_engine,
            Kind.ROUTE_GONE: self._remove_route,
        } | dict.fromkeys(STORE_FAULTS, self._apply_store_faults)

    async def inject(self, fault: Fault) -> None:
        """Injects a fault and ends it after its duration."""
        await self._handlers[fault.kind](fault)

    # Daemons

    async def _kill_daemon(self, fault: Fault) -> None:
        await self._restart(self._daemon(fault), signal.SIGKILL, fault.seconds)

    async def _stop_daemon(self, fault: Fault) -> None:
        await self._restart(self._daemon(fault), signal.SIGTERM, fault.seconds)

    async def _stop_all_in_turn(self, fault: Fault) -> None:
        """Stops the daemons one after the other; some get SIGHUP and SIGTERM again meanwhile."""
        restarts = []
        for daemon in list(self._site.daemons):
            restarts.append(
                asyncio.create_task(self._restart(daemon, signal.SIGTERM, SHORT_PAUSE_SECONDS))
            )
            await asyncio.sleep(fault.seconds / 2)
            daemon.process.send(signal.SIGHUP)
            daemon.process.send(signal.SIGTERM)
        await asyncio.gather(*restarts)

    async def _crash_in_waves(self, fault: Fault) -> None:
        """Crashes one or two engines at a time, which are back after a moment."""
        for wave in range(WAVES):
            engines = [
                self._site.servers[(fault.target + wave + number) % ENGINE_COUNT]
                for number in range(1 + wave % 2)
            ]
            processes = [engine.process for engine in engines]
            for process in processes:
                process.send(signal.SIGKILL)
            await asyncio.sleep(SHORT_PAUSE_SECONDS)
            for engine, process in zip(engines, processes, strict=True):
                self._site.follow(engine, process)
            await asyncio.sleep(SHORT_PAUSE_SECONDS)

    async def _kill_all_daemons(self, fault: Fault) -> None:
        restarts = (
            self._restart(daemon, signal.SIGKILL, fault.seconds) for daemon in self._site.daemons
        )
        await asyncio.gather(*restarts)

    async def _restart(self, daemon: Daemon, number: signal.Signals, seconds: float) -> None:
        process = daemon.process
        process.send(signal.SIGCONT)
        process.send(number)
        if number is signal.SIGTERM:
            self._site.stops.append((daemon.front.address, time.monotonic()))
        await _wait_for_exit(process)
        await asyncio.sleep(seconds)
        if daemon.process is process and daemon in self._site.daemons:
            daemon.process = self._site.start_daemon(daemon.place, daemon.environment)

    async def _move_daemon(self, fault: Fault) -> None:
        """Kills a daemon permanently; another one starts at a new address."""
        old = self._daemon(fault)
        old.process.send(signal.SIGKILL)
        self._site.daemons.remove(old)
        self._site.daemons.append(await self._site.new_daemon())
        await old.front.close()
        await old.store.close()

    async def _pause_daemon(self, fault: Fault) -> None:
        await _pause(self._daemon(fault).process, fault.seconds)

    async def _suspend_daemon(self, fault: Fault) -> None:
        """Stops a daemon's process, whose monotonic clock does not advance meanwhile."""
        process = self._daemon(fault).process
        process.send(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        process.send(SUSPENDED_SIGNAL)
        process.send(signal.SIGCONT)

    async def _change_settings(self, fault: Fault) -> None:
        """Changes a daemon's settings file without changing any setting."""
        daemon = self._daemon(fault)
        path, changed = _changed_settings(daemon)
        path.write_text(changed, encoding="utf-8")
        daemon.process.send(signal.SIGHUP)

    async def _break_settings(self, fault: Fault) -> None:
        """Writes settings that a daemon must refuse, and valid ones a while later."""
        daemon = self._daemon(fault)
        path, changed = _changed_settings(daemon)
        path.write_text("this is no TOML = [", encoding="utf-8")
        daemon.process.send(signal.SIGHUP)
        asyncio.get_running_loop().call_later(BAD_SETTINGS_SECONDS, path.write_text, changed)

    # Store

    async def _refuse_calls_of_daemon(self, fault: Fault) -> None:
        """Makes the store refuse all calls of one daemon."""
        link = self._daemon(fault).store
        upstream, link.upstream = link.upstream, self._site.refuser_address
        link.reset_connections()
        await asyncio.sleep(fault.seconds)
        link.upstream = upstream
        link.reset_connections()

    async def _forget_history(self, fault: Fault) -> None:
        await _control(self._site.store_address, FORGET_CALL, b"")

    async def _apply_store_faults(self, fault: Fault) -> None:
        """Sets faults of the daemons' store calls; a later fault of this kind replaces them."""
        faults = orjson.dumps(STORE_FAULTS[fault.kind])
        await _control(self._site.store_address, STORE_FAULTS_CALL, faults)
        await asyncio.sleep(fault.seconds)
        await _control(self._site.store_address, STORE_FAULTS_CALL, b"{}")

    async def _pause_store(self, fault: Fault) -> None:
        await _pause(self._site.store, fault.seconds)

    async def _harm_store_link(self, fault: Fault) -> None:
        await _apply_link_fault(self._daemon(fault).store, fault)

    # Servers

    async def _harm_front_link(self, fault: Fault) -> None:
        await _apply_link_fault(self._daemon(fault).front, fault)

    async def _harm_server_link(self, fault: Fault) -> None:
        await _apply_link_fault(self._server(fault).proxy, fault)

    async def _pause_server(self, fault: Fault) -> None:
        await _pause(self._server(fault).process, fault.seconds)

    async def _replace_server(self, fault: Fault) -> None:
        server = self._server(fault)
        process = server.process
        process.send(signal.SIGKILL)
        await _wait_for_exit(process)
        await asyncio.sleep(fault.seconds)
        self._site.follow(server, process)

    async def _delay_orders(self, fault: Fault) -> None:
        engine = self._site.servers[fault.target % ENGINE_COUNT]
        await _control(engine.own, LATE_ORDERS_CALL, b"1")
        await asyncio.sleep(fault.seconds)
        await _control(engine.own, LATE_ORDERS_CALL, b"0")

    async def _slow_engine(self, fault: Fault) -> None:
        engine = self._site.servers[fault.target % ENGINE_COUNT]
        await _control(engine.own, SLOW_CALL, b"%f" % SLOW_EVENT_SECONDS)
        await asyncio.sleep(fault.seconds)
        await _control(engine.own, SLOW_CALL, b"%f" % USUAL_EVENT_SECONDS)

    async def _fail_scorer(self, fault: Fault) -> None:
        pages = [server for server in self._site.servers if server.service == PAGES]
        server = pages[fault.target % len(pages)]
        await _control(server.own, FAILING_CALL, b"1")
        await asyncio.sleep(fault.seconds)
        await _control(server.own, FAILING_CALL, b"0")

    # Operator

    async def _configure(self, fault: Fault) -> None:
        await self._site.change_configuration()

    async def _remove_route(self, fault: Fault) -> None:
        """Takes the route of batches away while batches are open, and brings it back."""
        await self._site.change_configuration(has_rollouts=False)
        await asyncio.sleep(fault.seconds)
        await self._site.change_configuration()

    async def _evacuate(self, fault: Fault) -> None:
        """Evacuates a zone for a while, unless it is evacuated already."""
        zone = ZONES[fault.target % len(ZONES)]
        spans = self._site.evacuations
        if any(span.zone == zone and span.ended_at == float("inf") for span in spans):
            return
        span = Evacuation(zone, float("inf"))
        spans.append(span)
        await self._site.write(evacuation_transaction(zone, is_on=True))
        span.began_at = time.monotonic()
        await asyncio.sleep(fault.seconds)
        span.ended_at = time.monotonic()
        await self._site.write(evacuation_transaction(zone, is_on=False))

    def _daemon(self, fault: Fault) -> Daemon:
        return self._site.daemons[fault.target % len(self._site.daemons)]

    def _server(self, fault: Fault) -> Server:
        return self._site.servers[fault.target % len(self._site.servers)]


async def _pause(process: Process, seconds: float) -> None:
    process.send(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    process.send(signal.SIGCONT)


async def _apply_link_fault(proxy: FaultProxy, fault: Fault) -> None:
    proxy.set_fault(fault.link)
    await asyncio.sleep(fault.seconds)
    proxy.set_fault(LinkFault.NONE)


async def _control(address: Address, call: str, body: bytes) -> None:
    """Sends a control call to a stand-in; ignores lost calls, as other faults may affect it."""
    try:
        async with (
            aiohttp.ClientSession() as session,
            asyncio.timeout(STORE_SECONDS),
            session.post(f"http://{address}{call}", data=body) as answer,
        ):
            assert answer.status == 200, f"{call}: {answer.status}"
    except (aiohttp.ClientError, OSError, TimeoutError):
        return


async def _wait_for_exit(process: Process) -> None:
    """Waits for a process to exit; kills it after STOP_SECONDS."""
    give_up_at = time.monotonic() + STOP_SECONDS
    while process.popen.poll() is None:
        if time.monotonic() > give_up_at:
            process.send(signal.SIGKILL)
        await asyncio.sleep(0.05)


def _changed_settings(daemon: Daemon) -> tuple[Path, str]:
    """Returns a daemon's settings file and its text with an added comment."""
    path = Path(daemon.environment[names.SETTINGS_VARIABLE])
    return path, path.read_text(encoding="utf-8") + f"# changed at {time.monotonic()}\n"
