"""Recent refusals of upstreams, read by this router and its peers."""

from __future__ import annotations

import itertools
import typing as ty

from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstream_view

_WINDOW_MS = 1000
"""Time in which the refusals of all routers are counted, in ms."""

_WITHHELD_MS = 5000
"""Time for which a router that was refused uses one slot less, in ms."""

MAX_PER_ROUTER = 64
"""Maximum number of upstreams whose refusals one router sends to peers."""

_Times = dict[str, list[int]]
"""Times of refusals, in ms, by run of an upstream."""


class Refusals:
    """Counts the recent refusals of each upstream.

    Parameters
    ----------
    clock : clock.Clock
        Times the refusals.
    router : str
        Name of this router.
    """

    def __init__(self, clock: clock_.Clock, router: str) -> None:
        self._clock = clock
        self._router = router
        self._own: dict[str, tuple[upstream_view.UpstreamView, list[int]]] = {}
        self._of_peers: dict[str, _Times] = {}

    def note(self, view: upstream_view.UpstreamView) -> None:
        """Record a refusal that this router has read."""
        _, times = self._own.setdefault(view.run, (view, []))
        times.append(self._clock.now())

    def wait_ms(self, view: upstream_view.UpstreamView, bearable: int) -> int:
        """Return for how long refusals keep this router from an upstream.

        Parameters
        ----------
        bearable : int
            Number of refusals of all routers at which all stop sending.
        """
        if not self._own and not self._of_peers:
            return 0
        _, own = self._own.get(view.run, (view, []))
        of_peers = (
            times.get(view.run, ()) for times in self._of_peers.values()
        )
        known = sorted(
            itertools.chain.from_iterable(
                self._since(_WINDOW_MS, times) for times in (own, *of_peers)
            )
        )
        if len(known) < bearable:
            return 0
        return max(1, known[-bearable] + _WINDOW_MS - self._clock.now())

    def withheld(self, view: upstream_view.UpstreamView) -> int:
        """Return how many slots less this router uses at an upstream.

        A refusal within its share shows that the upstream has less room than
        it states, or that others use more than their shares.
        """
        if view.run not in self._own:
            return 0
        _, times = self._own[view.run]
        return len(self._since(_WITHHELD_MS, times))

    def for_peers(self) -> list[pb.UpstreamRefusals]:
        """Return the refusals that this router has read, the newest first."""
        now = self._clock.now()
        newest_first = sorted(
            self._own.values(), key=lambda item: -item[1][-1]
        )
        return [
            pb.UpstreamRefusals(
                upstream=view.name,
                born=view.born,
                ago_ms=[now - at for at in recent],
            )
            for view, times in newest_first[:MAX_PER_ROUTER]
            if (recent := self._since(_WINDOW_MS, times))
        ]

    def merge(
        self, router: str, refused: ty.Iterable[pb.UpstreamRefusals]
    ) -> None:
        """Replace the refusals that a peer has read."""
        now = self._clock.now()
        times = {
            upstream_view.run_of(message.upstream, message.born): [
                now - ago_ms for ago_ms in message.ago_ms
            ]
            for message in refused
        }
        if times:
            self._of_peers[router] = times
        else:
            self._of_peers.pop(router, None)

    def tick(self) -> None:
        """Forget refusals that no longer count."""
        self._own = {
            run: item
            for run, item in self._own.items()
            if self._since(_WITHHELD_MS, item[1])
        }
        self._of_peers = {
            router: times
            for router, times in self._of_peers.items()
            if any(self._since(_WINDOW_MS, each) for each in times.values())
        }

    def _since(self, ms: int, times: ty.Iterable[int]) -> list[int]:
        """Return the times of the last `ms`."""
        oldest = self._clock.now() - ms
        return [at for at in times if at > oldest]
