"""Which daemon each engine falls to, kept up to date by differences.

The owner is the daemon of the engine's zone with the highest rendezvous score; a zone without
daemons falls to the others. A full computation is engines times daemons, tens of milliseconds at
3,200 engines. A joining daemon only has to be compared with each engine's present owner, and a
leaving one only leaves its own engines to be assigned again. Only the daemon's own zone and zones
without daemons are kept so; the owner of an engine elsewhere is computed when it is asked for.
"""

from collections.abc import Iterable

from larkpost.common.ids import DaemonId, EngineId, ZoneId
from larkpost.standalone.blackboard.board import Blackboard
from larkpost.standalone.blackboard.engines import EngineInfo
from larkpost.standalone.rendezvous import score


class OwnerMap:
    """Owners of all engines in one daemon's view."""

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._owners: dict[EngineId, DaemonId] = {}
        self._engines: dict[ZoneId, list[EngineInfo]] = {}
        self._candidates: dict[ZoneId, set[DaemonId]] = {}
        self._seen_revisions = (-1, -1)
        self.revision = 0
        """Grows with each change of an owner."""

    def owner_revision(self) -> tuple[int, int]:
        """Returns a value that changes with each change of an owner or of the directory."""
        self._refresh()
        return self.revision, self._board.engines.revision

    def owner_of(self, engine: EngineId) -> DaemonId | None:
        """Returns the daemon to which the engine falls, or None."""
        self._refresh()
        info = self._board.engines.directory.get(engine)
        if info is None or info.zone in self._candidates:
            return self._owners.get(engine)
        return _highest_scoring((m.id for m in self._board.members.eligible(info.zone)), engine)

    def engines_of(self, daemon: DaemonId) -> list[EngineInfo]:
        """Returns the engines that fall to a daemon."""
        self._refresh()
        infos = self._board.engines.entries()
        return [info for info in infos if self._owners.get(info.id) == daemon]

    def _refresh(self) -> None:
        seen = (self._board.members.revision, self._board.engines.revision)
        if seen == self._seen_revisions:
            return
        if seen[1] != self._seen_revisions[1]:
            self._index_engines()
        self._seen_revisions = seen
        eligible = self._board.members.eligible()
        everyone = {member.id for member in eligible}
        served = {member.zone for member in eligible}
        own_zone = self._board.members.own.zone
        for zone, engines in self._engines.items():
            if zone in served and zone != own_zone:
                self._drop_zone(zone, engines)
            else:
                own = {member.id for member in eligible if member.zone == zone}
                self._update_zone(zone, engines, own or everyone)

    def _index_engines(self) -> None:
        """Groups the directory by zone; engines that moved or are new have no owner yet."""
        grouped: dict[ZoneId, list[EngineInfo]] = {}
        for info in self._board.engines.entries():
            grouped.setdefault(info.zone, []).append(info)
        for zone, engines in grouped.items():
            known = {info.id for info in self._engines.get(zone, ())}
            for info in engines:
                if info.id not in known:
                    self._owners.pop(info.id, None)
        self._engines = grouped

    def _update_zone(
        self, zone: ZoneId, engines: list[EngineInfo], candidates: set[DaemonId]
    ) -> None:
        before = self._candidates.get(zone, set())
        added = candidates - before
        self._candidates[zone] = candidates
        for info in engines:
            owner = self._owners.get(info.id)
            if owner is None or owner not in candidates:
                self._assign(info.id, _highest_scoring(candidates, info.id))
            elif added:
                self._assign(info.id, _highest_scoring({owner, *added}, info.id))

    def _drop_zone(self, zone: ZoneId, engines: list[EngineInfo]) -> None:
        """Drops the owners of a zone that has daemons of its own again."""
        if self._candidates.pop(zone, None) is not None:
            self.revision += 1
            for info in engines:
                self._owners.pop(info.id, None)

    def _assign(self, engine: EngineId, owner: DaemonId | None) -> None:
        if owner is None:
            self._owners.pop(engine, None)
        elif self._owners.get(engine) != owner:
            self._owners[engine] = owner
            self.revision += 1


def _highest_scoring(candidates: Iterable[DaemonId], engine: EngineId) -> DaemonId | None:
    return max(candidates, key=lambda daemon: score(daemon, engine), default=None)
