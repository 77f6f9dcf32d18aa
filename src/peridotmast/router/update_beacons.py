"""Beacons with updates that a router sends to all others between rounds."""

from __future__ import annotations

import typing as ty

from peridotmast.router import catch_up as catch_up_
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.schema import peridotmast_pb2 as pb

_MOST = 12
"""Statements on upstreams that are told with a word of news: packed, they
leave it within one packet of 1,500 bytes."""


class UpdateBeacons:
    """Fills and takes in words of news.

    One says how new its teller's knowledge is, and what has changed of
    upstreams since its last one: else each peer would ask for that.

    Parameters
    ----------
    fleet_state : fleet_state.FleetState
        What is known from the store, and of the members.
    catch_up : catch_up.CatchUp
        Takes statements in, and asks for what did not come along.
    """

    def __init__(
        self, fleet_state: fleet_state_.FleetState, catch_up: catch_up_.CatchUp
    ) -> None:
        self._fleet_state = fleet_state
        self._table = fleet_state.upstream_table
        self._catch_up = catch_up
        self._told_revision = 0

    def build(self) -> pb.Beacon:
        """Return what is new of this router."""
        since, self._told_revision = self._told_revision, self._table.revision
        changed = self._table.records_since(since)
        beacon = _word(self._fleet_state)
        beacon.upstreams_since = since
        if len(changed) <= _MOST:
            beacon.upstreams.extend(changed)
        return beacon

    def build_lease(self, hint: ty.Optional[pb.LeaseHint]) -> pb.Beacon:
        """Return until when the lease on the duties is held here."""
        beacon = _word(self._fleet_state)
        if hint is not None:
            beacon.lease.CopyFrom(hint)
        return beacon

    def build_serving(
        self,
        suspects: ty.Iterable[pb.CrashSuspect],
        limits: ty.Iterable[pb.UpstreamLimit],
    ) -> pb.Beacon:
        """Return a beacon with updates on crashes and upstreams' limits."""
        beacon = _word(self._fleet_state)
        beacon.crash_suspects.extend(suspects)
        beacon.upstream_limits.extend(limits)
        return beacon

    def receive(self, beacon: pb.Beacon) -> None:
        """Take a peer's news in."""
        self._catch_up.merge_upstreams(beacon)
        self._catch_up.compare(beacon)


def beacon_of(fleet_state: fleet_state_.FleetState) -> pb.Beacon:
    """Return who a router is and how new its knowledge is."""
    return pb.Beacon(
        member=fleet_state.members.me,
        config_version=fleet_state.config.routes.version,
        document_version=fleet_state.config.product.version,
        upstreams_revision=fleet_state.upstream_table.revision,
    )


def _word(fleet_state: fleet_state_.FleetState) -> pb.Beacon:
    """Return what each word of news says."""
    beacon = beacon_of(fleet_state)
    beacon.news_only = True
    return beacon
