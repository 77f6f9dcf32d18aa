"""Upstreams that this router cannot connect to, and trials to reach them."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import logs
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_
from peridotmast.wire import connection as connection_
from peridotmast.wire import pool as pool_

_MIN_TRIAL_MS = 250
_MAX_TRIAL_MS = 1000
"""Minimum and maximum time between two trials of one upstream. The time
doubles with each failed trial."""

_MAX_TRIALS = 16
"""Maximum number of trials in progress."""


@dataclasses.dataclass
class _Cut:
    """An upstream that could not be connected to."""

    since: int
    """Time of the first failure, in ms."""
    interval_ms: int
    trial_at: int
    """Time of the next trial, in ms."""
    is_on_trial: bool = False


class Reachability:
    """Tracks the upstreams that this router cannot connect to.

    One failure to connect marks an upstream as unreachable, so that no other
    request waits for it; nothing was sent, and the request goes elsewhere.
    Trials in the background connect without a request. The first successful
    trial makes the upstream reachable, and its connection is used. Open
    connections to an upstream that refuses new ones may still work and are
    used.

    Parameters
    ----------
    clock : clock.Clock
        Times the trials.
    pool : pool.ConnectionPool
        Opens the connections of trials.
    table : upstreams.UpstreamTable
        The upstreams.
    router : str
        Name of this router, for the log.
    spawn : callable
        Runs a function in a task.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        pool: pool_.ConnectionPool,
        table: upstreams_.UpstreamTable,
        router: str,
        spawn: ty.Callable[..., None],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._table = table
        self._spawn = spawn
        self._log = logs.get('reachability', router=router)
        self._cuts: dict[upstream_view.UpstreamView, _Cut] = {}

    def note_failure(
        self, view: upstream_view.UpstreamView, failure: failures.Failure
    ) -> None:
        """Record that a connection to an upstream could not be opened."""
        now = self._clock.now()
        if view.is_unreachable:
            return
        view.is_unreachable = True
        view.is_link_silent = failure.detail == connection_.TIMED_OUT
        self._cuts[view] = _Cut(now, _MIN_TRIAL_MS, now + _MIN_TRIAL_MS)
        self._log.info(
            'upstream_unreachable',
            upstream=view.name,
            born=view.born,
            detail=failure.detail,
        )

    def note_connected(self, view: upstream_view.UpstreamView) -> None:
        """Record that a connection to an upstream was opened."""
        cut = self._forget(view)
        if cut is not None:
            self._log.info(
                'upstream_reachable',
                upstream=view.name,
                born=view.born,
                ms=self._clock.now() - cut.since,
            )

    def has_unreachable(self, service: str) -> bool:
        """Return whether a live upstream of a service is unreachable."""
        return bool(self._cuts) and any(
            view.is_unreachable for view in self._table.live(service)
        )

    def is_mostly_unreachable(self, service: str) -> bool:
        """Return whether half of a service's upstreams are unreachable."""
        if not self._cuts:
            return False
        live = self._table.live(service)
        return 2 * sum(view.is_unreachable for view in live) >= len(live)

    def tick(self) -> None:
        """Start the trials that are due; forget upstreams that have ended."""
        now = self._clock.now()
        for view, cut in list(self._cuts.items()):
            if not self._is_current(view):
                self._forget(view)
            elif now >= cut.trial_at and not cut.is_on_trial:
                running = sum(c.is_on_trial for c in self._cuts.values())
                if running >= _MAX_TRIALS:
                    return
                cut.is_on_trial = True
                cut.interval_ms = min(_MAX_TRIAL_MS, cut.interval_ms * 2)
                cut.trial_at = now + cut.interval_ms
                self._spawn('reach_trial', self._try, view, cut)

    def _forget(self, view: upstream_view.UpstreamView) -> ty.Optional[_Cut]:
        """Treat an upstream as reachable, and return its cut, if any."""
        view.is_unreachable = view.is_link_silent = False
        return self._cuts.pop(view, None)

    def _is_current(self, view: upstream_view.UpstreamView) -> bool:
        return view.is_available and self._table.get(view.name) is view

    def _try(self, view: upstream_view.UpstreamView, cut: _Cut) -> None:
        try:
            failure = self._pool.open_idle(view.address)
        finally:
            cut.is_on_trial = False
        if failure is None:
            self.note_connected(view)
