"""What a process does against overload, counted for metrics and the log."""

from __future__ import annotations

import collections
import enum


class OverloadEvent(enum.Enum):
    """An action against overload."""

    REFUSED_MEMORY = 'refused_memory'
    """A request was answered with 503, for lack of memory, before it was read
    whole."""
    EVICTED_BODY = 'evicted_body'
    """A body that was being read was discarded, and answered with 503."""
    ABORTED_ANSWER = 'aborted_answer'
    """An answer was broken off whose caller did not read it."""
    CLOSED_IDLE = 'closed_idle'
    """A connection without a request was closed to make room for others."""
    CLOSED_READING = 'closed_reading'
    """A connection was closed whose request was not whole, to make room."""
    REFUSED_CONNECTION = 'refused_connection'
    """A connection was answered with 503 as all others were busy."""
    ACCEPT_ERROR = 'accept_error'
    """A connection could not be accepted."""


class OverloadEvents:
    """Counts the actions of one process."""

    def __init__(self) -> None:
        self.counts: collections.Counter[OverloadEvent] = collections.Counter()
        """Number of actions by kind."""

    def note(self, event: OverloadEvent) -> None:
        """Count one action."""
        self.counts[event] += 1
