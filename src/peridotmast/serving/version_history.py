"""Software versions at which the streams of a service may have begun."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast import ids
from peridotmast.serving import upstream_view

_RETENTION_MS = 600_000
"""Time for which a version without upstreams is kept, in ms: longer than any
stream lasts."""


@dataclasses.dataclass
class _Past:
    """What is known of one version of a service."""

    runs: set[upstream_view.UpstreamView] = dataclasses.field(
        default_factory=set
    )
    """Runs of upstreams that are available."""
    ended_at: int = 0
    """Time at which the last one stopped being available, in ms."""


class VersionHistory:
    """Knows which versions of a service have served, and for how long.

    Parameters
    ----------
    clock : clock.Clock
        Times the beginning and the end of versions.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._services: dict[str, dict[ids.SoftwareVersion, _Past]] = {}
        self._since: dict[str, int] = {}

    def note(self, view: upstream_view.UpstreamView) -> None:
        """Record the state of a run of an upstream."""
        now = self._clock.now()
        self._since.setdefault(view.service, now)
        versions = self._services.setdefault(view.service, {})
        past = versions.setdefault(
            ids.SoftwareVersion(view.version), _Past(ended_at=now)
        )
        if view.is_available:
            past.runs.add(view)
        elif view in past.runs:
            self._end(past, view)
        for version in [v for v, p in versions.items() if self._is_old(p)]:
            del versions[version]

    def note_replaced(self, view: upstream_view.UpstreamView) -> None:
        """Record that another run has replaced this one."""
        for past in self._services.get(view.service, {}).values():
            if view in past.runs:
                self._end(past, view)

    def within(
        self, service: str, window_ms: int
    ) -> frozenset[ids.SoftwareVersion]:
        """Return the versions that were available in the last `window_ms`."""
        oldest = self._clock.now() - window_ms
        return frozenset(
            version
            for version, past in self._services.get(service, {}).items()
            if past.runs or past.ended_at >= oldest
        )

    def services(self) -> ty.Collection[str]:
        """Return the names of all services that have had upstreams."""
        return self._services.keys()

    def observed_ms(self, service: str) -> int:
        """Return for how long the upstreams of a service are known, in ms."""
        since = self._since.get(service)
        return 0 if since is None else self._clock.now() - since

    def _end(self, past: _Past, view: upstream_view.UpstreamView) -> None:
        past.runs.discard(view)
        past.ended_at = self._clock.now()

    def _is_old(self, past: _Past) -> bool:
        oldest = self._clock.now() - _RETENTION_MS
        return not past.runs and past.ended_at < oldest
