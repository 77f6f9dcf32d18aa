"""Selection of the upstream loads that are sent to a router."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast.serving import candidates
from peridotmast.serving import upstreams as upstreams_

LoadKey = tuple[str, int]
"""Name and start time of a run of an upstream."""
LoadSum = tuple[int, int, int]
"""Running requests, unread prompt tokens and tokens in memory."""
LoadSums = ty.Mapping[LoadKey, LoadSum]

_MAX_OTHERS = 64
"""Maximum number of loads of upstreams outside of a router's subsets. A router
sends requests there only for cached prefixes."""

_SUBSET_MS = 5000
"""Time for which a router's subset is kept although upstreams have come or
gone: it takes a hash of each upstream, for each member of a group."""


class LoadFilter:
    """Selects the loads that matter for the placement of a router.

    A router spreads its requests over a subset of a large service's upstreams,
    and sends requests with a cached prefix to that prefix's home. It receives
    the loads in its subsets and the highest other ones, so that the size of a
    message does not grow with the number of upstreams.

    Parameters
    ----------
    table : upstreams.UpstreamTable
        The upstreams.
    clock : clock.Clock
        Times the renewal of the subsets.
    """

    def __init__(
        self, table: upstreams_.UpstreamTable, clock: clock_.Clock
    ) -> None:
        self._table = table
        self._clock = clock
        self._subsets: dict[str, tuple[int, set[str]]] = {}
        """Time and names of each router's subsets."""

    def select(self, router: str, loads: LoadSums) -> LoadSums:
        """Return the loads that are sent to a router.

        Parameters
        ----------
        router : str
            Name of the router.
        """
        if len(loads) <= candidates.SUBSET_SIZE:
            return loads
        names = self.subset_names(router)
        selected = {k: load for k, load in loads.items() if k[0] in names}
        others = [item for item in loads.items() if item[0][0] not in names]
        others.sort(key=lambda item: item[1][1], reverse=True)
        selected.update(others[:_MAX_OTHERS])
        return selected

    def retain(self, routers: ty.Collection[str]) -> None:
        """Drop what is kept for other routers than these."""
        self._subsets = {
            router: subset
            for router, subset in self._subsets.items()
            if router in routers
        }

    def subset_names(self, router: str) -> set[str]:
        """Return the names of the upstreams in a router's subsets."""
        now = self._clock.now()
        known = self._subsets.get(router)
        if known is not None and now - known[0] < _SUBSET_MS:
            return known[1]
        names: set[str] = {
            view.name
            for service in self._table.services()
            for view in candidates.subset_of(router, self._table.live(service))
        }
        self._subsets[router] = now, names
        return names
