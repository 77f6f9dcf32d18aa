"""Selection of the routers that watch the platform's store for the fleet."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import members as members_
from peridotmast.coordination import rank

_ALL_WATCH_BELOW = 8
"""Smaller fleets watch with every router: changes arrive later from a peer
than from the store, and so few watches cost little."""

_WATCHERS = 6
"""Watchers of one kind in larger fleets, to keep the number of calls
independent of the fleet's size: enough that some remain when a failure domain
is cut off."""


_OUTAGE_FACTOR = 2
"""Factor on the number of watchers while the store does not answer some
router: a store that rejects a third of the routers rejects all of six once in
700 times, and all of twelve once in half a million. Not more, since each
watcher retries again and again during an outage."""


class Watchers:
    """Selects watchers by rendezvous hashing over the live routers.

    No agreement is needed: when a watcher falls silent the next one in order
    replaces it, and a router that hears no peer watches for itself.

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
        return len(self._candidates()) < _ALL_WATCH_BELOW

    def should_watch(self, kind: str) -> bool:
        """Return whether this router is to watch `kind`."""
        candidates = self._candidates()
        if len(candidates) < _ALL_WATCH_BELOW:
            return True
        purpose = f'watch|{kind}'
        own_rank = rank.of(purpose, self._members.me.name)
        before = sum(rank.of(purpose, name) < own_rank for name in candidates)
        factor = _OUTAGE_FACTOR if self.is_outage_suspected() else 1
        return before < factor * _WATCHERS

    def _candidates(self) -> set[str]:
        """Return the names of the peers that are live or starting."""
        live = {peer.member.name for peer in self._members.live_peers()}
        return live | self._members.starting_names()
