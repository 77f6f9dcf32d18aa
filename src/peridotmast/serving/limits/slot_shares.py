"""Division of an upstream's slots between the routers."""

from __future__ import annotations

import dataclasses
import heapq
import typing as ty
import weakref

from peridotmast import clock as clock_
from peridotmast.serving import candidates
from peridotmast.serving import upstream_view

_SETTLE_MS = 3000
"""Time after a change of the routers until a larger share is used: the routers
that had the slots before may learn of the change later, in ms."""


@dataclasses.dataclass
class _Shares:
    """The shares of the routers of the slots of one upstream."""

    routers: frozenset[str]
    slots: int
    """Routers and slots for which the shares were computed."""
    shares: dict[str, int]
    """Shares of the routers that have any."""
    granted: int
    """Number of slots that this router may use: not more than its share."""
    grows_at: int
    """Time at which its whole share is granted, in ms."""


class SlotShares:
    """Divides the slots of each upstream between the routers.

    Each router computes its own share from the names of all known routers; no
    request waits for a peer. The shares of all routers add up to the slots. If
    there are more routers than slots, some have no slot at an upstream, but
    each has others at other upstreams. A router with a small hash of its name
    and the upstream's run ranks first, as in the choice of its candidates.

    Parameters
    ----------
    clock : clock.Clock
        Times changes of the routers.
    router : str
        Name of this router.
    """

    def __init__(self, clock: clock_.Clock, router: str) -> None:
        self._clock = clock
        self._router = router
        self._routers: frozenset[str] = frozenset((router,))
        self._shares: weakref.WeakKeyDictionary[
            upstream_view.UpstreamView, _Shares
        ] = weakref.WeakKeyDictionary()

    @property
    def router_count(self) -> int:
        """Number of routers that share the slots."""
        return len(self._routers)

    def set_routers(self, routers: ty.Iterable[str]) -> None:
        """Set the routers that share the slots with this one."""
        names = frozenset((self._router, *routers))
        # An equal set is not replaced: `_get` compares by identity.
        if names != self._routers:
            self._routers = names

    def share(self, view: upstream_view.UpstreamView) -> int:
        """Return how many slots of an upstream this router may use now."""
        known = self._get(view)
        share = known.shares.get(self._router, 0)
        if known.granted < share and self._clock.now() >= known.grows_at:
            known.granted = share
        return known.granted

    def peers_with_room(
        self, view: upstream_view.UpstreamView
    ) -> ty.Iterator[str]:
        """Yield the peers that are not known to use their whole shares."""
        return (
            name
            for name, share in self._get(view).shares.items()
            if name != self._router and view.peer_running(name) < share
        )

    def _get(self, view: upstream_view.UpstreamView) -> _Shares:
        """Return the shares of the known routers.

        They are computed on use: to compute all of them whenever a router
        starts or leaves would block the event loop.
        """
        known = self._shares.get(view)
        if (
            known is None
            or known.routers is not self._routers
            or known.slots != view.slots
        ):
            known = self._shares[view] = self._compute(view, known)
        return known

    def _compute(
        self,
        view: upstream_view.UpstreamView,
        previous: ty.Optional[_Shares],
    ) -> _Shares:
        """Compute the shares; of one that grows, the rest is granted later."""
        shares = divide(self._routers, view)
        granted = shares.get(self._router, 0)
        if previous is not None:
            granted = min(granted, previous.granted)
        return _Shares(
            self._routers,
            view.slots,
            shares,
            granted,
            self._clock.now() + _SETTLE_MS,
        )


def divide(
    routers: ty.Collection[str], view: upstream_view.UpstreamView
) -> dict[str, int]:
    """Return the shares of `routers` of the slots of an upstream."""
    each, rest = divmod(view.slots, len(routers))
    first = heapq.nsmallest(
        rest, routers, key=lambda name: candidates.rank_hash(name, view)
    )
    shares = dict.fromkeys(routers, each) if each else {}
    shares.update(dict.fromkeys(first, each + 1))
    return shares
