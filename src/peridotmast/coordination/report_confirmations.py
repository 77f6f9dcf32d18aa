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


DEAF_MS = 2000
GROUPED_DEAF_MS = 5000
"""Time without a further confirmation after which a live peer counts as deaf:
it no longer hears this router, and counts it as silent by then. In a fleet
with groups, silence is noticed later."""


class Awaited(ty.NamedTuple):
    """The live peers whose confirmations matter."""

    peers: ty.Sequence[members_.Peer]
    deaf_ms: int = DEAF_MS
    """Time after which a peer that confirms nothing is not waited for."""
    waits_for_first: bool = False
    """Whether a peer is waited for before its first report. In a small fleet
    it learns what is left from another peer by then."""


class _PeerState(ty.NamedTuple):
    """What a peer has confirmed."""

    run: int
    """Digest of the peer's run."""
    confirmed_at: int
    """Time up to which it has received this router's reports, in ms."""
    advanced_at: int
    """Time at which it last confirmed a further report, in ms."""


class Confirmation(ty.NamedTuple):
    """The oldest report of this router that some live peer goes by."""

    at: int
    """Time at which it was sent, in ms on this router's clock."""
    peer: str
    """Name of the peer; empty if there is no live peer."""


class ReportConfirmations:
    """Knows which counts of this router its live peers have received.

    The peers that matter are those that decide on requests as well: all
    routers of a small fleet, the other heads for the head of a group, and its
    head for a member.

    Each report states when it was sent, on its sender's clock, and the newest
    report of each peer that its sender had received by then. The time since
    the oldest confirmed report therefore covers the delays in both directions,
    whatever caused them, and no two clocks are compared.

    A peer is not waited for once one of the two no longer hears the other: it
    then counts the other as spending its part.

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
        self._confirmed: dict[str, _PeerState] = {}
        self._awaited_since: dict[str, int] = {}
        self.awaited: ty.Callable[[], Awaited] = lambda: Awaited(
            members.live_peers()
        )
        """Returns the live peers whose confirmations matter."""

    def stamp(
        self, names: ty.Optional[ty.Iterable[str]] = None
    ) -> pb.ReportStamp:
        """Return when a report is sent now and which ones have arrived.

        Parameters
        ----------
        names : iterable of str, optional
            The peers whose reports are confirmed; all peers if not given.
        """
        heard = self._heard
        if names is not None:
            heard = {n: heard[n] for n in names if n in heard}
        return pb.ReportStamp(
            sent_ms=max(1, self._clock.now() - self._started_at),
            heard=[
                pb.HeardReport(run=run, sent_ms=sent_ms)
                for run, sent_ms in heard.values()
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
        known = self._confirmed.get(name)
        if known is None or known.run != run:
            known = _PeerState(run, now, now)
        received = [
            self._started_at + report.sent_ms
            for report in stamp.heard
            if report.run == self._own_run
        ]
        confirmed_at = min(now, max([known.confirmed_at, *received]))
        if confirmed_at > known.confirmed_at:
            known = _PeerState(run, confirmed_at, now)
        self._confirmed[name] = known
        return True

    def is_new(self, stamp: pb.ReportStamp) -> bool:
        """Return whether a report's run has just begun, and after this one.

        Any older run may have been known before, and counted.
        """
        age_ms = self._clock.now() - self._started_at
        return 0 < stamp.sent_ms < min(age_ms, _NEW_RUN_MS)

    def oldest(self) -> Confirmation:
        """Return the confirmation of the awaited peer that lags most."""
        now = self._clock.now()
        found = Confirmation(now, '')
        awaited = self.awaited()
        for name in (peer.member.name for peer in awaited.peers):
            known = self._confirmed.get(name)
            if known is None and awaited.waits_for_first:
                since = self._awaited_since.setdefault(name, now)
                known = _PeerState(0, 0, since)
            if known is None or now - known.advanced_at > awaited.deaf_ms:
                continue
            found = min(found, Confirmation(known.confirmed_at, name))
        return found

    def tick(self) -> None:
        """Drop the state of peers that are no longer known."""
        known = set(self._members.peer_names())
        self._heard = {n: v for n, v in self._heard.items() if n in known}
        self._confirmed = {
            n: v for n, v in self._confirmed.items() if n in known
        }
        awaited = {peer.member.name for peer in self.awaited().peers}
        self._awaited_since = {
            n: v for n, v in self._awaited_since.items() if n in awaited
        }


def _digest(name: str, incarnation: int) -> int:
    owner = ids.owner_of(name, incarnation)
    return rank.of('run', owner) % (1 << _RUN_BITS)
