"""Team quota that the heads of groups lend to the members."""

from __future__ import annotations

import collections
import itertools
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import groups as groups_
from peridotmast.coordination import members as members_
from peridotmast import green
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import quota as quota_

_CONFIRMATION_TIMEOUT_MS = 50
"""Maximum wait for the confirmations of peers, which take a few ms."""

_ANSWER_TIMEOUT_MS = 100
"""Maximum wait for the answer of a group head, which takes a few ms. A longer
wait is of no use: the caller can be told to retry instead."""

_REPEAT_MS = 30
"""Time after which a question is sent again, as a datagram may be lost."""

_SHORT_WAIT_MS = 50
"""Longest wait named by the head for which a request is kept, in ms."""

_UNCONFIRMED_WAIT_MS = 25
"""Wait that a head names while other heads do not know what it admitted, in
ms: its report and their confirmations take a few ms."""

_SILENT_HEAD_MS = 500
"""Time for which a head that did not answer is not asked again: one round."""

_LOST_HEAD_MS = 800
"""Silence of a head after which its successor decides in its place: a round
takes 500 ms. A head that is only slow must not be joined by a second router
that uses the part of the group."""

_MAX_LATE = 64
"""Number of unanswered questions whose late answers are still accepted."""

_MAX_ANSWERS = 256
"""Number of answers that a head keeps for repeated questions."""


class _Question(ty.NamedTuple):
    """A request for tokens that a head has not answered in time."""

    team: str
    tokens: int


class QuotaBorrowing:
    """Borrows team tokens from this router's group head, or lends them.

    In a fleet with groups the heads share the limits of the teams, as all
    routers do in a small one, and a member asks its head for the tokens of
    each request. The tokens that a head lends count as its own spending, so
    that the other heads know of them by its reports.

    A member whose head does not answer asks the successor of the head, which
    then decides in its place: the other heads wait for the part of the group
    until its head counts as silent. Without any answer a member admits one
    request, and the next one when the head has confirmed its report. An answer
    that arrives too late returns its tokens.

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
        Waits for a confirmation of a peer, for at most some ms; returns
        whether one arrived.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        members: members_.Members,
        quota: quota_.Quota,
        current_groups: ty.Callable[[], ty.Optional[groups_.GroupSnapshot]],
        wait_confirmation: ty.Callable[[int], bool],
    ) -> None:
        self._clock = clock
        self._members = members
        self._quota = quota
        self._current_groups = current_groups
        self.wait_confirmation = wait_confirmation
        """Waits for a confirmation of a peer; returns whether one came."""
        self.wait_answer = _wait_answer
        """Waits for an event with an answer, for at most some ms; returns
        None without one."""
        self.pause: ty.Callable[[int], None] = green.sleep_ms
        """Lets some ms pass."""
        self._numbers = itertools.count(1)
        self._pending: dict[int, green.Event] = {}
        self._late: collections.OrderedDict[int, _Question] = (
            collections.OrderedDict()
        )
        self._answers: collections.OrderedDict[
            tuple[str, int, int], pb.LimitAnswer
        ] = collections.OrderedDict()
        self._silent_until = 0
        self.send: ty.Callable[
            [pb.Beacon, ty.Sequence[members_.Peer]], None
        ] = lambda beacon, peers: None
        """Sends a beacon to some peers."""
        self.count_answer: ty.Callable[[str], None] = lambda outcome: None
        """Counts the outcome of a question to the head: lent, refused or
        unanswered."""
        self._log = logs.get('quota', router=members.me.name)

    def acquire(self, team: str, tokens: int) -> int:
        """Take tokens for a request; return the wait in ms, 0 if admitted."""
        if self._quota.needs_head(team):
            return self._acquire_from_head(team, tokens)
        wait_ms = self._quota.take(team, tokens)
        if not wait_ms:
            return 0
        if self._quota.is_level_known(team):
            return self._take_confirmed(team, tokens, wait_ms)
        answer = self._borrow(team, tokens)
        if answer is not None and answer.lent:
            self._count_borrowed(answer, team, tokens)
            return 0
        if answer is not None and not answer.counted:
            self._quota.note_lending_exhausted(team)
        # The remaining limit may have been received in the meantime.
        return self._quota.take(team, tokens)

    def handle_request(self, ask: pb.LimitAsk) -> None:
        """Answer a member's request for tokens, if this router decides."""
        peer, groups = self._members.get(ask.router), self._current_groups()
        if peer is None or groups is None:
            return
        if not groups.is_member(ask.router):
            return
        if not (groups.is_head or ask.head_silent and self._stands_in(groups)):
            return
        key = ask.router, ask.incarnation, ask.number
        answer = self._answers.get(key)
        if answer is None:
            answer = self._decide(groups, ask.team, ask.tokens)
            answer.incarnation, answer.number = ask.incarnation, ask.number
            self._answers[key] = answer
            if len(self._answers) > _MAX_ANSWERS:
                self._answers.popitem(last=False)
        self.send(pb.Beacon(limit_answer=answer), [peer])

    def handle_answer(self, answer: pb.LimitAnswer) -> None:
        """Pass the head's answer on to the request that waits for it."""
        if answer.incarnation != self._members.me.incarnation:
            return
        pending = self._pending.get(answer.number)
        if pending is not None:
            if not pending.ready():
                pending.send(answer)
            return
        question = self._late.pop(answer.number, None)
        if question is not None and answer.lent and answer.counted:
            self._quota.refund(question.team, question.tokens)

    def _acquire_from_head(self, team: str, tokens: int) -> int:
        """Take tokens as the head of this router's group decides."""
        wait_ms = self._quota.refill_ms(team, tokens)
        if wait_ms:
            return wait_ms
        answer = self._borrow(team, tokens)
        if answer and not answer.lent and answer.wait_ms <= _SHORT_WAIT_MS:
            self.pause(answer.wait_ms)
            answer = self._borrow(team, tokens)
        if answer is None:
            return self._quota.take(team, tokens)
        if answer.lent:
            self._count_borrowed(answer, team, tokens)
            return 0
        return max(answer.wait_ms, quota_.UNCONFIRMED_RETRY_MS)

    def _count_borrowed(
        self, answer: pb.LimitAnswer, team: str, tokens: int
    ) -> None:
        if not answer.counted:
            self._quota.take_borrowed(team, tokens)

    def _take_confirmed(self, team: str, tokens: int, wait_ms: int) -> int:
        """Take tokens once peers know what was admitted here before."""
        deadline = self._clock.now() + _CONFIRMATION_TIMEOUT_MS
        while wait_ms and self._quota.lacks_confirmation(team, tokens):
            left_ms = deadline - self._clock.now()
            if left_ms <= 0 or not self.wait_confirmation(left_ms):
                break
            wait_ms = self._quota.take(team, tokens)
        return wait_ms

    def _borrow(self, team: str, tokens: int) -> ty.Optional[pb.LimitAnswer]:
        """Return the decision of the group's head; None without an answer."""
        groups = self._current_groups()
        if groups is None:
            return None
        if groups.is_head:
            return self._decide(groups, team, tokens)
        answer = None
        if self._clock.now() >= self._silent_until:
            answer = self._ask(groups.head_and_successor()[:1], team, tokens)
            if answer is None:
                self._silent_until = self._clock.now() + _SILENT_HEAD_MS
        if answer is None and self._stands_in(groups):
            return self._decide(groups, team, tokens)
        if answer is None and not groups.is_successor:
            successor = groups.head_and_successor()[1:2]
            answer = self._ask(successor, team, tokens, head_silent=True)
        return answer

    def _stands_in(self, groups: groups_.GroupSnapshot) -> bool:
        """Return whether this router decides in place of a lost head."""
        if not groups.is_successor:
            return False
        limit = self._clock.now() - _LOST_HEAD_MS
        heads = groups.head_and_successor()[:1]
        return all(head.last_beacon_at < limit for head in heads)

    def _ask(
        self,
        peers: ty.Sequence[members_.Peer],
        team: str,
        tokens: int,
        head_silent: bool = False,
    ) -> ty.Optional[pb.LimitAnswer]:
        """Ask a router for tokens; return None without an answer.

        Parameters
        ----------
        peers : sequence of members.Peer
            The router to ask; empty if there is none.
        head_silent : bool
            Whether the head of the group did not answer.
        """
        if not peers:
            return None
        number = next(self._numbers)
        answered = self._pending[number] = green.Event()
        me = self._members.me
        ask = pb.LimitAsk(
            router=me.name,
            incarnation=me.incarnation,
            number=number,
            team=team,
            tokens=tokens,
            head_silent=head_silent,
        )
        answer: ty.Optional[pb.LimitAnswer] = None
        try:
            for wait_ms in (_REPEAT_MS, _ANSWER_TIMEOUT_MS - _REPEAT_MS):
                self.send(pb.Beacon(limit_ask=ask), peers)
                answer = self.wait_answer(answered, wait_ms)
                if answer is not None:
                    break
        finally:
            del self._pending[number]
            if answer is None:
                self._note_unanswered(number, team, tokens, peers)
        if answer is not None:
            self.count_answer('lent' if answer.lent else 'refused')
        return answer

    def _note_unanswered(
        self,
        number: int,
        team: str,
        tokens: int,
        peers: ty.Sequence[members_.Peer],
    ) -> None:
        self.count_answer('unanswered')
        self._log.info(
            'head_unanswered',
            team=team,
            tokens=tokens,
            head=peers[0].member.name,
        )
        self._late[number] = _Question(team, tokens)
        if len(self._late) > _MAX_LATE:
            self._late.popitem(last=False)

    def _decide(
        self, groups: groups_.GroupSnapshot, team: str, tokens: int
    ) -> pb.LimitAnswer:
        """Return the answer of this router to a request of its group."""
        members = 1 + len(groups.members())
        stands_in = not groups.is_head
        loan = self._quota.lend(team, tokens, members, stands_in)
        wait_ms = loan.wait_ms
        if wait_ms and self._quota.lacks_confirmation(team, tokens):
            wait_ms = _UNCONFIRMED_WAIT_MS
        return pb.LimitAnswer(
            lent=not wait_ms, counted=loan.is_counted, wait_ms=wait_ms
        )


def _wait_answer(
    answered: green.Event, ms: int
) -> ty.Optional[pb.LimitAnswer]:
    with green.Timeout(ms / 1000, False):
        answer: pb.LimitAnswer = answered.wait()
        return answer
    return None
