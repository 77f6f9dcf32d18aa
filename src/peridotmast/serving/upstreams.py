"""Table of the upstreams that a router knows."""

from __future__ import annotations

import typing as ty

from peridotmast import addresses
from peridotmast import clock as clock_
from peridotmast import ids
from peridotmast import revisions
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import live_upstreams
from peridotmast.serving import upstream_view

LIVE = upstream_view.LIVE
LEAVING = upstream_view.LEAVING
GONE = upstream_view.GONE
LAPSED = upstream_view.LAPSED
UNREADABLE = upstream_view.UNREADABLE

_GONE_RETENTION_MS = 60_000
"""Time for which a gone upstream is kept in the table, in ms, so that an
outdated record of a peer does not restore the upstream."""

_GRACE_SHARE = 0.6
"""Fraction of the drain time for which an upstream gets new requests after its
entry went missing. The rest of the drain time is left for updates of the entry
to reach other routers and for requests to reach the upstream."""

_NEVER = 1 << 62
"""Time that is never reached, in ms."""

_LAPSE_SLACK_MS = 300
"""Margin in ms that is added to the time within which entries return after an
outage according to the platform."""


Listener = ty.Callable[[upstream_view.UpstreamView], None]


class UpstreamTable:
    """Upstreams by name; for each, the record with the highest revision wins.

    A record of a later run under the same name starts a new view. A record of
    an earlier run is ignored whatever its revision, as a write of a run that
    has ended may still reach the store.

    An upstream that leaves or is gone stays so when the store returns from an
    older copy. One that is gone is back with a later record of the new era.

    An upstream whose entry is missing after an outage of the store may only
    have been unable to renew its entry. Such a lapsed upstream gets new
    requests for a fraction of the drain time, and counts as gone if its entry
    does not return within the time that the platform states. Each router
    measures both times itself, starting when the first router that reports the
    missing entry noticed it, and so does not rely on a peer to declare the
    upstream gone.

    Parameters
    ----------
    clock : clock.Clock
        Times the health, the lapses and the retention of upstreams.
    drain_ms : int
        Time after which a leaving upstream may get no new requests, in ms.
    lapse_ms : int
        Time within which missing entries return after an outage, in ms.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        drain_ms: int = 2000,
        lapse_ms: int = 2000,
    ) -> None:
        self._clock = clock
        self._grace_ms = int(drain_ms * _GRACE_SHARE)
        self._lapse_ms = lapse_ms + _LAPSE_SLACK_MS
        self._views: dict[str, upstream_view.UpstreamView] = {}
        self._busy: set[upstream_view.UpstreamView] = set()
        self._not_live: dict[str, upstream_view.UpstreamView] = {}
        self._upstreams_of: dict[str, set[str]] = {}
        self._live: ty.Optional[live_upstreams.LiveUpstreams] = None
        self._valid_until = 0
        self._listeners: list[Listener] = []
        self._replacement_listeners: list[Listener] = []
        self.revision = 0
        """The highest revision of all merged records."""
        self.select_versions: live_upstreams.VersionSelector = (
            lambda service, ages: ages
        )
        """Selects the versions whose upstreams are live."""

    def listen(self, listener: Listener) -> None:
        """Call `listener` with each view whose record has changed."""
        self._listeners.append(listener)

    def listen_replacements(self, listener: Listener) -> None:
        """Call `listener` with each view that is replaced by a later run.

        The requests that were sent to the replaced run are lost.
        """
        self._replacement_listeners.append(listener)

    def merge(self, record: pb.UpstreamRecord) -> bool:
        """Merge a record, and return whether it changed the table."""
        self.revision = max(self.revision, record.revision)
        record = _validate(record)
        view = self._views.get(record.upstream.name)
        if view is None:
            return self._add(record)
        born = record.upstream.born
        if born and view.born and born != view.born:
            return born > view.born and self._replace(view, record)
        if record.revision <= view.record.revision:
            return False
        if _is_upgraded(view, record):
            return self._replace(view, record)
        if record.state in _NAME_ONLY_STATES:
            state = record.state
            if state != UNREADABLE and view.record.state in (LEAVING, GONE):
                state = GONE
            record = _with_state(
                view.record, state, record.revision, record.doubted_ms
            )
        elif record.state == LIVE and view.has_stated_leaving:
            record = _with_state(record, LEAVING, record.revision)
        elif _may_be_outdated(view, record):
            view.has_stated_leaving |= view.record.state == LEAVING
            record = _with_state(record, view.record.state, record.revision)
        self._set_record(view, record)
        return True

    def note_leaving(self, view: upstream_view.UpstreamView) -> None:
        """Record that an answer of this run states that it is leaving.

        No entry in the store revokes this; only a later run serves again.
        """
        view.has_stated_leaving = True
        if view.is_available:
            leaving = _with_state(view.record, LEAVING, view.record.revision)
            self._set_record(view, leaving)

    def tick(self) -> list[upstream_view.UpstreamView]:
        """Mark upstreams as gone whose entry did not return; return them."""
        cutoff = self._clock.now() - self._lapse_ms
        expired = [
            view for view in self._lapsed() if view.not_live_since <= cutoff
        ]
        for view in expired:
            gone = _with_state(view.record, GONE, view.record.revision)
            self._set_record(view, gone)
        return expired

    def merge_all(self, records: ty.Iterable[pb.UpstreamRecord]) -> None:
        """Merge several records."""
        for record in records:
            self.merge(record)

    def records_since(self, revision: int) -> list[pb.UpstreamRecord]:
        """Return the records that changed after a revision, for a peer."""
        now = self._clock.now()
        found = []
        for view in self._views.values():
            if view.record.revision > revision:
                record = pb.UpstreamRecord()
                record.CopyFrom(view.record)
                if record.state == LAPSED:
                    record.doubted_ms = now - view.not_live_since
                found.append(record)
        return found

    def get(self, name: str) -> ty.Optional[upstream_view.UpstreamView]:
        """Return the upstream called `name`."""
        return self._views.get(name)

    def all(self) -> list[upstream_view.UpstreamView]:
        """Return all upstreams, including gone ones."""
        return list(self._views.values())

    def not_live(self) -> ty.Collection[upstream_view.UpstreamView]:
        """Return the upstreams that leave, are gone or have lapsed."""
        return self._not_live.values()

    def live(self, service: str) -> ty.Sequence[upstream_view.UpstreamView]:
        """Return the upstreams of `service` that may get new requests.

        An upstream whose entry has been missing for longer than the grace
        period is returned only if the service has no other upstreams: during
        an outage, it is more likely that none of them could renew its entry
        than that all of them have left. Upstreams whose version is not in use
        are not returned.

        Returns
        -------
        sequence of upstream_view.UpstreamView
            The same object until the set of live upstreams may have changed.
        """
        return self._current().by_service.get(service, ())

    def at_version(
        self, service: str, version: ids.SoftwareVersion
    ) -> ty.Sequence[upstream_view.UpstreamView]:
        """Return the upstreams of one software version, in use or not.

        They are selected like those that `live` returns, which start with the
        versions in use.

        Returns
        -------
        sequence of upstream_view.UpstreamView
            The same object until the set of live upstreams may have changed.
        """
        return self._current().at_version.get((service, version), ())

    def services(self) -> ty.Collection[str]:
        """Return the names of the services with live upstreams."""
        return self._current().by_service.keys()

    def out_of_use(self, service: str) -> list[upstream_view.UpstreamView]:
        """Return the available upstreams whose version is not in use."""
        used = set(self.live(service))
        return [
            view
            for view in self._views.values()
            if view.service == service
            and view.is_available
            and view not in used
        ]

    def update_versions(self) -> None:
        """Select the versions in use again."""
        self._live = None

    def busy(self) -> list[upstream_view.UpstreamView]:
        """Return the runs at which this router has requests."""
        return list(self._busy)

    def local_loads(self) -> list[pb.UpstreamLoad]:
        """Return this router's load on each upstream that it uses."""
        return [
            self.local_load(view)
            for view in self._busy
            if self._views.get(view.name) is view
        ]

    def local_load(self, view: upstream_view.UpstreamView) -> pb.UpstreamLoad:
        """Return this router's load on one upstream."""
        return pb.UpstreamLoad(
            upstream=view.name,
            running=view.local_load.running,
            unread=view.local_load.unread,
            memory=view.local_load.memory,
            born=view.born,
        )

    def set_peer_load(self, router: str, load: pb.UpstreamLoad) -> None:
        """Set the load of another router on one upstream."""
        if not self._is_of_current_run(load):
            return
        self._views[load.upstream].set_peer_load(
            router,
            upstream_view.Load(load.running, load.unread, load.memory),
        )
        self._upstreams_of.setdefault(router, set()).add(load.upstream)

    def set_peer_loads(
        self, router: str, loads: ty.Iterable[pb.UpstreamLoad]
    ) -> None:
        """Replace all loads of another router.

        The cost depends on the number of upstreams that the router uses, not
        on the number of all upstreams.
        """
        loads_by_name = {
            load.upstream: load
            for load in loads
            if self._is_of_current_run(load)
        }
        for name in (
            self._upstreams_of.pop(router, set()) - loads_by_name.keys()
        ):
            if name in self._views:
                self._views[name].set_peer_load(router, upstream_view.Load())
        for name, load in loads_by_name.items():
            if name in self._views:
                self._views[name].set_peer_load(
                    router,
                    upstream_view.Load(load.running, load.unread, load.memory),
                )
        if loads_by_name:
            self._upstreams_of[router] = set(loads_by_name)

    def _is_of_current_run(self, load: pb.UpstreamLoad) -> bool:
        view = self._views.get(load.upstream)
        if view is None:
            return False
        return not (load.born and view.born) or load.born == view.born

    def retain_peer_loads(self, routers: ty.Collection[str]) -> None:
        """Remove the loads of all routers that are not in `routers`."""
        for router in [r for r in self._upstreams_of if r not in routers]:
            self.set_peer_loads(router, ())

    def remove_gone(self) -> None:
        """Remove upstreams that have been gone for the retention period."""
        cutoff = self._clock.now() - _GONE_RETENTION_MS
        old = [
            name
            for name, view in self._not_live.items()
            if view.record.state in (GONE, UNREADABLE)
            and view.not_live_since < cutoff
        ]
        for name in old:
            del self._views[name]
            del self._not_live[name]

    def _add(self, record: pb.UpstreamRecord) -> bool:
        """Add an upstream by its first record."""
        if record.state in (GONE, UNREADABLE) or not _is_usable(record):
            return False
        view = upstream_view.UpstreamView(record, self._clock, self._busy)
        self._views[view.name] = view
        self._set_record(view, record)
        return True

    def _replace(
        self, replaced: upstream_view.UpstreamView, record: pb.UpstreamRecord
    ) -> bool:
        """Replace a view by one for a later run of the same upstream."""
        self._not_live.pop(replaced.name, None)
        replaced.update(
            _with_state(replaced.record, GONE, replaced.record.revision)
        )
        for names in self._upstreams_of.values():
            names.discard(replaced.name)
        is_added = self._add(record)
        for listener in self._replacement_listeners:
            listener(replaced)
        return is_added

    def _set_record(
        self, view: upstream_view.UpstreamView, record: pb.UpstreamRecord
    ) -> None:
        view.update(record)
        if record.state == LIVE:
            view.not_live_since = 0
            self._not_live.pop(view.name, None)
        else:
            noticed_at = self._clock.now() - max(0, record.doubted_ms)
            view.not_live_since = view.not_live_since or noticed_at
            self._not_live[view.name] = view
        self._live = None
        for listener in self._listeners:
            listener(view)

    def _lapsed(self) -> list[upstream_view.UpstreamView]:
        return [v for v in self._not_live.values() if v.record.state == LAPSED]

    def _current(self) -> live_upstreams.LiveUpstreams:
        """Return the live upstreams, grouped again if needed."""
        now = self._clock.now()
        if self._live is None or now >= self._valid_until:
            cutoff = now - self._grace_ms
            available = [v for v in self._views.values() if v.is_available]
            self._live = live_upstreams.LiveUpstreams(
                available, cutoff, self.select_versions
            )
            lapsed_at = (
                view.not_live_since
                for view in self._lapsed()
                if view.was_live_at(cutoff)
            )
            self._valid_until = min(lapsed_at, default=_NEVER) + self._grace_ms
        return self._live


_NAME_ONLY_STATES = frozenset((GONE, LAPSED, UNREADABLE))
"""States whose records contain only the name of the upstream."""


def _validate(record: pb.UpstreamRecord) -> pb.UpstreamRecord:
    """Return the record, marked as unreadable if its entry is unusable."""
    if record.state in _NAME_ONLY_STATES or _is_usable(record):
        return record
    return _with_state(record, UNREADABLE, record.revision)


def _is_upgraded(
    view: upstream_view.UpstreamView, record: pb.UpstreamRecord
) -> bool:
    """Return whether a record states another software version of a run.

    A process has one version for its life, so this is another run, although
    the platform does not say when it started.
    """
    if record.state in _NAME_ONLY_STATES:
        return False
    return record.upstream.version != view.version


def _may_be_outdated(
    view: upstream_view.UpstreamView, record: pb.UpstreamRecord
) -> bool:
    """Return whether a record may show a state from before the known one.

    The first record of an era may come from the copy that the store returned
    from.
    """
    if view.record.state not in (LEAVING, GONE):
        return False
    known_era = revisions.era_of(view.record.revision)
    return revisions.era_of(record.revision) > known_era


def _is_usable(record: pb.UpstreamRecord) -> bool:
    upstream = record.upstream
    is_complete = upstream.service and upstream.slots > 0
    return bool(is_complete) and addresses.is_usable(upstream.address)


def _with_state(
    record: pb.UpstreamRecord,
    state: pb.UpstreamState,
    revision: int,
    doubted_ms: int = 0,
) -> pb.UpstreamRecord:
    """Return a copy of `record` with another state and revision."""
    changed = pb.UpstreamRecord()
    changed.CopyFrom(record)
    changed.state, changed.revision = state, revision
    changed.doubted_ms = doubted_ms
    return changed
