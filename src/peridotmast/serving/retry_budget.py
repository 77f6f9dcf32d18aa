"""How many repeats a router may send to a service."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast import clock as clock_

_SAFETY = 0.8
"""Part of the fleet's budget that is used: routers count their windows from
different moments, and a request that was cut off may not have been counted."""


class RetryBudget:
    """Repeats within a share of a service's own requests.

    Each router goes by what it saw itself, so nothing need be agreed: the
    sum over all routers is the fleet's requests times the ratio, and the
    slack that the fleet has beside it is split evenly.

    Parameters
    ----------
    clock : clock.Clock
        Times the window.
    ratio : float
        Repeats for each request.
    window_ms : int
        Window in which both are counted.
    slack : float
        Repeats of the whole fleet beside the ratio.
    """

    def __init__(
        self, clock: clock_.Clock, ratio: float, window_ms: int, slack: float
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._window_ms = window_ms
        self._slack = slack
        self._requests: dict[str, collections.deque[int]] = {}
        self._repeats: dict[str, collections.deque[int]] = {}
        self.routers: ty.Callable[[], int] = lambda: 1
        """Returns how many routers share the slack."""

    def set_limits(self, ratio: float, window_ms: int, slack: float) -> None:
        """Put changed limits into force."""
        self._ratio = ratio
        self._window_ms = window_ms
        self._slack = slack

    def count_request(self, service: str) -> None:
        """Count a request that goes to `service` for the first time."""
        self._in_window(self._requests, service).append(self._clock.now())

    def take(self, service: str) -> bool:
        """Allow one repeat at `service`, if there is room for it."""
        requests = len(self._in_window(self._requests, service))
        repeats = self._in_window(self._repeats, service)
        allowed = self._ratio * requests + self._slack / self.routers()
        if len(repeats) + 1 > allowed * _SAFETY:
            return False
        repeats.append(self._clock.now())
        return True

    def _in_window(
        self, counted: dict[str, collections.deque[int]], service: str
    ) -> ty.Any:
        moments = counted.setdefault(service, collections.deque())
        limit = self._clock.now() - self._window_ms
        while moments and moments[0] <= limit:
            moments.popleft()
        return moments
