"""Which routers watch the platform's store on behalf of all."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import members as members_
from peridotmast.coordination import rank

_EVERYBODY = 8
"""Fleet size up to which each router watches for itself: the news of a peer
comes later than the store's, and so few watches cost little."""

_WATCHERS = 6
"""Routers that watch in larger fleets, so that calls do not grow with them:
enough that some are left when a failure domain is cut off."""


_IN_DOUBT = 2
"""Times as many watch while somebody is not answered: a store that turns away
a third of the routers turns away all of six once in 700 times, and all of
twelve once in half a million. No more: each asks again and again in an
outage."""


class Watchers:
    """Chooses watchers by rendezvous hashing over the routers heard.

    Nobody need agree: when a watcher falls silent the next in order takes
    its place, and one that hears nobody watches for itself.

    Parameters
    ----------
    members : members.Members
        This router and its peers.
    """

    def __init__(self, members: members_.Members) -> None:
        self._members = members
        self.is_outage_suspected: ty.Callable[[], bool] = lambda: False
        """Says whether the store does not answer some router."""

    def all_watch(self) -> bool:
        """Return whether the fleet is so small that every router watches."""
        return len(self._there()) < _EVERYBODY

    def should_watch(self, kind: str) -> bool:
        """Return whether this router is to watch `kind`."""
        there = self._there()
        if len(there) < _EVERYBODY:
            return True
        what = f'watch|{kind}'
        mine = rank.of(what, self._members.me.name)
        before = sum(rank.of(what, name) < mine for name in there)
        times = _IN_DOUBT if self.is_outage_suspected() else 1
        return before < times * _WATCHERS

    def _there(self) -> set[str]:
        """Return the names of the routers that watch, or may in a moment."""
        heard = {peer.member.name for peer in self._members.live_peers()}
        return heard | self._members.starting_names()
