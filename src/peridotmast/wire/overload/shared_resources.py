"""What the servers of one process share."""

from __future__ import annotations

import sys
import typing as ty

from peridotmast import clock as clock_
from peridotmast.wire.overload import events as events_
from peridotmast.wire.overload import memory_budget
from peridotmast.wire.overload import processor_turns


class SharedResources:
    """Processor and memory for the requests of all servers of a process.

    Parameters
    ----------
    clock : clock.Clock, optional
        Times requests; the system's clock by default.
    request_bytes : int, optional
        Memory of all requests together; unlimited by default.
    """

    def __init__(
        self,
        clock: ty.Optional[clock_.Clock] = None,
        request_bytes: int = sys.maxsize,
    ) -> None:
        self.events = events_.OverloadEvents()
        """Counts what is done against overload."""
        self.turns = processor_turns.ProcessorTurns()
        """Turns of requests that are read."""
        self.clock = clock or clock_.SystemClock()
        """Times requests and connections."""
        self.memory = memory_budget.MemoryBudget(
            self.clock, self.events, request_bytes
        )
        """Memory of requests."""
