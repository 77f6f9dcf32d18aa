"""Parts of teams' limits that heads lend while a fleet starts as a whole."""

from __future__ import annotations

import itertools
import typing as ty

from peridotmast.coordination import groups as groups_
from peridotmast.coordination import members as members_
from peridotmast import green
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import quota as quota_

_ANSWER_MS = 100
"""Longest wait for a head's answer, which takes a few ms: a caller may as well
be told to come back."""


class QuotaBorrowing:
    """Asks this router's head for tokens of a team, or lends them as a head.

    A router that has just started knows only its own part of what a team may
    use. In a large fleet that is less than one request, and few of its
    routers are asked for one: the parts of a group are of use together.

    Parameters
    ----------
    members : members.Members
        This router and its peers.
    quota : quota.Quota
        The teams' limits.
    look : callable
        Returns the groups; None where there are none.
    """

    def __init__(
        self,
        members: members_.Members,
        quota: quota_.Quota,
        look: ty.Callable[[], ty.Optional[groups_.GroupSnapshot]],
    ) -> None:
        self._members = members
        self._quota = quota
        self._look = look
        self._numbers = itertools.count(1)
        self._waiting: dict[int, ty.Any] = {}
        self.send: ty.Callable[
            [pb.Beacon, ty.Sequence[members_.Peer]], None
        ] = lambda beacon, peers: None
        """Sends a beacon."""

    def acquire(self, team: str, tokens: int) -> int:
        """Let a request pass, or say how long to wait, in ms (0: passed).

        Asks the head where that is of use, and waits for its answer.
        """
        wait_ms = self._quota.take(team, tokens)
        if not wait_ms or self._quota.is_level_known(team):
            return wait_ms
        if self._borrow(team, tokens):
            self._quota.take_borrowed(team, tokens)
            return 0
        # What is left may have been told meanwhile.
        return self._quota.take(team, tokens)

    def handle_request(self, ask: pb.LimitAsk) -> None:
        """Answer a member of this router's group, if it is the head."""
        peer, look = self._members.get(ask.router), self._look()
        if peer is None or look is None or not look.is_head:
            return
        if not look.is_member(ask.router):
            return
        lent = self._lend(look, ask.team, ask.tokens)
        answer = pb.LimitAnswer(
            incarnation=ask.incarnation, number=ask.number, lent=lent
        )
        self.send(pb.Beacon(limit_answer=answer), [peer])

    def handle_answer(self, answer: pb.LimitAnswer) -> None:
        """Take in what the head says to the ask with a number."""
        waiting = self._waiting.get(answer.number)
        is_mine = answer.incarnation == self._members.me.incarnation
        if waiting is not None and is_mine and not waiting.ready():
            waiting.send(answer.lent)

    def _borrow(self, team: str, tokens: int) -> bool:
        look = self._look()
        if look is None:
            return False
        if look.is_head:
            return self._lend(look, team, tokens)
        number = next(self._numbers)
        answered = self._waiting[number] = green.Event()
        me = self._members.me
        ask = pb.LimitAsk(
            router=me.name,
            incarnation=me.incarnation,
            number=number,
            team=team,
            tokens=tokens,
        )
        self.send(pb.Beacon(limit_ask=ask), look.head_and_successor()[:1])
        lent: ty.Optional[bool] = None
        try:
            with green.Timeout(_ANSWER_MS / 1000, False):
                lent = answered.wait()
        finally:
            del self._waiting[number]
        if lent is False:
            self._quota.note_lender_empty(team)
        return bool(lent)

    def _lend(
        self, look: groups_.GroupSnapshot, team: str, tokens: int
    ) -> bool:
        return self._quota.lend(team, tokens, 1 + len(look.members()))
