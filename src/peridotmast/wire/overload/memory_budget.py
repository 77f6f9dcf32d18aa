"""Memory of all requests that a process reads, runs or answers."""

from __future__ import annotations

import enum
import sys
import typing as ty

from peridotmast import clock as clock_
from peridotmast import green
from peridotmast.wire.overload import answer_queue
from peridotmast.wire.overload import events as events_
from peridotmast.wire.overload import read_progress

RETRY_MS = 1000
"""Retry time for requests that are refused for lack of memory, in ms."""

_LARGE_BYTES = 32768
_LARGE_SHARE = 0.8
"""Requests of more bytes get only this share of the budget. The rest stays
for the small ones, which are most requests."""

_LOW_SHARE = 0.9
"""Share of a limit down to which memory is freed at once, so that not each
further request has to free some."""


class OverloadedError(Exception):
    """Raised for a request for which there is no memory."""


class Phase(enum.Enum):
    """What a process does with a request."""

    HEAD = 'head'
    """Its head is read. Size and time of a head are limited."""
    BODY = 'body'
    """Its body is read: it may be refused as not run."""
    RUNNING = 'running'
    """It may run at an upstream, and is kept to its end."""
    ANSWER = 'answer'
    """Its whole answer is sent."""
    STREAM = 'stream'
    """Its answer is sent as it arrives."""


class MemoryAccount:
    """Memory that one request holds.

    Parameters
    ----------
    budget : MemoryBudget
        Budget of the process.
    now : int
        Time at which the request began, in ms.
    """

    def __init__(self, budget: MemoryBudget, now: int) -> None:
        self._budget = budget
        self.held_bytes = 0
        """Bytes counted for this request."""
        self.began_at = now
        """Time at which the request began, in ms."""
        self.progressed_at: ty.Optional[int] = None
        """Time at which the sending of a part of its answer began, in ms; None
        while there is nothing to send."""
        self.phase = Phase.HEAD
        self.body = bytearray()
        """The part of the body that has been read."""
        self.is_evicted = False
        """Whether the memory was taken away from this request."""
        self.eviction = green.Interrupt()
        """Ends the wait for more of the body on an eviction."""
        self.abort: ty.Callable[[], None] = lambda: None
        """Breaks the answer off."""

    def charge(self, size: int) -> None:
        """Count `size` more bytes.

        Raises
        ------
        OverloadedError
            If there is no room, or the request was evicted.
        """
        if not self.try_charge(size):
            raise OverloadedError

    def try_charge(self, size: int) -> bool:
        """Count `size` more bytes, and return whether there is room."""
        if self.is_evicted or not self._budget.make_room(self, size):
            return False
        self._budget.add(self, size)
        return True

    def discharge(self, size: int) -> None:
        """Take `size` bytes out of the count, unless it has lost them."""
        self._budget.add(self, -min(size, self.held_bytes))

    def reserve_answer(self, size: int, deadline: int) -> bool:
        """Count bytes of an answer before they are read; wait for room.

        Parameters
        ----------
        size : int
            Number of further bytes.
        deadline : int
            Time until which to wait, in ms.

        Returns
        -------
        bool
            Whether there is room.
        """
        return self._budget.answers.reserve(self, size, deadline)

    def begin_answer(self, size: int) -> None:
        """Count a whole answer in place of its request, which is released.

        It is kept also if there is no room for it.
        """
        self.phase = Phase.ANSWER
        self.begin_send()
        self._budget.release(self)
        self._budget.make_room(self, size)
        self._budget.add(self, size)

    def begin_stream(self) -> None:
        """Record that the answer is sent as it arrives."""
        self.phase = Phase.STREAM

    def begin_send(self) -> None:
        """Record that the sending of a part of the answer begins."""
        self.progressed_at = self._budget.now()

    def end_send(self) -> None:
        """Record that all parts so far were sent."""
        self.progressed_at = None

    @property
    def is_answering(self) -> bool:
        """Whether an answer is sent."""
        return self.phase in (Phase.ANSWER, Phase.STREAM)

    def is_stalled(self, now: int) -> bool:
        """Return whether the caller has not read its answer for a while."""
        return (
            self.is_answering
            and self.progressed_at is not None
            and now - self.progressed_at >= read_progress.STALLED_MS
        )

    def evict(self) -> None:
        """Discard the body, or break the answer off, for other requests."""
        self.is_evicted = True
        if self.phase is Phase.BODY:
            self.body.clear()
            self.eviction.fire()
        else:
            self.abort()
        self._budget.release(self)

    def close(self) -> None:
        """Release the memory at the end of the request."""
        self.body.clear()
        self._budget.close(self)


class MemoryBudget:
    """Limits the memory of all requests together.

    While there is room, each request may use what its own limits allow. When
    there is none, memory is taken from those that hold the most for the
    longest time without being whole, and from answers that are not read.
    Requests that may run keep theirs. One that finds no room is refused, and
    its answer is read from the upstream only once there is room for it.

    Parameters
    ----------
    clock : clock.Clock
        Times requests.
    events : events.OverloadEvents
        Counts refusals and evictions.
    max_bytes : int, optional
        Memory of all requests; unlimited by default.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        events: events_.OverloadEvents,
        max_bytes: int = sys.maxsize,
    ) -> None:
        self._events = events
        self.now = clock.now
        """Returns the time in ms."""
        self.max_bytes = max_bytes
        """Memory of all requests, in bytes."""
        self.used_bytes = 0
        """Memory that is in use, in bytes."""
        self._accounts: dict[MemoryAccount, None] = {}
        self.answers = answer_queue.AnswerQueue(self)
        """Answers that wait for memory."""

    def open(self) -> MemoryAccount:
        """Return the account of a request that begins."""
        account = MemoryAccount(self, self.now())
        self._accounts[account] = None
        return account

    def is_small(self, account: MemoryAccount, size: int) -> bool:
        """Return whether a request with `size` more bytes is a small one."""
        return account.held_bytes + size <= _LARGE_BYTES

    def make_room(self, account: MemoryAccount, size: int) -> bool:
        """Return whether there is room, after taking it from others."""
        share = 1.0 if self.is_small(account, size) else _LARGE_SHARE
        limit = share * self.max_bytes
        if self.used_bytes + size <= limit:
            return True
        self._evict_until(_LOW_SHARE * limit - size, account)
        if self.used_bytes + size <= limit:
            return True
        # What the limits of a request allow is served where it is alone.
        is_alone = self.used_bytes == account.held_bytes
        if not is_alone and account.phase in (Phase.HEAD, Phase.BODY):
            self._events.note(events_.OverloadEvent.REFUSED_MEMORY)
        return is_alone

    def may_be_freed(self, account: MemoryAccount) -> bool:
        """Return whether other requests will free memory by themselves.

        Those whose answers wait for memory do not, and small ones free too
        little.
        """
        return any(
            other.held_bytes > _LARGE_BYTES
            and other is not account
            and other.phase not in (Phase.HEAD, Phase.BODY)
            and not self.answers.has(other)
            for other in self._accounts
        )

    def add(self, account: MemoryAccount, size: int) -> None:
        """Count memory of a request."""
        account.held_bytes += size
        self.used_bytes += size

    def release(self, account: MemoryAccount) -> None:
        """Take the memory of a request out of the count."""
        self.used_bytes -= account.held_bytes
        account.held_bytes = 0

    def close(self, account: MemoryAccount) -> None:
        """Forget a request that has ended."""
        self.release(account)
        self._accounts.pop(account, None)

    def _evict_until(self, used_bytes: float, spared: MemoryAccount) -> None:
        """Evict until no more than `used_bytes` are in use.

        Bodies that weigh less than the body that needs the memory keep
        theirs. An answer goes before any body.
        """
        now = self.now()
        found = [
            account
            for account in self._accounts
            if account is not spared and self._is_evictable(account, now)
        ]
        found.sort(key=lambda account: _weight(account, now), reverse=True)
        is_read = spared.phase in (Phase.HEAD, Phase.BODY)
        own_weight = _weight(spared, now) if is_read else 0
        for account in found:
            if self.used_bytes <= used_bytes:
                return
            is_body = account.phase is Phase.BODY
            if is_body and _weight(account, now) < own_weight:
                continue
            self._events.note(
                events_.OverloadEvent.EVICTED_BODY
                if is_body
                else events_.OverloadEvent.ABORTED_ANSWER
            )
            account.evict()

    def _is_evictable(self, account: MemoryAccount, now: int) -> bool:
        if account.is_evicted:
            return False
        if account.phase is Phase.BODY:
            return account.held_bytes > 0
        return account.is_stalled(now)


def _weight(account: MemoryAccount, now: int) -> int:
    """Return memory multiplied by the time for which it has been held."""
    return account.held_bytes * (now - account.began_at + 1)
