"""Team quota that group heads lend while a whole fleet starts."""

from __future__ import annotations

import itertools
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import groups as groups_
from peridotmast.coordination import members as members_
from peridotmast import green
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import quota as quota_

_CONFIRMATION_TIMEOUT_MS = 50
"""Maximum wait for the confirmations of peers, which take a few ms."""

_ANSWER_TIMEOUT_MS = 100
"""Maximum wait for the answer of a group head, which takes a few ms. A longer
wait is of no use: the caller can be told to retry instead."""


class QuotaBorrowing:
    """Borrows team tokens from this router's group head, or lends them.

    A router that has just started knows only its own share of a team's limit.
    In a large fleet this share is smaller than one request, and few routers
    get a request of that team. Requests can therefore only be admitted from
    the pooled shares of a group, which its head lends.

    In a small fleet, a burst may have to wait until the peers know of its
    first requests.

    Parameters
    ----------
    clock : clock.Clock
        Times the waits.
    members : members.Members
        This router and its peers.
    quota : quota.Quota
        The teams' limits.
    current_groups : callable
        Returns the groups; None if the fleet has none.
    wait_confirmation : callable
        Waits for a confirmation of a peer, for at most some ms.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        members: members_.Members,
        quota: quota_.Quota,
        current_groups: ty.Callable[[], ty.Optional[groups_.GroupSnapshot]],
        wait_confirmation: ty.Callable[[int], None],
    ) -> None:
        self._clock = clock
        self._members = members
        self._quota = quota
        self._current_groups = current_groups
        self.wait_confirmation = wait_confirmation
        """Waits for a confirmation of a peer, for at most some ms."""
        self._numbers = itertools.count(1)
        self._pending: dict[int, ty.Any] = {}
        self.send: ty.Callable[
            [pb.Beacon, ty.Sequence[members_.Peer]], None
        ] = lambda beacon, peers: None
        """Sends a beacon to some peers."""

    def acquire(self, team: str, tokens: int) -> int:
        """Take tokens for a request; return the wait in ms, 0 if admitted.

        If the remaining limit is unknown here, asks the group's head for the
        tokens and waits for the answer.
        """
        wait_ms = self._quota.take(team, tokens)
        if not wait_ms:
            return 0
        if self._quota.is_level_known(team):
            return self._take_confirmed(team, tokens, wait_ms)
        if self._borrow(team, tokens):
            self._quota.take_borrowed(team, tokens)
            return 0
        # The remaining limit may have been received in the meantime.
        return self._quota.take(team, tokens)

    def handle_request(self, ask: pb.LimitAsk) -> None:
        """Answer a group member's request for tokens, if this is its head."""
        peer, groups = self._members.get(ask.router), self._current_groups()
        if peer is None or groups is None or not groups.is_head:
            return
        if not groups.is_member(ask.router):
            return
        lent = self._lend(groups, ask.team, ask.tokens)
        answer = pb.LimitAnswer(
            incarnation=ask.incarnation, number=ask.number, lent=lent
        )
        self.send(pb.Beacon(limit_answer=answer), [peer])

    def handle_answer(self, answer: pb.LimitAnswer) -> None:
        """Pass the head's answer on to the request that waits for it."""
        pending = self._pending.get(answer.number)
        is_mine = answer.incarnation == self._members.me.incarnation
        if pending is not None and is_mine and not pending.ready():
            pending.send(answer.lent)

    def _take_confirmed(self, team: str, tokens: int, wait_ms: int) -> int:
        """Take tokens once peers know what was admitted here before."""
        deadline = self._clock.now() + _CONFIRMATION_TIMEOUT_MS
        while wait_ms and self._quota.lacks_confirmation(team, tokens):
            left_ms = deadline - self._clock.now()
            if left_ms <= 0:
                break
            self.wait_confirmation(left_ms)
            wait_ms = self._quota.take(team, tokens)
        return wait_ms

    def _borrow(self, team: str, tokens: int) -> bool:
        groups = self._current_groups()
        if groups is None:
            return False
        if groups.is_head:
            return self._lend(groups, team, tokens)
        number = next(self._numbers)
        answered = self._pending[number] = green.Event()
        me = self._members.me
        ask = pb.LimitAsk(
            router=me.name,
            incarnation=me.incarnation,
            number=number,
            team=team,
            tokens=tokens,
        )
        self.send(pb.Beacon(limit_ask=ask), groups.head_and_successor()[:1])
        lent: ty.Optional[bool] = None
        try:
            with green.Timeout(_ANSWER_TIMEOUT_MS / 1000, False):
                lent = answered.wait()
        finally:
            del self._pending[number]
        if lent is False:
            self._quota.note_lending_exhausted(team)
        return bool(lent)

    def _lend(
        self, groups: groups_.GroupSnapshot, team: str, tokens: int
    ) -> bool:
        return self._quota.lend(team, tokens, 1 + len(groups.members()))
