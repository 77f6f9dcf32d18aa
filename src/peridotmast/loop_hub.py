"""Eventlet's hub with its timers on the loop itself."""

from __future__ import annotations

import sys
import typing as ty

from eventlet.hubs import asyncio as asyncio_hub


class LoopHub(asyncio_hub.Hub):
    """The asyncio hub, without a second wait around the loop's own.

    Eventlet's keeps a heap of its timers and a task that waits for the first
    of them. Each timer, and each descriptor that is ready, wakes that task,
    which makes a wait with a task and a timer of its own. Here each timer is
    one of the loop's, and a ready descriptor calls whoever waits for it and
    nobody else. The task is left with what is rare: descriptors that were
    closed under a waiting task, and the hub's end.
    """

    @staticmethod
    def is_available() -> bool:
        """Return true: each platform has asyncio."""
        return True

    def add_timer(self, timer: ty.Any) -> float:
        """Let the loop call `timer`; return when, on the hub's clock."""
        if timer.seconds > 0:
            timer.handle = self.loop.call_later(
                timer.seconds, self._fire, timer
            )
        else:
            timer.handle = self.loop.call_soon(self._fire, timer)
        return ty.cast(float, self.clock() + timer.seconds)

    def timer_canceled(self, timer: ty.Any) -> None:
        """Take a timer off the loop."""
        timer.handle.cancel()

    def abort(self, wait: bool = False) -> None:
        """End the hub."""
        self.sleep_event.set()
        super().abort(wait)

    def _obsolete(self, fileno: int) -> bool:
        found = super()._obsolete(fileno)
        if found:
            self.sleep_event.set()
        return ty.cast(bool, found)

    def _file_cb(self, cb: ty.Callable[[int], None], fileno: int) -> None:
        try:
            cb(fileno)
        except self.SYSTEM_EXCEPTIONS:
            raise
        except BaseException:
            # As the hub's own does: one that fails ends no other.
            self.squelch_exception(fileno, sys.exc_info())

    def _fire(self, timer: ty.Any) -> None:
        try:
            timer()
        except self.SYSTEM_EXCEPTIONS:
            raise
        except BaseException:
            # As above: it ends no other.
            self.squelch_timer_exception(timer, sys.exc_info())
