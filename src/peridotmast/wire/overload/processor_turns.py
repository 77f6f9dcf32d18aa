"""Turns in which requests are read whose bytes never run out."""

from __future__ import annotations

import collections

from peridotmast import green

_TURN_UNITS = 512
"""Work of one turn, in units: one line or one read each. A turn takes about a
millisecond."""


class ProcessorTurns:
    """Gives one reader at a time a turn in each round of the event loop.

    A socket that always has more bytes never makes its task wait, so that no
    other task would run. A turn for each such reader in each round would
    still leave the others a small part of the processor in a crowd of
    readers: they wait in a queue instead.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[green.Event] = collections.deque()
        self._is_scheduled = False

    def wait(self) -> None:
        """Wait for the next turn of the current task."""
        turn = green.Event()
        self._waiting.append(turn)
        self._schedule()
        try:
            turn.wait()
        except BaseException:
            if turn in self._waiting:
                self._waiting.remove(turn)
            raise

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            green.call_after_ms(0, self._resume_next)

    def _resume_next(self) -> None:
        self._is_scheduled = False
        if self._waiting:
            self._waiting.popleft().send()
        self._schedule()


class TurnCounter:
    """Counts the work on one request, and ends its turns.

    Parameters
    ----------
    turns : ProcessorTurns
        Turns of all requests of the process.
    """

    def __init__(self, turns: ProcessorTurns) -> None:
        self._turns = turns
        self._units = 0

    def count(self, units: int = 1) -> None:
        """Count work; wait for the next turn if this one has ended."""
        self._units += units
        if self._units >= _TURN_UNITS:
            self._units = 0
            self._turns.wait()
