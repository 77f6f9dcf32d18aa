"""Selects the routers that a caller is told to connect to."""

from __future__ import annotations

import random
import typing as ty

from peridotmast.coordination import members as members_
from peridotmast.schema import peridotmast_pb2 as pb


class RouterSelector:
    """Selects routers of a caller's failure domain, and fallbacks.

    The fallbacks are routers of other failure domains, in case the caller's
    failure domain is lost. They are drawn at random for each answer: in a
    fixed order, the first routers would get the callers of all other failure
    domains in addition to their own callers.

    Parameters
    ----------
    members : members.Members
        The routers.
    max_count : int
        Maximum number of routers in one answer.
    """

    def __init__(self, members: members_.Members, max_count: int) -> None:
        self._members = members
        self._max_count = max_count
        self._draws = random.Random(members.me.name)

    def select(
        self,
        domain: str,
        is_usable: ty.Callable[[pb.Member], bool] = lambda member: True,
    ) -> list[pb.Member]:
        """Return routers, those of failure domain `domain` first.

        Parameters
        ----------
        is_usable : callable
            Returns whether a router can serve the caller.
        """
        serving = [m for m in self._members.serving() if is_usable(m)]
        near = [m for m in serving if m.failure_domain == domain]
        far = [m for m in serving if m.failure_domain != domain]
        chosen = self._sample(near, self._max_count)
        return chosen + self._sample(far, self._max_count - len(chosen))

    def _sample(
        self, members: list[pb.Member], max_count: int
    ) -> list[pb.Member]:
        """Return at most `max_count` members, all equally likely."""
        if len(members) <= max_count:
            return sorted(members, key=lambda member: member.name)
        return self._draws.sample(members, max_count)
