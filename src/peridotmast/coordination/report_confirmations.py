"""Confirmations of peers that they have received this router's reports."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import members as members_
from peridotmast.coordination import rank
from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb

_RUN_BITS = 32

_NEW_RUN_MS = 5000
"""Age up to which a run is new: less than the time for which the counts of
a silent peer are kept."""


class Confirmation(ty.NamedTuple):
    """The oldest report of this router that some live peer goes by."""

    at: int
    """Time at which it was sent, in ms on this router's clock."""
    peer: str
    """Name of the peer; empty if there is no live peer."""


class ReportConfirmations:
    """Knows which counts of this router all live peers have received.

    Each report states when it was sent, on its sender's clock, and the newest
    report of each peer that its sender had received by then. The time since
    the oldest confirmed report therefore covers the delays in both directions,
    whatever caused them, and no two clocks are compared.

    A peer is not waited for before its first report, as it learns what is
    left of the limits from another peer, nor once it has fallen silent.

    Parameters
    ----------
    members : members.Members
        This router and its peers.
    clock : clock.Clock
        Times the reports.
    """

    def __init__(self, members: members_.Members, clock: clock_.Clock) -> None:
        self._members = members
        self._clock = clock
        self._started_at = clock.now()
        self._own_run = _digest(members.me.name, members.me.incarnation)
        self._heard: dict[str, tuple[int, int]] = {}
        """Digest of the run and `sent_ms` of each peer's newest report."""
        self._confirmed: dict[str, tuple[int, int]] = {}
        """Digest of the run of each peer, and the time up to which it has
        received this router's reports."""

    def stamp(self) -> pb.ReportStamp:
        """Return when a report is sent now and which ones have arrived."""
        return pb.ReportStamp(
            sent_ms=max(1, self._clock.now() - self._started_at),
            heard=[
                pb.HeardReport(run=run, sent_ms=sent_ms)
                for run, sent_ms in self._heard.values()
            ],
        )

    def receive(
        self, name: str, incarnation: int, stamp: pb.ReportStamp
    ) -> bool:
        """Process the stamp of a peer's report.

        Returns
        -------
        bool
            Whether no newer report of that run of the peer has arrived.
        """
        if not stamp.sent_ms:
            # The peer's software states no stamps.
            return True
        now, run = self._clock.now(), _digest(name, incarnation)
        heard_run, sent_ms = self._heard.get(name, (run, 0))
        if heard_run == run and stamp.sent_ms < sent_ms:
            return False
        self._heard[name] = run, stamp.sent_ms
        known_run, confirmed_at = self._confirmed.get(name, (run, now))
        if known_run != run:
            confirmed_at = now
        received = (
            self._started_at + report.sent_ms
            for report in stamp.heard
            if report.run == self._own_run
        )
        confirmed_at = max(confirmed_at, *received, confirmed_at)
        self._confirmed[name] = run, min(now, confirmed_at)
        return True

    def is_new(self, stamp: pb.ReportStamp) -> bool:
        """Return whether a report's run has just begun, and after this one.

        Any older run may have been known before, and counted.
        """
        age_ms = self._clock.now() - self._started_at
        return 0 < stamp.sent_ms < min(age_ms, _NEW_RUN_MS)

    def oldest(self) -> Confirmation:
        """Return the confirmation of the live peer that lags most."""
        found = Confirmation(self._clock.now(), '')
        for peer in self._members.live_peers():
            name = peer.member.name
            if name in self._confirmed:
                at = self._confirmed[name][1]
                found = min(found, Confirmation(at, name))
        return found

    def tick(self) -> None:
        """Drop the state of peers that are no longer known."""
        known = set(self._members.peer_names())
        for state in (self._heard, self._confirmed):
            for name in state.keys() - known:
                del state[name]


def _digest(name: str, incarnation: int) -> int:
    owner = ids.owner_of(name, incarnation)
    return rank.of('run', owner) % (1 << _RUN_BITS)
