"""Selection of the routers that watch the platform's store for the fleet."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import members as members_
from peridotmast.coordination import rank

_ALL_WATCH_BELOW = 8
"""Fleet size below which every router watches the store: changes arrive later
from a peer than from the store, and so few watches cost little."""

_WATCHERS = 6
"""Number of routers that watch each kind in larger fleets. It does not depend
on the size of the fleet, so that the number of calls stays the same, and some
watchers remain when a failure domain is cut off."""


_OUTAGE_FACTOR = 2
"""Factor on the number of watchers while the store does not answer some
router: a store that rejects a third of the routers rejects all of six watchers
in one case of 700, and all of twelve in one case of half a million. The factor
is not higher, since each watcher keeps retrying during an outage."""


class Watchers:
    """Selects watchers by rendezvous hashing over the live routers.

    No agreement is needed: when a watcher falls silent, the next router in the
    order replaces it, and a router that receives no beacons watches itself.

    Parameters
    ----------
    members : members.Members
        This router and its peers.
    """

    def __init__(self, members: members_.Members) -> None:
        self._members = members
        self.is_outage_suspected: ty.Callable[[], bool] = lambda: False
        """Returns whether the store fails to answer some router."""

    def all_watch(self) -> bool:
        """Return whether the fleet is so small that every router watches."""
        return len(self._candidate_names()) < _ALL_WATCH_BELOW

    def should_watch(self, kind: str) -> bool:
        """Return whether this router is to watch `kind`."""
        candidates = self._candidate_names()
        if len(candidates) < _ALL_WATCH_BELOW:
            return True
        purpose = f'watch|{kind}'
        own_rank = rank.of(purpose, self._members.me.name)
        before = sum(rank.of(purpose, name) < own_rank for name in candidates)
        factor = _OUTAGE_FACTOR if self.is_outage_suspected() else 1
        return before < factor * _WATCHERS

    def is_prober(self) -> bool:
        """Return whether this router probes the store for the others."""
        own_rank = rank.of('probe', self._members.me.name)
        return all(
            rank.of('probe', name) > own_rank
            for name in self._candidate_names()
        )

    def _candidate_names(self) -> set[str]:
        """Return the names of the peers that are live or starting."""
        live = {peer.member.name for peer in self._members.live_peers()}
        return live | self._members.starting_names()
