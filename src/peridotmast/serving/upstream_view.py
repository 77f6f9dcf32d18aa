"""One upstream as a router sees it: its entry, its work, its health."""

from __future__ import annotations

import dataclasses

from peridotmast import clock as clock_
from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import health as health_

LIVE = pb.UPSTREAM_STATE_LIVE
LEAVING = pb.UPSTREAM_STATE_LEAVING
GONE = pb.UPSTREAM_STATE_GONE
LAPSED = pb.UPSTREAM_STATE_LAPSED
UNREADABLE = pb.UPSTREAM_STATE_UNREADABLE


@dataclasses.dataclass(slots=True)
class Load:
    """Work of some routers at one upstream."""

    running: int = 0
    """Requests."""
    unread: int = 0
    """Tokens of prompts whose first event has not come."""
    memory: int = 0
    """Tokens that the requests hold, or will hold, in its memory."""

    def add(self, other: Load, sign: int = 1) -> None:
        """Add `other`, or take it away where `sign` is -1."""
        self.running += sign * other.running
        self.unread += sign * other.unread
        self.memory += sign * other.memory


def run_of(name: str, born: int) -> str:
    """Return the unique name of one run of an upstream."""
    return f'{name}|{born}'


class UpstreamView:
    """One run of an upstream as this router sees it.

    A later run under the same name is another view: what this one held, ran
    or promised is nothing to that one.

    Parameters
    ----------
    record : pb.UpstreamRecord
        What the platform says of it.
    clock : clock.Clock
        Times its health.
    busy : set of UpstreamView
        Those that this router has work at; kept up to date by each.
    """

    def __init__(
        self,
        record: pb.UpstreamRecord,
        clock: clock_.Clock,
        busy: set[UpstreamView],
    ) -> None:
        self.born = 0
        """When this run began, ms since 1970; 0 where that is not told."""
        self.local_load = Load()
        """This router's own work there."""
        self.health = health_.Health(clock)
        """How it has answered lately."""
        self.not_live_since = 0
        """Moment at which it was heard to leave, or its entry to be missing,
        in ms; 0 before."""
        self._clock = clock
        self._busy = busy
        self._heard_at = 0
        self._others: dict[str, Load] = {}
        self._total = Load()
        self.update(record)

    def update(self, record: pb.UpstreamRecord) -> None:
        """Take in a newer statement on it."""
        upstream = record.upstream
        self.record = record
        """The newest statement on it."""
        # Read for each of many upstreams when a request is placed.
        self.name = ids.UpstreamName(upstream.name)
        """Its id, which a later run may have again."""
        self.born = upstream.born or self.born
        self.address = upstream.address
        """Its address, which others may get after it."""
        self.service = upstream.service
        """Service that it belongs to."""
        self.failure_domain = upstream.failure_domain
        """Failure domain of its VM."""
        self.slots = upstream.slots or 1
        """Requests that it works on at once."""

    @property
    def run(self) -> str:
        """Name of this run, which no other one has."""
        return run_of(self.name, self.born)

    @property
    def is_available(self) -> bool:
        """Whether nobody said that it leaves."""
        return self.record.state in (LIVE, LAPSED)

    def is_confirmed(self, limit: int) -> bool:
        """Return whether its entry is there, or missing since `limit`."""
        return self.record.state == LIVE or self.not_live_since > limit

    def add_load(self, load: Load) -> None:
        """Add a request's work of this router."""
        if not self.local_load.running:
            # It had nothing to say until now.
            self.note_activity()
        self.local_load.add(load)
        self._total.add(load)
        self._busy.add(self)

    def remove_load(self, load: Load) -> None:
        """Take a request's work of this router, or a part of it, away."""
        self.local_load.add(load, -1)
        self._total.add(load, -1)
        if not self.local_load.running:
            self._busy.discard(self)

    def set_peer_load(self, router: str, load: Load) -> None:
        """Take in all work that another router has there."""
        self._total.add(self._others.pop(router, Load()), -1)
        if load.running:
            self._others[router] = load
            self._total.add(load)

    def note_activity(self) -> None:
        """Note that something came from it."""
        self._heard_at = self._clock.now()

    def silent_ms(self) -> int:
        """Return for how long nothing came while this router waited, in ms."""
        if not self.local_load.running:
            return 0
        return self._clock.now() - self._heard_at

    def total_load(self) -> Load:
        """Return the work of all routers there, as far as it is known."""
        return self._total
