"""Assignment of engines to daemons, updated incrementally.

The owner of an engine is the daemon of its zone with the highest rendezvous score; engines of a
zone without daemons are assigned among all daemons. Scoring every engine with every daemon is
avoided: a joining daemon is compared only with each engine's current owner, and when a daemon
leaves, only its engines are reassigned. Owners are cached for the daemon's own zone and for zones
without daemons; those of other zones are computed on demand.
"""

from collections.abc import Iterable

from larkpost.common.ids import DaemonId, EngineId, ZoneId
from larkpost.standalone.blackboard.board import Blackboard
from larkpost.standalone.blackboard.engines import EngineInfo
from larkpost.standalone.rendezvous import score


class OwnerMap:
    """Maps each engine to its owner in one daemon's view."""

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._owners: dict[EngineId, DaemonId] = {}
        self._engines: dict[ZoneId, list[EngineInfo]] = {}
        self._candidates: dict[ZoneId, set[DaemonId]] = {}
        self._seen_revisions = (-1, -1)
        self.revision = 0
        """Increases with each change of a cached owner."""

    def owner_revision(self) -> tuple[int, int]:
        """Returns a value that changes with each change of an owner or of the directory."""
        self._refresh()
        return self.revision, self._board.engines.revision

    def owner_of(self, engine: EngineId) -> DaemonId | None:
        """Returns the engine's owner, or None if there is none."""
        self._refresh()
        info = self._board.engines.directory.get(engine)
        if info is None or info.zone in self._candidates:
            return self._owners.get(engine)
        return _best_candidate((m.id for m in self._board.members.eligible(info.zone)), engine)

    def engines_of(self, daemon: DaemonId) -> list[EngineInfo]:
        """Returns the engines whose cached owner is the given daemon."""
        self._refresh()
        infos = self._board.engines.entries()
        return [info for info in infos if self._owners.get(info.id) == daemon]

    def _refresh(self) -> None:
        revisions = (self._board.members.revision, self._board.engines.revision)
        if revisions == self._seen_revisions:
            return
        if revisions[1] != self._seen_revisions[1]:
            self._index_engines()
        self._seen_revisions = revisions
        eligible = self._board.members.eligible()
        all_daemons = {member.id for member in eligible}
        zones_with_daemons = {member.zone for member in eligible}
        own_zone = self._board.members.own.zone
        for zone, engines in self._engines.items():
            if zone in zones_with_daemons and zone != own_zone:
                self._drop_zone(zone, engines)
            else:
                zone_daemons = {member.id for member in eligible if member.zone == zone}
                self._update_zone(zone, engines, zone_daemons or all_daemons)

    def _index_engines(self) -> None:
        """Groups the directory by zone and drops the owners of engines that are new to a zone."""
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
        previous = self._candidates.get(zone, set())
        added = candidates - previous
        self._candidates[zone] = candidates
        for info in engines:
            owner = self._owners.get(info.id)
            if owner is None or owner not in candidates:
                self._assign(info.id, _best_candidate(candidates, info.id))
            elif added:
                self._assign(info.id, _best_candidate({owner, *added}, info.id))

    def _drop_zone(self, zone: ZoneId, engines: list[EngineInfo]) -> None:
        """Drops the cached owners of another zone once it has daemons of its own."""
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


def _best_candidate(candidates: Iterable[DaemonId], engine: EngineId) -> DaemonId | None:
    return max(candidates, key=lambda daemon: score(daemon, engine), default=None)
