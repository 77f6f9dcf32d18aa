"""Which routers a caller is told to connect to."""

from __future__ import annotations

import random
import typing as ty

from peridotmast.coordination import members as members_
from peridotmast.schema import peridotmast_pb2 as pb


class RouterSelector:
    """Names routers of a caller's failure domain, and some of the others.

    Those beyond the failure domain are there for its loss. They are drawn
    anew for each answer: in one order for all, the first ones would have the
    callers of all other failure domains beside their own.

    Parameters
    ----------
    members : members.Members
        The routers.
    most : int
        Most routers in one answer.
    """

    def __init__(self, members: members_.Members, most: int) -> None:
        self._members = members
        self._most = most
        self._draws = random.Random(members.me.name)

    def select(
        self,
        domain: str,
        is_usable: ty.Callable[[pb.Member], bool] = lambda member: True,
    ) -> list[pb.Member]:
        """Return whom to name, those of failure domain `domain` first.

        Parameters
        ----------
        is_usable : callable
            Says whether a router serves what the caller wants.
        """
        serving = [m for m in self._members.serving() if is_usable(m)]
        near = [m for m in serving if m.failure_domain == domain]
        far = [m for m in serving if m.failure_domain != domain]
        chosen = self._drawn(near, self._most)
        return chosen + self._drawn(far, self._most - len(chosen))

    def _drawn(self, members: list[pb.Member], most: int) -> list[pb.Member]:
        """Return at most so many, each as likely as the others."""
        if len(members) <= most:
            return sorted(members, key=lambda member: member.name)
        return self._draws.sample(members, most)
