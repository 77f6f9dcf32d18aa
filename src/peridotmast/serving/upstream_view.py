"""State of one upstream on a router: its entry, its load and its health."""

from __future__ import annotations

import collections
import dataclasses
import math

from peridotmast import clock as clock_
from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import health as health_

LIVE = pb.UPSTREAM_STATE_LIVE
LEAVING = pb.UPSTREAM_STATE_LEAVING
GONE = pb.UPSTREAM_STATE_GONE
LAPSED = pb.UPSTREAM_STATE_LAPSED
UNREADABLE = pb.UPSTREAM_STATE_UNREADABLE

_MAX_SILENCES = 8
"""Number of silences that are kept."""


@dataclasses.dataclass(slots=True)
class Load:
    """Load that one or more routers put on an upstream."""

    running: int = 0
    """Number of requests that these routers run at the upstream."""
    unread: int = 0
    """Prompt tokens of requests that have not produced their first event."""
    memory: int = 0
    """Tokens that the requests occupy, or will occupy, in its memory."""

    def add(self, other: Load, sign: int = 1) -> None:
        """Add `other`, or subtract it if `sign` is -1."""
        self.running += sign * other.running
        self.unread += sign * other.unread
        self.memory += sign * other.memory


def run_of(name: str, born: int) -> str:
    """Return the unique name of one run of an upstream."""
    return f'{name}|{born}'


@dataclasses.dataclass(frozen=True)
class Silence:
    """A time in which requests waited without any data."""

    start: int
    end: int
    """Times in ms."""


class UpstreamView:
    """State of one run of an upstream on this router.

    A later run under the same name has its own view, as nothing that this run
    held, executed or promised applies to it.

    Parameters
    ----------
    record : pb.UpstreamRecord
        The record of the upstream from the platform.
    clock : clock.Clock
        Times the health and the silence of the upstream.
    busy : set of UpstreamView
        The views at which this router has requests; each view adds and
        removes itself.
    """

    is_peer = False
    """Whether requests reach upstreams through another router."""

    def __init__(
        self,
        record: pb.UpstreamRecord,
        clock: clock_.Clock,
        busy: set[UpstreamView],
    ) -> None:
        self.born = 0
        """Start time of this run, in ms since 1970; 0 if unknown."""
        self.local_load = Load()
        """Load of this router on the upstream."""
        self.health = health_.Health(clock)
        """Outcomes of recent requests."""
        self.not_live_since = 0
        """Time since which the upstream is known to leave, or its entry to be
        missing, in ms; 0 while it is live."""
        self.has_stated_leaving = False
        """Whether an answer of this run has stated that it is leaving."""
        self.is_unreachable = False
        """Whether the last attempt to connect to it has failed."""
        self.is_link_silent = False
        """Whether that attempt had no answer. Open connections are then not
        used, as requests on them would have none either."""
        self.brittle_limit = 0.0
        """Refusals a second that it bears, as its last answer states; 0 for
        any number."""
        self.stated_at = 0
        """Time at which that answer was read, in ms; 0 if there was none."""
        self.left_behind = 0
        """Number of requests that it may hold, and whose answers this router
        no longer awaits."""
        self.speed = 1.0
        """Estimated speed of this run relative to its service."""
        self.heard_at = 0
        """Time at which data was last received from it, in ms; 0 if never."""
        self.freed_at = 0
        """Time at which a request of this router last ended there, in ms; 0 if
        never."""
        self.min_silence_ms = math.inf
        """Shortest silence that is kept in `silences`, in ms."""
        self._silences: collections.deque[Silence] = collections.deque(
            maxlen=_MAX_SILENCES
        )
        self._rests_until = 0
        self._clock = clock
        self._busy = busy
        self._active_at = 0
        self._peer_loads: dict[str, Load] = {}
        self._total_load = Load()
        self.update(record)

    def update(self, record: pb.UpstreamRecord) -> None:
        """Replace the record by a newer one."""
        upstream = record.upstream
        self.record = record
        """The newest record of the upstream."""
        # Copied from the record, as placement reads these attributes of many
        # upstreams for each request.
        self.name = ids.UpstreamName(upstream.name)
        """Name of the upstream, which a later run may reuse."""
        self.born = upstream.born or self.born
        self.address = upstream.address
        """Address, which may later be reused by another upstream."""
        self.service = upstream.service
        """Service that the upstream belongs to."""
        self.failure_domain = upstream.failure_domain
        """Failure domain of its VM."""
        self.version = upstream.version
        """Version of its software."""
        self.slots = upstream.slots or 1
        """Maximum number of concurrent requests."""

    @property
    def run(self) -> str:
        """Unique name of this run."""
        return run_of(self.name, self.born)

    @property
    def is_available(self) -> bool:
        """Whether the upstream is not known to leave or to be gone."""
        return self.record.state in (LIVE, LAPSED)

    def was_live_at(self, cutoff: int) -> bool:
        """Return whether the upstream has an entry, or had one at `cutoff`.

        Parameters
        ----------
        cutoff : int
            Time, in ms.
        """
        return self.record.state == LIVE or self.not_live_since > cutoff

    def add_load(self, load: Load) -> None:
        """Add the load of a request of this router."""
        if not self.local_load.running:
            # Silence before the first request is not a sign of a failure.
            self._active_at = self._clock.now()
        self.local_load.add(load)
        self._total_load.add(load)
        self._busy.add(self)

    def remove_load(self, load: Load) -> None:
        """Remove all or part of the load of a request of this router."""
        if load.running:
            self.freed_at = self._clock.now()
        self.local_load.add(load, -1)
        self._total_load.add(load, -1)
        if not self.local_load.running:
            self._busy.discard(self)

    def set_peer_load(self, router: str, load: Load) -> None:
        """Replace the load of another router."""
        self._total_load.add(self._peer_loads.pop(router, Load()), -1)
        if load.running:
            self._peer_loads[router] = load
            self._total_load.add(load)

    def peer_running(self, router: str) -> int:
        """Return how many requests another router is known to run here."""
        load = self._peer_loads.get(router)
        return 0 if load is None else load.running

    def note_rest(self, ms: int) -> None:
        """Record that the upstream wants no requests of this router for `ms`.

        A later request for a shorter rest does not end one before its time.
        """
        self._rests_until = max(self._rests_until, self._clock.now() + ms)

    def rest_ms(self) -> int:
        """Return how long the upstream wants no more requests, in ms."""
        if not self._rests_until:
            return 0
        return max(0, self._rests_until - self._clock.now())

    def note_activity(self) -> None:
        """Record that data was received from the upstream."""
        if self.silent_ms() >= self.min_silence_ms:
            self._silences.append(Silence(self._active_at, self._clock.now()))
        self._active_at = self.heard_at = self._clock.now()

    def silence_after(self, at: int) -> float:
        """Return how long the upstream was silent since `at`, in ms.

        Of each silence, what exceeds `min_silence_ms` is counted, and of the
        latest ones only.
        """
        now = self._clock.now()
        current = Silence(now - self.silent_ms(), now)
        return sum(
            max(
                0.0, silence.end - max(at, silence.start + self.min_silence_ms)
            )
            for silence in (*self._silences, current)
        )

    def silent_ms(self) -> int:
        """Return for how long a request has waited without any data, in ms."""
        if not self.local_load.running:
            return 0
        return self._clock.now() - self._active_at

    def total_load(self) -> Load:
        """Return the known load of all routers."""
        return self._total_load
