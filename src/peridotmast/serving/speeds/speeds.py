"""Estimated speeds of all upstreams that a router uses."""

from __future__ import annotations

import typing as ty

import prometheus_client

from peridotmast import clock as clock_
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving.speeds import estimate
from peridotmast.serving.speeds import reports
from peridotmast.serving import upstream_view

OFF = pb.RouterSettings.OFF
OWN = pb.RouterSettings.OWN
SHARED = pb.RouterSettings.SHARED

_MIN_TOKENS = 1000
"""Shortest prompt used as a sample, in tokens: for shorter prompts, network
time and the engine step take most of the time to the first event."""

_SLOW = 0.75
_FAST = 1.33
"""Speeds at which a change is logged."""

_HYSTERESIS = 0.05
"""How far a speed must return before the return is logged, so that an estimate
close to a threshold does not fill the log."""

_UPDATE_MS = 250
"""Interval at which all estimates are updated, in ms."""


class Speeds:
    """Estimates the speed of each run and stores it in its view.

    Parameters
    ----------
    clock : clock.Clock
        Times the decay of samples.
    mode : pb.RouterSettings.Speeds
        Whether there are estimates, and from whose requests.
    router : str
        Name of this router, for the log.
    find_view : callable
        Returns the current view of an upstream, or None.
    gauge : prometheus_client.Gauge
        Receives the speeds, by upstream.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        mode: pb.RouterSettings.Speeds,
        router: str,
        find_view: ty.Callable[[str], ty.Optional[upstream_view.UpstreamView]],
        gauge: prometheus_client.Gauge,
    ) -> None:
        self._clock = clock
        self._mode = mode
        self.is_enabled = mode in (OWN, SHARED)
        """Whether there are estimates."""
        self._find_view = find_view
        self._gauge = gauge
        self._log = logs.get('speeds', router=router)
        self._own: reports.Report = {}
        self._peers: dict[str, reports.Report] = {}
        self._peer_total: reports.Report = {}
        self._bands: dict[reports.Run, str] = {}
        self._updated_at = 0

    @property
    def mode(self) -> pb.RouterSettings.Speeds:
        """Whether there are estimates, and from whose requests."""
        return self._mode

    def set_mode(self, mode: pb.RouterSettings.Speeds) -> None:
        """Change the mode; without estimates, all state is dropped."""
        self._mode = mode
        self.is_enabled = mode in (OWN, SHARED)
        if mode != SHARED:
            self._peers, self._peer_total = {}, {}
        if not self.is_enabled:
            for run in self._known_runs():
                view = self._view_of(run)
                if view is not None:
                    view.speed = 1.0
                self._forget(run)

    def add_prefill(
        self,
        view: upstream_view.UpstreamView,
        tokens: int,
        expected_ms: float,
        took_ms: float,
    ) -> None:
        """Add a prefill at an upstream without other prefills.

        Parameters
        ----------
        tokens : int
            Prompt tokens that were not in the KV cache of the engine.
        expected_ms : float
            Time that the prefill takes at the rate of the service, in ms.
        took_ms : float
            Time that it took, in ms.
        """
        is_current = self._find_view(view.name) is view
        if not self.is_enabled or tokens < _MIN_TOKENS or not is_current:
            return
        run = view.name, view.born
        samples = self._own.setdefault(run, estimate.Samples())
        samples.add(self._clock.now(), expected_ms, took_ms)
        self._set_speed(view, self._estimate(run))

    def own_report(self) -> reports.Report:
        """Return the samples of this router; none unless they are shared."""
        if self._mode != SHARED:
            return {}
        now = self._clock.now()
        for samples in self._own.values():
            samples.decay(now)
        return self._own

    def set_peer_report(self, source: str, report: reports.Report) -> None:
        """Replace what a peer, a group or the rest of the fleet reports.

        The estimates change with the next `tick`.
        """
        if self._mode == SHARED:
            self._peers[source] = report

    def retain_peers(self, sources: ty.Collection[str]) -> None:
        """Drop the reports of all sources that are not in `sources`."""
        self._peers = {s: r for s, r in self._peers.items() if s in sources}

    def tick(self) -> None:
        """Update the estimates as samples decay and runs end."""
        now = self._clock.now()
        if not self.is_enabled or now - self._updated_at < _UPDATE_MS:
            return
        self._updated_at = now
        known = self._known_runs()
        self._peer_total = reports.total(now, self._peers.values())
        known.update(self._peer_total)
        for samples in self._own.values():
            samples.decay(now)
        self._own = {
            run: samples
            for run, samples in self._own.items()
            if not samples.is_negligible and self._view_of(run)
        }
        for run in known:
            view = self._view_of(run)
            if view is not None:
                self._set_speed(view, self._estimate(run))
            else:
                self._forget(run)
                self._reset_if_unknown(run[0])

    def on_upstream_change(self, view: upstream_view.UpstreamView) -> None:
        """Drop the estimate of a run that has ended."""
        if view.record.state == upstream_view.GONE:
            self.on_replaced(view)

    def on_replaced(self, view: upstream_view.UpstreamView) -> None:
        """Drop the estimate of a run that a later one has replaced."""
        self._forget((view.name, view.born))
        view.speed = 1.0

    def speeds(self) -> dict[reports.Run, tuple[float, float]]:
        """Return speed and weight of samples by run, for operators."""
        found = {}
        for run in sorted(self._known_runs()):
            samples = self._estimate(run)
            found[run] = samples.speed(), samples.weight
        return found

    def _known_runs(self) -> set[reports.Run]:
        """Return the runs with samples, or with a speed from earlier ones."""
        return {*self._own, *self._bands}

    def _view_of(
        self, run: reports.Run
    ) -> ty.Optional[upstream_view.UpstreamView]:
        """Return the view of a run that has not ended."""
        view = self._find_view(run[0])
        if view is None or view.born != run[1] or not _is_running(view):
            return None
        return view

    def _estimate(self, run: reports.Run) -> estimate.Samples:
        """Return all known samples of a run."""
        now = self._clock.now()
        total = estimate.Samples(at=now)
        for known in (self._own.get(run), self._peer_total.get(run)):
            if known is not None:
                known.decay(now)
                total.merge(known)
        return total

    def _set_speed(
        self, view: upstream_view.UpstreamView, samples: estimate.Samples
    ) -> None:
        run = view.name, view.born
        if samples.is_negligible:
            self._forget(run)
            view.speed = 1.0
            return
        view.speed = samples.speed()
        self._gauge.labels(view.name).set(view.speed)
        before = self._bands.get(run, 'usual')
        band = self._bands[run] = _band(view.speed, before)
        if band != before:
            own = self._own.get(run)
            self._log.info(
                'upstream_speed',
                upstream=view.name,
                born=view.born,
                service=view.service,
                speed=round(view.speed, 2),
                band=band,
                before=before,
                samples=round(samples.weight, 1),
                own=round(own.weight if own else 0.0, 1),
            )

    def _reset_if_unknown(self, name: str) -> None:
        """Reset the speed of an upstream whose current run has no samples.

        The start time of a run may become known after its first samples,
        which were then stored under another key.
        """
        view = self._find_view(name)
        if view is not None and (name, view.born) not in self._bands:
            view.speed = 1.0

    def _forget(self, run: reports.Run) -> None:
        """Drop all state of a run."""
        self._own.pop(run, None)
        self._peer_total.pop(run, None)
        if self._bands.pop(run, None) is None:
            return
        if not any(name == run[0] for name, _ in self._bands):
            self._gauge.remove(run[0])


def _is_running(view: upstream_view.UpstreamView) -> bool:
    return view.record.state != upstream_view.GONE


def _band(speed: float, before: str) -> str:
    """Return how a speed is logged: as slow, usual or fast."""
    slow = _SLOW + (_HYSTERESIS if before == 'slow' else 0)
    fast = _FAST - (_HYSTERESIS if before == 'fast' else 0)
    if speed < slow:
        return 'slow'
    return 'fast' if speed > fast else 'usual'
