"""A simulated fleet with faults that only tests inject: planned stops, freezes, link failures.

It records the leaving notices and interrupted requests that the oracle checks.
"""

import asyncio

from larkpost.common.ids import DaemonId, EngineId
from larkpost.rehearsal.simulation.network import Host
from larkpost.rehearsal.simulation.records import LeavingNotice, LeavingSource
from larkpost.rehearsal.simulation.world import World

STOP_POLL = 0.05
RESPONSE_FLUSH_SECONDS = 1.0
"""Time in which responses already written reach their callers after a planned stop."""


class DisturbedWorld(World):
    """A fleet whose hosts also freeze, stop gracefully and lose single links."""

    # Daemons

    def freeze_daemon(self, name: DaemonId, seconds: float) -> None:
        """Pauses a daemon."""
        self.daemons[name].host.frozen_until = self.now + seconds
        fault = f"freeze-{name}-{self.now}"
        self.faults.set(fault, True)
        asyncio.get_running_loop().call_later(seconds, self.faults.set, fault, False)

    async def stop_daemon(self, name: DaemonId) -> None:
        """Stops a daemon gracefully."""
        node = self.daemons[name]
        if node.stopping:
            return
        node.stopping = True
        await node.daemon.drain()
        node.host.refusing = True
        await self._flush(node.host)
        if self.daemons.get(name) is node:
            del self.daemons[name]
            self._record_cut_requests(node.host)
            node.daemon.stop()
            self.stopped_daemons.append(node)
            self.fabric.daemons.pop(node.host.address, None)
            await _empty_buffers(node.host)
            node.host.kill()

    # Engines

    def kill_engine(self, engine: EngineId) -> None:
        """Kills an engine; its own leaving notice ends with it."""
        for mark in self.records.leaving:
            if mark.engine == engine and mark.source == LeavingSource.ENGINE:
                mark.until = min(mark.until, self.now)
        super().kill_engine(engine)

    def freeze_engine(self, engine: EngineId, seconds: float) -> None:
        """Pauses an engine."""
        self.engines[engine].model.faults.frozen_until = self.now + seconds

    async def stop_engine(self, engine: EngineId) -> None:
        """Stops an engine gracefully: it reports that it is leaving and exits once idle.

        Idle means that nothing is generated and all responses are sent, also those that a fault
        delays.
        """
        node = self.engines[engine]
        self.mark_leaving(engine, LeavingSource.ENGINE)
        while node.model.busy or (node.host.calls and node.host.alive):
            await asyncio.sleep(STOP_POLL)
        node.host.refusing = True
        await self._flush(node.host)
        if self.engines.get(engine) is node:
            self._record_cut_requests(node.host)
            await _empty_buffers(node.host)
        if self.engines.get(engine) is node:
            self.kill_engine(engine)

    def mark_leaving(self, engine: EngineId, source: LeavingSource) -> None:
        """Marks an engine as leaving, in the machine list or in its own reports."""
        at = self.now
        if source == LeavingSource.ENGINE:
            self.engines[engine].model.leaving = True
        else:
            self.platform.mark_leaving(engine)
            at += self.platform.machine_lag
        self.records.leaving.append(LeavingNotice(engine, source, at))

    # Network and platform

    def cut_link(self, first: Host, second: Host) -> None:
        """Cuts the link from one host to another, in that direction only."""
        self.network.conditions.link_cuts.add((first.address, second.address))
        self.faults.begin("links")

    def set_platform_slow(self, seconds: float) -> None:
        """Delays every response of the platform."""
        self.platform.faults.slow_seconds = seconds
        self.faults.set("slow platform", seconds > 0)

    async def _flush(self, host: Host) -> None:
        """Waits for refusals in progress; a frozen host writes them once it resumes."""
        await host.wait_until_running()
        deadline = self.now + RESPONSE_FLUSH_SECONDS
        while host.calls and self.now < deadline:
            await asyncio.sleep(STOP_POLL)

    def _record_cut_requests(self, host: Host) -> None:
        if host.calls:
            self.records.requests_cut_by_stop.append(
                f"{host.address} at {self.now:.2f}: {host.calls}"
            )


async def _empty_buffers(host: Host) -> None:
    """Waits until sent data has arrived, as a kernel does after the process has exited."""
    while host.in_transit:
        await asyncio.sleep(STOP_POLL)
