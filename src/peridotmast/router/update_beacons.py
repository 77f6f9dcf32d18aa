"""Beacons that a router sends to all its peers between two rounds."""

from __future__ import annotations

import typing as ty

from peridotmast.router import catch_up as catch_up_
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving.limits import brittleness as brittleness_

_MAX_RECORDS = 12
"""Maximum number of upstream records in an update beacon: the packed beacon
then fits into one packet of 1,500 bytes."""


class UpdateBeacons:
    """Builds and receives update beacons.

    An update beacon states the versions of the sender's state and the upstream
    records that changed since its previous one. Without the records, each peer
    would call the sender to fetch them.

    Parameters
    ----------
    fleet_state : fleet_state.FleetState
        State from the store, and the members.
    catch_up : catch_up.CatchUp
        Merges records and fetches those that a beacon omits.
    """

    def __init__(
        self, fleet_state: fleet_state_.FleetState, catch_up: catch_up_.CatchUp
    ) -> None:
        self._fleet_state = fleet_state
        self._table = fleet_state.upstream_table
        self._catch_up = catch_up
        self._sent_revision = 0

    def build(self) -> pb.Beacon:
        """Return a beacon with the changes since the previous one."""
        since, self._sent_revision = self._sent_revision, self._table.revision
        changed = self._table.records_since(since)
        beacon = empty_update(self._fleet_state)
        beacon.upstreams_since = since
        if len(changed) <= _MAX_RECORDS:
            beacon.upstreams.extend(changed)
        return beacon

    def build_lease(self, hint: ty.Optional[pb.LeaseHint]) -> pb.Beacon:
        """Return a beacon with the state of the lease on the duties."""
        beacon = empty_update(self._fleet_state)
        if hint is not None:
            beacon.lease.CopyFrom(hint)
        return beacon

    def build_serving(
        self,
        suspects: ty.Iterable[pb.CrashSuspect],
        limits: ty.Iterable[pb.UpstreamLimit],
        brittleness: brittleness_.Brittleness,
    ) -> pb.Beacon:
        """Return a beacon with updates on crashes and limits of upstreams."""
        beacon = empty_update(self._fleet_state)
        beacon.brittle_services.extend(brittleness.updates_for_peers())
        beacon.refusals.extend(brittleness.refusals_for_peers())
        beacon.crash_suspects.extend(suspects)
        beacon.upstream_limits.extend(limits)
        return beacon

    def receive(self, beacon: pb.Beacon) -> None:
        """Apply a peer's update beacon."""
        self._catch_up.merge_upstreams(beacon)
        self._catch_up.fetch_if_behind(beacon)


def base_beacon(fleet_state: fleet_state_.FleetState) -> pb.Beacon:
    """Return a beacon with this router's member entry and state versions."""
    return pb.Beacon(
        member=fleet_state.members.me,
        config_version=fleet_state.config.routes.version,
        document_version=fleet_state.config.product.version,
        upstreams_revision=fleet_state.upstream_table.revision,
        store_era=fleet_state.store.era.number,
    )


def empty_update(fleet_state: fleet_state_.FleetState) -> pb.Beacon:
    """Return an update beacon without any changes."""
    beacon = base_beacon(fleet_state)
    beacon.news_only = True
    return beacon
