"""Reports of what this router has spent, sent between two rounds."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import groups as groups_
from peridotmast.coordination import members as members_
from peridotmast.coordination import report_confirmations
from peridotmast import green
from peridotmast.router import shared_totals as shared_totals_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import quota as quota_


class SpendReports:
    """Tells peers what this router admitted for teams, and confirms theirs.

    A router may admit only a part of what is left before its peers know of it.
    If it has used half of that part it reports to them and they reply, so that
    a burst at one router is not refused for want of a round of beacons. In a
    fleet with groups the heads report to each other, each on its group.

    Parameters
    ----------
    members : members.Members
        This router and its peers.
    quota : quota.Quota
        The teams' limits.
    totals : shared_totals.SharedTotals
        Receives what peers have spent.
    confirmations : report_confirmations.ReportConfirmations
        Which reports the peers have received.
    """

    def __init__(
        self,
        members: members_.Members,
        quota: quota_.Quota,
        totals: shared_totals_.SharedTotals,
        confirmations: report_confirmations.ReportConfirmations,
    ) -> None:
        self._members = members
        self._quota = quota
        self._totals = totals
        self._confirmations = confirmations
        self.current_groups: ty.Callable[
            [], ty.Optional[groups_.GroupSnapshot]
        ] = lambda: None
        """Returns the groups; None if the fleet has none."""
        self.send: ty.Callable[
            [pb.Beacon, ty.Sequence[members_.Peer]], None
        ] = lambda beacon, peers: None
        """Sends a beacon to some peers."""
        self._arrived = green.Event()
        self._waiting = 0

    def wait(self, ms: int) -> bool:
        """Wait until a peer confirms reports, or until `ms` have passed.

        Returns
        -------
        bool
            Whether a confirmation arrived.
        """
        self._waiting += 1
        try:
            with green.Timeout(ms / 1000, False):
                self._arrived.wait()
                return True
            return False
        finally:
            self._waiting -= 1

    def notify(self) -> None:
        """Wake the requests that wait for a confirmation."""
        if self._waiting:
            arrived, self._arrived = self._arrived, green.Event()
            arrived.send()

    def send_report(self) -> None:
        """Report to the peers that decide as well; ask them to confirm."""
        groups = self.current_groups()
        if groups is None:
            self.send(self._build(True, False), self._members.live_peers())
        elif groups.is_head:
            self.send_group_report(groups)

    def send_group_report(self, groups: groups_.GroupSnapshot) -> None:
        """Report to the other heads on this router's group."""
        self.send(self._build(True, True), groups.other_heads())

    def handle(self, report: pb.SpendReport) -> None:
        """Process a peer's report, and confirm it if the peer asks for it."""
        peer = self._members.get(report.router)
        if peer is None or not peer.last_beacon_at:
            return
        if report.incarnation != peer.member.incarnation:
            return
        groups = self.current_groups()
        if report.of_group != (groups is not None):
            # One of the two does not know yet that the fleet's size changed.
            return
        if groups is None:
            self._handle_router(report)
        elif groups.is_head and not self._handle_group(report, groups):
            return
        if report.needs_reply:
            self.send(self._build(False, report.of_group), [peer])

    def _handle_router(self, report: pb.SpendReport) -> None:
        """Process the report of a router of a small fleet."""
        name, run = report.router, report.incarnation
        if self._confirmations.receive(name, run, report.stamp):
            self._totals.update_spends(name, run, report.spends)
            self.notify()

    def _handle_group(
        self, report: pb.SpendReport, groups: groups_.GroupSnapshot
    ) -> bool:
        """Process the report of another head; return whether it counts.

        A report without all teams is no baseline for a head whose totals
        have not arrived yet.
        """
        name, run = report.router, report.incarnation
        group = groups.group_of(name)
        if not self._totals.knows_head(group, name, run):
            return False
        if self._confirmations.receive(name, run, report.stamp):
            self._totals.update_group_spends(group, name, run, report.spends)
            self.notify()
        return True

    def _build(self, needs_reply: bool, of_group: bool) -> pb.Beacon:
        me = self._members.me
        spends = self._quota.unconfirmed_spends()
        if of_group:
            spends = self._totals.group_spends(spends)
        report = pb.SpendReport(
            router=me.name,
            incarnation=me.incarnation,
            stamp=self._confirmations.stamp(),
            spends=[pb.TeamSpend(team=t, tokens=n) for t, n in spends.items()],
            needs_reply=needs_reply,
            of_group=of_group,
        )
        return pb.Beacon(spend_report=report)
