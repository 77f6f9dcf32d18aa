"""Clocks in milliseconds, which all time-dependent decisions use."""

from __future__ import annotations

import time
import typing as ty

Millis = ty.NewType('Millis', int)
"""A point in time or a duration, in whole milliseconds."""


class Clock(ty.Protocol):
    """Source of time; decisions read no other source, so tests can set it."""

    def now(self) -> Millis:
        """Return monotonic time, which is never adjusted, in ms."""

    def boot_time(self) -> Millis:
        """Return monotonic time including suspension of the VM, in ms."""

    def wall_time(self) -> Millis:
        """Return the time of day in ms since 1970, which may be adjusted."""


class SystemClock:
    """The clocks of the operating system."""

    def now(self) -> Millis:
        """Return monotonic time in ms."""
        return Millis(time.monotonic_ns() // 1_000_000)

    def boot_time(self) -> Millis:
        """Return time since the VM's boot including suspension, in ms."""
        return Millis(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000)

    def wall_time(self) -> Millis:
        """Return ms since 1970."""
        return Millis(time.time_ns() // 1_000_000)


class StallTolerantClock:
    """A clock that excludes times in which its process did not run.

    A process that was stalled, by a busy or paused machine, has not read the
    messages that arrived meanwhile. This clock advances little during a
    stall, so that the process reads these messages before it considers
    their senders silent.

    Parameters
    ----------
    clock : Clock
        Clock of the operating system.
    max_gap_ms : int
        Maximum time between two readings while the process runs. Anything
        longer counts as a stall.
    """

    def __init__(self, clock: Clock, max_gap_ms: int) -> None:
        self._clock = clock
        self._max_gap_ms = max_gap_ms
        self._last_read_at = clock.now()
        self._excluded_ms = 0

    def now(self) -> Millis:
        """Return monotonic time minus the time of all stalls, in ms."""
        now = self._clock.now()
        elapsed = now - self._last_read_at
        self._excluded_ms += max(0, elapsed - self._max_gap_ms)
        self._last_read_at = now
        return Millis(now - self._excluded_ms)

    def boot_time(self) -> Millis:
        """Return time since the VM's boot, including stalls, in ms."""
        return self._clock.boot_time()

    def wall_time(self) -> Millis:
        """Return ms since 1970."""
        return self._clock.wall_time()


class ManualClock:
    """A clock that only a test advances.

    Parameters
    ----------
    start : int
        Initial value of all three times, in ms.
    """

    def __init__(self, start: int = 1_000_000) -> None:
        self._now = start

    def now(self) -> Millis:
        """Return the time that was set, in ms."""
        return Millis(self._now)

    def boot_time(self) -> Millis:
        """Return the time that was set, in ms."""
        return Millis(self._now)

    def wall_time(self) -> Millis:
        """Return the time that was set, in ms."""
        return Millis(self._now)

    def advance(self, ms: int) -> None:
        """Advance the clock by `ms` milliseconds."""
        self._now += ms
