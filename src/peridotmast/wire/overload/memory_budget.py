"""Memory of all requests that a process reads, runs or answers."""

from __future__ import annotations

import enum
import sys
import typing as ty

from peridotmast import clock as clock_
from peridotmast import green
from peridotmast.wire.overload import events as events_

RETRY_MS = 1000
"""Retry time for requests that are refused for lack of memory, in ms."""

_LARGE_BYTES = 32768
_LARGE_SHARE = 0.8
"""Requests of more bytes get only this share of the budget. The rest stays
for the small ones, which are most requests."""

_LOW_SHARE = 0.9
"""Share of a limit down to which memory is freed at once, so that not each
further request has to free some."""

_STALLED_MS = 1000
"""Time without progress after which an answer may be broken off."""


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
    """Its answer is sent."""


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
        self.progressed_at = now
        """Time at which the last part of its answer was sent, in ms."""
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
        if self.is_evicted or not self._budget.make_room(self, size):
            raise OverloadedError
        self._budget.add(self, size)

    def begin_answer(self, size: int) -> None:
        """Count a whole answer in place of its request, which is released.

        It is kept also if there is no room for it.
        """
        self.phase = Phase.ANSWER
        self.note_progress()
        self._budget.release(self)
        self._budget.make_room(self, size)
        self._budget.add(self, size)

    def note_progress(self) -> None:
        """Record that a part of the answer was sent."""
        self.progressed_at = self._budget.now()

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
    Requests that may run keep theirs. One that finds no room is refused.

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

    def open(self) -> MemoryAccount:
        """Return the account of a request that begins."""
        account = MemoryAccount(self, self.now())
        self._accounts[account] = None
        return account

    def make_room(self, account: MemoryAccount, size: int) -> bool:
        """Return whether there is room, after taking it from others."""
        needed = account.held_bytes + size
        share = _LARGE_SHARE if needed > _LARGE_BYTES else 1.0
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

        Bodies that weigh less than the request that needs the memory keep
        theirs.
        """
        now = self.now()
        found = [
            account
            for account in self._accounts
            if account is not spared and self._is_evictable(account, now)
        ]
        found.sort(key=lambda account: _weight(account, now), reverse=True)
        own_weight = _weight(spared, now)
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
        if account.phase is Phase.ANSWER:
            return now - account.progressed_at >= _STALLED_MS
        return account.phase is Phase.BODY and account.held_bytes > 0


def _weight(account: MemoryAccount, now: int) -> int:
    """Return memory multiplied by the time for which it has been held."""
    return account.held_bytes * (now - account.began_at + 1)
