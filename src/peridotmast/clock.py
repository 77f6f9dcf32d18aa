"""The millisecond clock that decisions are taken by."""

from __future__ import annotations

import time
import typing as ty

Millis = ty.NewType('Millis', int)
"""A moment or a length of time in whole milliseconds."""


class Clock(ty.Protocol):
    """Tells the time; a decision asks this and nothing else."""

    def now(self) -> Millis:
        """Return monotonic time, which never steps, in ms."""

    def boot(self) -> Millis:
        """Return monotonic time that counts suspension too, in ms."""

    def wall(self) -> Millis:
        """Return ms since 1970, which may step."""


class SystemClock:
    """The clock of the machine."""

    def now(self) -> Millis:
        """Return monotonic time in ms."""
        return Millis(time.monotonic_ns() // 1_000_000)

    def boot(self) -> Millis:
        """Return time since the VM's start, suspension counted, in ms."""
        return Millis(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000)

    def wall(self) -> Millis:
        """Return ms since 1970."""
        return Millis(time.time_ns() // 1_000_000)


class StallTolerantClock:
    """A clock that leaves out what its process stood still for.

    A process that did not run for a while (a busy or paused machine) has
    not read what came meanwhile. By this clock that while is short, so what
    others sent is read before they count as silent.

    Parameters
    ----------
    clock : Clock
        The clock of the machine.
    longest_ms : int
        Longest time between two readings while the process runs. More than
        that was stood still.
    """

    def __init__(self, clock: Clock, longest_ms: int) -> None:
        self._clock = clock
        self._longest_ms = longest_ms
        self._read_at = clock.now()
        self._left_out = 0

    def now(self) -> Millis:
        """Return monotonic time less what was stood still for, in ms."""
        now = self._clock.now()
        passed = now - self._read_at
        self._left_out += max(0, passed - self._longest_ms)
        self._read_at = now
        return Millis(now - self._left_out)

    def boot(self) -> Millis:
        """Return time since the VM's start, nothing left out, in ms."""
        return self._clock.boot()

    def wall(self) -> Millis:
        """Return ms since 1970."""
        return self._clock.wall()


class ManualClock:
    """A clock that stands until a test moves it.

    Parameters
    ----------
    start : int
        First reading of both scales, in ms.
    """

    def __init__(self, start: int = 1_000_000) -> None:
        self._now = start

    def now(self) -> Millis:
        """Return the time that was set, in ms."""
        return Millis(self._now)

    def boot(self) -> Millis:
        """Return the time that was set, in ms."""
        return Millis(self._now)

    def wall(self) -> Millis:
        """Return the time that was set, in ms."""
        return Millis(self._now)

    def advance(self, ms: int) -> None:
        """Move the clock on by `ms` milliseconds."""
        self._now += ms
