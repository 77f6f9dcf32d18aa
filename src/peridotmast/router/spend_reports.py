"""Reports of what this router has spent, sent between two rounds."""

from __future__ import annotations

import typing as ty

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
    a burst at one router is not refused for want of a round of beacons.

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
        self.is_grouped: ty.Callable[[], bool] = lambda: False
        """Returns whether the fleet is too large for these reports."""
        self.send: ty.Callable[
            [pb.Beacon, ty.Sequence[members_.Peer]], None
        ] = lambda beacon, peers: None
        """Sends a beacon to some peers."""
        self._arrived = green.Event()
        self._waiting = 0

    def wait(self, ms: int) -> None:
        """Wait until a peer confirms reports, or until `ms` have passed."""
        self._waiting += 1
        try:
            with green.Timeout(ms / 1000, False):
                self._arrived.wait()
        finally:
            self._waiting -= 1

    def notify(self) -> None:
        """Wake the requests that wait for a confirmation."""
        if self._waiting:
            arrived, self._arrived = self._arrived, green.Event()
            arrived.send()

    def send_report(self) -> None:
        """Report to all live peers, and ask them to confirm."""
        if not self.is_grouped():
            self.send(self._build(True), self._members.live_peers())

    def handle(self, report: pb.SpendReport) -> None:
        """Process a peer's report, and confirm it if the peer asks for it."""
        peer = self._members.get(report.router)
        if peer is None or not peer.last_beacon_at or self.is_grouped():
            return
        run = report.incarnation
        if run != peer.member.incarnation:
            return
        if self._confirmations.receive(report.router, run, report.stamp):
            self._totals.update_spends(report.router, run, report.spends)
            self.notify()
        if report.needs_reply:
            self.send(self._build(False), [peer])

    def _build(self, needs_reply: bool) -> pb.Beacon:
        me = self._members.me
        spends = self._quota.unconfirmed_spends()
        report = pb.SpendReport(
            router=me.name,
            incarnation=me.incarnation,
            stamp=self._confirmations.stamp(),
            spends=[pb.TeamSpend(team=t, tokens=n) for t, n in spends.items()],
            needs_reply=needs_reply,
        )
        return pb.Beacon(spend_report=report)
