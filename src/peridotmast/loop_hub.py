"""Eventlet's asyncio hub with timers that run directly on the loop."""

from __future__ import annotations

import sys
import typing as ty

from eventlet.hubs import asyncio as asyncio_hub


class LoopHub(asyncio_hub.Hub):
    """The asyncio hub without its own timer heap.

    Eventlet's hub keeps its timers in a heap and has a task that waits for
    the first of them. Each timer and each ready descriptor wakes that task,
    which then starts another wait with a task and a timer of its own. Here
    each timer is a timer of the loop, and a ready descriptor only calls its
    listener. The hub's task handles only rare events: descriptors that were
    closed while a task waited for them, and the stop of the hub.
    """

    @staticmethod
    def is_available() -> bool:
        """Return true: asyncio is available on each platform."""
        return True

    def add_timer(self, timer: ty.Any) -> float:
        """Schedule `timer` on the loop.

        Returns
        -------
        float
            Time at which `timer` is due, in seconds on the hub's clock.
        """
        if timer.seconds > 0:
            timer.handle = self.loop.call_later(
                timer.seconds, self._run_timer, timer
            )
        else:
            timer.handle = self.loop.call_soon(self._run_timer, timer)
        return ty.cast(float, self.clock() + timer.seconds)

    def timer_canceled(self, timer: ty.Any) -> None:
        """Cancel a timer on the loop."""
        timer.handle.cancel()

    def abort(self, wait: bool = False) -> None:
        """Stop the hub."""
        self.sleep_event.set()
        super().abort(wait)

    def _obsolete(self, fileno: int) -> bool:
        is_obsolete = super()._obsolete(fileno)
        if is_obsolete:
            self.sleep_event.set()
        return ty.cast(bool, is_obsolete)

    def _file_cb(self, cb: ty.Callable[[int], None], fileno: int) -> None:
        try:
            cb(fileno)
        except self.SYSTEM_EXCEPTIONS:
            raise
        except BaseException:
            # As in the base class: an error in one listener must not stop
            # the other listeners.
            self.squelch_exception(fileno, sys.exc_info())

    def _run_timer(self, timer: ty.Any) -> None:
        try:
            timer()
        except self.SYSTEM_EXCEPTIONS:
            raise
        except BaseException:
            # An error in one timer must not stop the other timers.
            self.squelch_timer_exception(timer, sys.exc_info())
