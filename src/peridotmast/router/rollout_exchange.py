"""Messages between the holder of the duties and the routers on roll-outs."""

from __future__ import annotations

import random
import typing as ty

from peridotmast.coordination import beacons as beacons_
from peridotmast.coordination import lease as lease_
from peridotmast.rollout import rollout_duty
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.router import update_beacons
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import version_gate

RouterRun = rollout_duty.RouterRun

_REPORT_BYTES = 1000
"""Size of the evidence in a report, before compression: the beacon then fits
into one packet of 1,500 bytes."""

_RELAY_PEERS = 3
"""Number of peers that a router tells of a roll-back at once."""


class RolloutExchange:
    """Sends and receives states of roll-outs and reports on them.

    While a roll-out is in progress, the holder sends its state to each router,
    and each router sends its report to the holder, several times a second and
    without relays. All routers spread the states with their beacons.

    Parameters
    ----------
    fleet_state : fleet_state.FleetState
        The members and the upstreams.
    gate : version_gate.VersionGate
        What this router knows of the roll-outs.
    lease : lease.Lease
        The lease on the duties.
    duty : rollout_duty.RolloutDuty
        Receives the reports if this router holds the lease.
    beacons : beacons.Beacons
        Sends messages to routers.
    """

    def __init__(
        self,
        fleet_state: fleet_state_.FleetState,
        gate: version_gate.VersionGate,
        lease: lease_.Lease,
        duty: rollout_duty.RolloutDuty,
        beacons: beacons_.Beacons,
    ) -> None:
        self._fleet_state = fleet_state
        self._members = fleet_state.members
        self._table = fleet_state.upstream_table
        self._gate = gate
        self._lease = lease
        self._duty = duty
        self._beacons = beacons
        self._random = random.Random(self._members.me.name)
        self._next_cell = 0

    def routers(self) -> list[RouterRun]:
        """Return the runs of the routers that are alive."""
        members = [self._members.me]
        members += [peer.member for peer in self._members.live_peers()]
        return [(member.name, member.incarnation) for member in members]

    def send_states(
        self, router: RouterRun, states: list[pb.RolloutState]
    ) -> None:
        """Send states of roll-outs from the holder to a router."""
        if router[0] == self._members.me.name:
            self._receive_states(states)
            return
        peer = self._members.get(router[0])
        if peer is not None:
            beacon = update_beacons.empty_update(self._fleet_state)
            beacon.rollouts.extend(states)
            self._beacons.send(beacon, [peer])

    def tick(self) -> None:
        """Apply changed phases, and report to the holder."""
        self._gate.tick()
        reports = self._gate.reports(self._in_flight)
        holder = self._lease.known_holder()
        if not reports or holder is None:
            return
        if holder.holder == self._members.me.name:
            self._receive_reports(self._members.me, reports)
            return
        peer = self._members.get(holder.holder)
        if peer is not None:
            for report in reports:
                self._send_report(report, peer)

    def receive(self, beacon: pb.Beacon) -> None:
        """Apply the part of a peer's beacon that concerns roll-outs."""
        self._receive_states(beacon.rollouts)
        self._receive_reports(beacon.member, beacon.rollout_reports)

    def relay(self, state: pb.RolloutState) -> None:
        """Tell some peers at once that a version was rolled back."""
        live = self._members.live_peers()
        peers = self._random.sample(live, min(_RELAY_PEERS, len(live)))
        beacon = update_beacons.empty_update(self._fleet_state)
        beacon.rollouts.append(state)
        self._beacons.send(beacon, peers)

    def _receive_states(self, states: ty.Iterable[pb.RolloutState]) -> None:
        for state in states:
            self._gate.receive(state)

    def _receive_reports(
        self, member: pb.Member, reports: ty.Iterable[pb.RolloutReport]
    ) -> None:
        for report in reports:
            self._duty.receive((member.name, member.incarnation), report)

    def _send_report(self, report: pb.RolloutReport, peer: ty.Any) -> None:
        beacon = update_beacons.empty_update(self._fleet_state)
        beacon.rollout_reports.append(report)
        cells = self._select_cells(list(report.cells))
        del beacon.rollout_reports[0].cells[:]
        beacon.rollout_reports[0].cells.extend(cells)
        self._beacons.send(beacon, [peer])

    def _select_cells(
        self, cells: list[pb.EvidenceCell]
    ) -> list[pb.EvidenceCell]:
        """Return the evidence for one datagram: the latest, and some older.

        Older evidence follows in turn, for a holder that lacks it.
        """
        selected: list[pb.EvidenceCell] = []
        size = 0
        for index, cell in enumerate(cells):
            size += cell.ByteSize()
            if size > _REPORT_BYTES / 2:
                older = cells[index:]
                start = self._next_cell % len(older)
                rest = older[start:] + older[:start]
                more = _first_bytes(rest, _REPORT_BYTES // 2)
                self._next_cell = start + len(more)
                return selected + more
            selected.append(cell)
        return selected

    def _in_flight(self, service: str, target: str) -> int:
        """Return this router's requests at other versions than the target."""
        return sum(
            view.local_load.running
            for view in self._table.busy()
            if view.service == service
            and view.version != target
            and self._table.get(view.name) is view
        )


def _first_bytes(
    cells: list[pb.EvidenceCell], limit: int
) -> list[pb.EvidenceCell]:
    """Return the first cells that have up to `limit` bytes; at least one."""
    found: list[pb.EvidenceCell] = []
    size = 0
    for cell in cells:
        size += cell.ByteSize()
        if found and size > limit:
            break
        found.append(cell)
    return found
