"""Order in which answers that wait for memory are read from upstreams."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast import green

_Account = ty.TypeVar('_Account', bound=ty.Hashable)
_Account_contra = ty.TypeVar('_Account_contra', contravariant=True)

_POLL_MS = 50
"""Time after which the first answer in the queue looks for room again: answers
that are not read may be broken off as time passes."""


class Budget(ty.Protocol[_Account_contra]):
    """Memory of all requests, each of which has an account."""

    def now(self) -> int:
        """Return the time, in ms."""

    def is_small(self, account: _Account_contra, size: int) -> bool:
        """Return whether a request is small with `size` more bytes."""

    def make_room(self, account: _Account_contra, size: int) -> bool:
        """Free memory if necessary; return whether there is room."""

    def may_be_freed(self, account: _Account_contra) -> bool:
        """Return whether others may free memory."""

    def add(self, account: _Account_contra, size: int) -> None:
        """Count `size` more bytes for a request."""


class AnswerQueue(ty.Generic[_Account]):
    """Lets answers that find no memory wait, and proceed one after the other.

    An answer that is not read yet stays in the buffers of its upstream. The
    first one in the queue proceeds without room if all memory is held by
    requests that wait here, since none of them could go on otherwise.

    Parameters
    ----------
    budget : Budget
        Memory of all requests.
    """

    def __init__(self, budget: Budget[_Account]) -> None:
        self._budget = budget
        self._waiting: collections.OrderedDict[_Account, green.Event] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._waiting)

    def has(self, account: _Account) -> bool:
        """Return whether the answer of a request waits."""
        return account in self._waiting

    def reserve(
        self,
        account: _Account,
        size: int,
        deadline: int,
    ) -> bool:
        """Count memory for an answer; wait until `deadline` for room.

        A small answer that finds room does not wait for the larger ones
        before it.
        """
        may_pass = not self._waiting or self._budget.is_small(account, size)
        if may_pass and self._budget.make_room(account, size):
            self._budget.add(account, size)
            return True
        turn = self._waiting[account] = green.Event()
        try:
            if not self._wait_for_turn(account, turn, deadline):
                return False
            return self._wait_for_room(account, size, deadline)
        finally:
            del self._waiting[account]
            self._wake_first()

    def _wait_for_turn(
        self,
        account: _Account,
        turn: green.Event,
        deadline: int,
    ) -> bool:
        """Wait until no other answer is before this one."""
        if next(iter(self._waiting)) is account:
            return True
        left_ms = deadline - self._budget.now()
        with green.Timeout(max(0, left_ms) / 1000, False):
            turn.wait()
            return True
        return False

    def _wait_for_room(
        self,
        account: _Account,
        size: int,
        deadline: int,
    ) -> bool:
        while self._budget.now() < deadline:
            has_room = self._budget.make_room(account, size)
            if has_room or not self._budget.may_be_freed(account):
                self._budget.add(account, size)
                return True
            green.sleep_ms(_POLL_MS)
        return False

    def _wake_first(self) -> None:
        first = next(iter(self._waiting.values()), None)
        if first is not None and not first.ready():
            first.send()
