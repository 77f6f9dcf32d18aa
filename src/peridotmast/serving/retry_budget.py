"""Limits how many retries a router sends to a service."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast import clock as clock_
from peridotmast.serving import decisions as decisions_

_USED_SHARE = 0.8
"""Fraction of the allowed retries that is used. The rest is a margin, as the
windows of routers start at different times and an interrupted request may not
have been counted."""


class RetryBudget:
    """Limits retries to a fraction of the requests of each service.

    Each router uses only its own counts, so no coordination is needed: over
    all routers the limits add up to the requests of the fleet times the
    ratio. The additional slack of the fleet is split evenly between routers.
    A share that has grown is used only once the retries of the routers that
    had it before have left the window.

    What an earlier run of a router has used is not known after its end, and
    counts as all that it was allowed: a run that may follow another one
    grants no retry until the retries of that run have left the window.

    Parameters
    ----------
    clock : clock.Clock
        Clock of the window.
    ratio : float
        Retries allowed per request.
    window_ms : int
        Length of the window in which requests and retries are counted, in
        ms.
    slack : float
        Additional retries of the whole fleet in a window.
    decisions : decisions.Decisions
        Records each decision on a retry.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        ratio: float,
        window_ms: int,
        slack: float,
        decisions: decisions_.Decisions,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._window_ms = window_ms
        self._slack = slack
        self._decisions = decisions
        self._started_at = clock.now()
        self._requests: dict[str, collections.deque[int]] = {}
        self._retries: dict[str, collections.deque[int]] = {}
        self.share: ty.Callable[[], float] = lambda: 1.0
        """Return this router's share of the slack, from 0 to 1."""
        self._shares: collections.deque[tuple[int, float]] = (
            collections.deque()
        )
        self.is_first_run: ty.Callable[[], bool] = lambda: False
        """Return whether no earlier run of this router can have used any of
        its budget."""

    def set_limits(self, ratio: float, window_ms: int, slack: float) -> None:
        """Change the limits."""
        self._ratio = ratio
        self._window_ms = window_ms
        self._slack = slack

    def count_request(self, service: str) -> None:
        """Count a new request to `service`; retries are not counted here."""
        self._times_in_window(self._requests, service).append(
            self._clock.now()
        )

    def take(self, service: str, request_id: str) -> bool:
        """Take one retry to `service`; return False if none is left."""
        requests = len(self._times_in_window(self._requests, service))
        retries = self._times_in_window(self._retries, service)
        share = self._usable_share()
        granted = self.has_left(service)
        self._decisions.note(
            request_id,
            'retry',
            service=service,
            granted=granted,
            retries=len(retries),
            requests=requests,
            share=round(share, 3),
            run_ms=self._clock.now() - self._started_at,
            first_run=self.is_first_run(),
        )
        if granted:
            retries.append(self._clock.now())
        return granted

    def has_left(self, service: str) -> bool:
        """Return whether `take` would return True now."""
        run_ms = self._clock.now() - self._started_at
        if run_ms < self._window_ms and not self.is_first_run():
            return False
        requests = len(self._times_in_window(self._requests, service))
        retries = len(self._times_in_window(self._retries, service))
        allowed = self._ratio * requests + self._slack * self._usable_share()
        return retries + 1 <= allowed * _USED_SHARE

    def tick(self) -> None:
        """Note the current share."""
        self._usable_share()

    def _usable_share(self) -> float:
        """Return the lowest share of this router in the window."""
        now, share = self._clock.now(), self.share()
        if not self._shares or self._shares[-1][1] != share:
            self._shares.append((now, share))
        # A share counts until the next one was noted.
        while (
            len(self._shares) > 1
            and self._shares[1][0] <= now - self._window_ms
        ):
            self._shares.popleft()
        return min(known for _, known in self._shares)

    def _times_in_window(
        self, counts: dict[str, collections.deque[int]], service: str
    ) -> ty.Any:
        times = counts.setdefault(service, collections.deque())
        oldest = self._clock.now() - self._window_ms
        while times and times[0] <= oldest:
            times.popleft()
        return times
