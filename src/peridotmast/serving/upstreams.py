"""The upstreams that requests may go to, and what is known of each."""

from __future__ import annotations

import typing as ty

from peridotmast import addresses
from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstream_view

LIVE = upstream_view.LIVE
LEAVING = upstream_view.LEAVING
GONE = upstream_view.GONE
LAPSED = upstream_view.LAPSED
UNREADABLE = upstream_view.UNREADABLE

_FORGET_MS = 60_000
"""How long a gone upstream is remembered, so that a peer that is behind does
not bring it back."""

_DOUBT_SHARE = 0.6
"""Part of the time in which a leaving upstream may get work for which one
whose entry is missing does: news has a way to go, and work too."""

_NEVER = 1 << 62
"""Moment that does not come, in ms."""

_LAPSE_SLACK_MS = 300
"""Allowed beside the platform's own figure for entries to come back."""


Listener = ty.Callable[[upstream_view.UpstreamView], None]


class UpstreamTable:
    """Upstreams by name; of two statements the one with more revision holds.

    A statement on a later run under the same name begins a view of its own,
    and one on an earlier run changes nothing any more, whatever revision it
    has: a write of a run that has ended may still come to the store.

    An upstream whose entry is missing since an outage may only have been
    unable to renew it. It gets new work for a part of the time in which a
    leaving one may, and counts as gone when it is not back in the time that
    the platform states. Each router counts that by itself, from when the
    first one that tells of it heard, so that none depends on another one's
    saying so.

    Parameters
    ----------
    clock : clock.Clock
        Times health, lapses and forgetting.
    drain_ms : int
        Time after which a leaving upstream may get no new work.
    lapse_ms : int
        Time in which entries come back after an outage.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        drain_ms: int = 2000,
        lapse_ms: int = 2000,
    ) -> None:
        self._clock = clock
        self._doubt_ms = int(drain_ms * _DOUBT_SHARE)
        self._lapse_ms = lapse_ms + _LAPSE_SLACK_MS
        self._views: dict[str, upstream_view.UpstreamView] = {}
        self._busy: set[upstream_view.UpstreamView] = set()
        self._off: dict[str, upstream_view.UpstreamView] = {}
        self._told: dict[str, set[str]] = {}
        self._by_service: ty.Optional[
            dict[str, list[upstream_view.UpstreamView]]
        ] = None
        self._sure_until = 0
        self._listeners: list[Listener] = []
        self._end_listeners: list[Listener] = []
        self.revision = 0
        """The newest revision among the statements taken in."""

    def listen(self, listener: Listener) -> None:
        """Call `listener` with each upstream whose state changed."""
        self._listeners.append(listener)

    def listen_replacements(self, listener: Listener) -> None:
        """Call `listener` with each view whose run has ended.

        Another run has begun under its name: the work that was sent to it
        is lost.
        """
        self._end_listeners.append(listener)

    def merge(self, record: pb.UpstreamRecord) -> bool:
        """Take a statement in; say whether it was news."""
        self.revision = max(self.revision, record.revision)
        record = _checked(record)
        view = self._views.get(record.upstream.name)
        if view is None:
            return self._begin(record)
        born = record.upstream.born
        if born and view.born and born != view.born:
            return born > view.born and self._begin_anew(view, record)
        if record.revision <= view.record.revision:
            return False
        if record.state in _NAME_ONLY:
            state = record.state
            if state != UNREADABLE and view.record.state in (LEAVING, GONE):
                state = GONE
            record = _changed(
                view.record, state, record.revision, record.doubted_ms
            )
        self._put(view, record)
        return True

    def tick(self) -> list[upstream_view.UpstreamView]:
        """Give up those whose entry did not come back; return them."""
        limit = self._clock.now() - self._lapse_ms
        late = [
            view for view in self._lapsed() if view.not_live_since <= limit
        ]
        for view in late:
            gone = _changed(view.record, GONE, view.record.revision)
            self._put(view, gone)
        return late

    def merge_all(self, records: ty.Iterable[pb.UpstreamRecord]) -> None:
        """Take many statements in."""
        for record in records:
            self.merge(record)

    def records_since(self, revision: int) -> list[pb.UpstreamRecord]:
        """Return what is said of upstreams after a revision, for a peer."""
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
        """Return every upstream, gone ones too."""
        return list(self._views.values())

    def live(self, service: str) -> ty.Sequence[upstream_view.UpstreamView]:
        """Return the upstreams of `service` that may get new work.

        Those in doubt for long are used only where there is no other one:
        that all of a service's leave in an outage is less likely than that
        none could renew its entry.

        Returns
        -------
        sequence of upstream_view.UpstreamView
            The same object until an upstream comes or goes.
        """
        if self._by_service is None or self._clock.now() >= self._sure_until:
            self._by_service = self._live_by_service()
        return self._by_service.get(service, ())

    def local_loads(self) -> list[pb.UpstreamLoad]:
        """Return this router's work at each upstream that has some."""
        return [
            self.local_load(view)
            for view in self._busy
            if self._views.get(view.name) is view
        ]

    def local_load(self, view: upstream_view.UpstreamView) -> pb.UpstreamLoad:
        """Return this router's work at one upstream."""
        return pb.UpstreamLoad(
            upstream=view.name,
            running=view.local_load.running,
            unread=view.local_load.unread,
            memory=view.local_load.memory,
            born=view.born,
        )

    def set_peer_load(self, router: str, load: pb.UpstreamLoad) -> None:
        """Take in another router's work at one upstream."""
        if not self._is_of_this_run(load):
            return
        self._views[load.upstream].set_peer_load(
            router,
            upstream_view.Load(load.running, load.unread, load.memory),
        )
        self._told.setdefault(router, set()).add(load.upstream)

    def set_peer_loads(
        self, router: str, loads: ty.Iterable[pb.UpstreamLoad]
    ) -> None:
        """Take in another router's work, all of it at once.

        Costs what that router has work at, however many upstreams there are.
        """
        theirs = {
            load.upstream: load for load in loads if self._is_of_this_run(load)
        }
        for name in self._told.pop(router, set()) - theirs.keys():
            if name in self._views:
                self._views[name].set_peer_load(router, upstream_view.Load())
        for name, load in theirs.items():
            if name in self._views:
                self._views[name].set_peer_load(
                    router,
                    upstream_view.Load(load.running, load.unread, load.memory),
                )
        if theirs:
            self._told[router] = set(theirs)

    def _is_of_this_run(self, load: pb.UpstreamLoad) -> bool:
        view = self._views.get(load.upstream)
        if view is None:
            return False
        return not (load.born and view.born) or load.born == view.born

    def retain_peer_loads(self, routers: ty.Collection[str]) -> None:
        """Drop the work of all routers but these: they are silent."""
        for router in [r for r in self._told if r not in routers]:
            self.set_peer_loads(router, ())

    def remove_gone(self) -> None:
        """Drop upstreams that are gone for long."""
        limit = self._clock.now() - _FORGET_MS
        old = [
            name
            for name, view in self._off.items()
            if view.record.state in (GONE, UNREADABLE)
            and view.not_live_since < limit
        ]
        for name in old:
            del self._views[name]
            del self._off[name]

    def _begin(self, record: pb.UpstreamRecord) -> bool:
        """Take in the first statement on an upstream."""
        if record.state in (GONE, UNREADABLE) or not _is_usable(record):
            return False
        view = upstream_view.UpstreamView(record, self._clock, self._busy)
        self._views[view.name] = view
        self._put(view, record)
        return True

    def _begin_anew(
        self, ended: upstream_view.UpstreamView, record: pb.UpstreamRecord
    ) -> bool:
        """Take in the first statement on a later run of an upstream."""
        self._off.pop(ended.name, None)
        ended.update(_changed(ended.record, GONE, ended.record.revision))
        for routers in self._told.values():
            routers.discard(ended.name)
        begun = self._begin(record)
        for listener in self._end_listeners:
            listener(ended)
        return begun

    def _put(
        self, view: upstream_view.UpstreamView, record: pb.UpstreamRecord
    ) -> None:
        view.update(record)
        if record.state == LIVE:
            view.not_live_since = 0
            self._off.pop(view.name, None)
        else:
            heard = self._clock.now() - max(0, record.doubted_ms)
            view.not_live_since = view.not_live_since or heard
            self._off[view.name] = view
        self._by_service = None
        for listener in self._listeners:
            listener(view)

    def _lapsed(self) -> list[upstream_view.UpstreamView]:
        return [v for v in self._off.values() if v.record.state == LAPSED]

    def _live_by_service(self) -> dict[str, list[upstream_view.UpstreamView]]:
        """Sort the live upstreams, and note until when that holds."""
        limit = self._clock.now() - self._doubt_ms
        sure: dict[str, list[upstream_view.UpstreamView]] = {}
        unsure: dict[str, list[upstream_view.UpstreamView]] = {}
        for view in self._views.values():
            if view.is_available:
                kind = sure if view.is_confirmed(limit) else unsure
                kind.setdefault(view.service, []).append(view)
        in_doubt = (
            v.not_live_since for v in self._lapsed() if v.is_confirmed(limit)
        )
        self._sure_until = min(in_doubt, default=_NEVER) + self._doubt_ms
        return {**unsure, **sure}


_NAME_ONLY = frozenset((GONE, LAPSED, UNREADABLE))
"""States of which a statement says nothing but the name."""


def _checked(record: pb.UpstreamRecord) -> pb.UpstreamRecord:
    """Return the statement, as unreadable where it names nothing usable."""
    if record.state in _NAME_ONLY or _is_usable(record):
        return record
    return _changed(record, UNREADABLE, record.revision)


def _is_usable(record: pb.UpstreamRecord) -> bool:
    upstream = record.upstream
    there = upstream.service and upstream.slots > 0
    return bool(there) and addresses.is_usable(upstream.address)


def _changed(
    record: pb.UpstreamRecord,
    state: pb.UpstreamState,
    revision: int,
    doubted_ms: int = 0,
) -> pb.UpstreamRecord:
    """Return `record` with another state, said at `revision`."""
    changed = pb.UpstreamRecord()
    changed.CopyFrom(record)
    changed.state, changed.revision = state, revision
    changed.doubted_ms = doubted_ms
    return changed
