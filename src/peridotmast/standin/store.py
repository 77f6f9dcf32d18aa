"""Stand-in for the platform's metadata store, over its published protocol."""

from __future__ import annotations

import collections
import json
import typing as ty
import urllib.parse

from peridotmast import clock as clock_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.standin import faulty_app
from peridotmast.standin import http_standin
from peridotmast.standin import raw_text
from peridotmast import web
from peridotmast.wire import caller_connection

Json = dict[str, ty.Any]

_PAGE_SIZE = 500
_POLL_INTERVAL_MS = 20
_COPIES_MS = 10_000
"""Maximum age of the copies that the store can return from."""

_FOREIGN_KINDS = (names.CONFIG_KIND, names.UPSTREAM_KIND, names.ROLLOUT_KIND)
"""Kinds that operators and upstreams write; these write again what the store
has lost."""

_Objects = dict[str, dict[str, Json]]


class _Change(ty.NamedTuple):
    revision: int
    kind: str
    body: Json
    deleted: bool


class _Copy(ty.NamedTuple):
    at: int
    """Time of the copy, in ms."""
    objects: _Objects
    revision: int


class _StoreApp(faulty_app.FaultyApp):
    """Names the era of the store in each answer."""

    def __init__(self, seed: int) -> None:
        super().__init__('store', seed)
        self.era = 0

    def _answer(
        self,
        environ: dict[str, ty.Any],
        conn: caller_connection.CallerConnection,
    ) -> web.Response:
        response = super()._answer(environ, conn)
        response.headers.append((names.ERA, str(self.era)))
        return response


class StoreStandin(http_standin.HttpStandin[_StoreApp]):
    """Objects by kind and name, with one revision counter and a history.

    The store can return from a copy of its state some seconds ago, without
    what routers have written since.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on; port 0 selects a free one.
    seed : int
        Seed of the injected faults.
    """

    def __init__(self, address: str = '127.0.0.1:0', seed: int = 0) -> None:
        super().__init__(_StoreApp(seed), address)
        self._clock = clock_.SystemClock()
        self._objects: _Objects = {}
        self._revision = 0
        self._copies: collections.deque[_Copy] = collections.deque()
        self._history: collections.deque[_Change] = collections.deque()
        self._history_start = 0
        self._changed = green.Event()
        self.writes: collections.Counter[str] = collections.Counter()
        """Number of writes that changed an object, by kind."""
        kind = f'{names.OBJECTS_PATH}/([^/]+)'
        self.app.route('GET', kind, self._list_or_watch)
        self.app.route('POST', kind, self._create)
        self.app.route('GET', f'{kind}/([^/]+)', self._get)
        self.app.route('PUT', f'{kind}/([^/]+)', self._replace)
        self.app.route(
            'PUT', f'{kind}/([^/]+)/{names.STATUS}', self._replace_status
        )
        self.app.route('DELETE', f'{kind}/([^/]+)', self._delete)

    def put(
        self, kind: str, name: str, spec: ty.Union[Json, raw_text.RawText]
    ) -> int:
        """Write an object unconditionally; return its revision.

        A raw text is shown in the place of the value, as the platform's store
        shows bytes that are not JSON.
        """
        return self._write(kind, name, spec)[names.META][names.REVISION]

    def delete(self, kind: str, name: str) -> None:
        """Delete an object, if it exists."""
        body = self._objects.get(kind, {}).pop(name, None)
        if body is not None:
            self._record_change(kind, body, deleted=True)

    def spec(self, kind: str, name: str) -> ty.Optional[Json]:
        """Return the spec of an object, or None if there is no such object."""
        body = self._objects.get(kind, {}).get(name)
        return body[names.SPEC] if body else None

    def status(self, kind: str, name: str) -> ty.Optional[Json]:
        """Return the status of an object, or None if it has none."""
        body = self._objects.get(kind, {}).get(name)
        return body[names.STATUS] if body else None

    def object_names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def compact(self) -> None:
        """Discard the history; watches from an earlier revision get a 410."""
        self._history.clear()
        self._history_start = self._revision

    def come_back(self, age_ms: int) -> None:
        """Return from a copy that is `age_ms` old, or from the oldest one.

        What operators and upstreams have written since is written again, as
        new writes. A watch that already waits goes on waiting.
        """
        now, known = self._clock.now(), self._objects
        older = (c for c in reversed(self._copies) if c.at <= now - age_ms)
        found = next(older, self._copies[0] if self._copies else None)
        if found is None:
            return
        self._objects = {k: dict(v) for k, v in found.objects.items()}
        self._revision = self._history_start = found.revision
        self._history.clear()
        self._copies.clear()
        self.app.era += 1
        for kind in _FOREIGN_KINDS:
            self._write_again(kind, known.get(kind, {}))

    def _write_again(self, kind: str, known: dict[str, Json]) -> None:
        for name in self.object_names(kind):
            if name not in known:
                self.delete(kind, name)
        for name, body in known.items():
            self.put(kind, name, body[names.SPEC])

    def _list_or_watch(self, req: web.Request, kind: str) -> web.Response:
        kind = urllib.parse.unquote(kind)
        if names.WATCH in req.query:
            return self._watch(req, kind)
        after = urllib.parse.unquote(req.query.get(names.AFTER, ''))
        found = [
            self._objects[kind][name]
            for name in self.object_names(kind)
            if name > after
        ]
        return _json_response(
            {
                names.ITEMS: found[:_PAGE_SIZE],
                names.HAS_MORE: len(found) > _PAGE_SIZE,
                names.AT_REVISION: self._revision,
            }
        )

    def _watch(self, req: web.Request, kind: str) -> web.Response:
        since = int(req.query[names.WATCH])
        wait_ms = int(req.query.get(names.WAIT_MS, 0))
        deadline = self._clock.now() + wait_ms
        if since > self._revision:
            return web.error_response(410, 'gone', 'history')
        while True:
            if self.app.in_outage():
                return web.error_response(503, 'outage', 'fault')
            if since < self._history_start:
                return web.error_response(410, 'gone', 'history')
            events = [
                {names.OBJECT: change.body, names.DELETED: change.deleted}
                for change in self._history
                if change.revision > since and change.kind == kind
            ]
            if events or self._clock.now() >= deadline:
                body = {
                    names.EVENTS: events,
                    names.AT_REVISION: self._revision,
                }
                return _json_response(body)
            green.sleep_ms(_POLL_INTERVAL_MS)

    def _get(self, req: web.Request, kind: str, name: str) -> web.Response:
        body = self._find(kind, name)
        if body is None:
            return web.error_response(404, 'missing', name)
        return _json_response(body)

    def _create(self, req: web.Request, kind: str) -> web.Response:
        requested = req.json()
        name = requested[names.META]['name']
        existing = self._find(kind, name)
        if existing is not None:
            return _json_response(existing, 409)
        return _json_response(
            self._write(
                urllib.parse.unquote(kind), name, requested[names.SPEC]
            )
        )

    def _replace(self, req: web.Request, kind: str, name: str) -> web.Response:
        requested = req.json()
        existing = self._find(kind, name)
        if existing is None:
            return web.error_response(404, 'missing', name)
        revision = requested[names.META].get(names.REVISION)
        if revision not in (None, existing[names.META][names.REVISION]):
            return _json_response(existing, 409)
        return _json_response(
            self._write(
                urllib.parse.unquote(kind),
                urllib.parse.unquote(name),
                requested[names.SPEC],
            )
        )

    def _replace_status(
        self, req: web.Request, kind: str, name: str
    ) -> web.Response:
        requested = req.json()
        existing = self._find(kind, name)
        if existing is None:
            return web.error_response(404, 'missing', name)
        revision = requested[names.META].get(names.REVISION)
        if revision not in (None, existing[names.META][names.REVISION]):
            return _json_response(existing, 409)
        status = requested[names.STATUS]
        if existing[names.STATUS] == status:
            return _json_response(existing)
        kind = urllib.parse.unquote(kind)
        meta = {
            **existing[names.META],
            names.REVISION: self._revision + 1,
        }
        body = {**existing, names.META: meta, names.STATUS: status}
        self._objects[kind][existing[names.META]['name']] = body
        self.writes[f'{kind}/{names.STATUS}'] += 1
        self._record_change(kind, body)
        return _json_response(body)

    def _delete(self, req: web.Request, kind: str, name: str) -> web.Response:
        existing = self._find(kind, name)
        if existing is None:
            return web.error_response(404, 'missing', name)
        revision = int(req.query.get(names.REVISION, 0))
        if revision and revision != existing[names.META][names.REVISION]:
            return _json_response(existing, 409)
        self.delete(urllib.parse.unquote(kind), urllib.parse.unquote(name))
        return _json_response(existing)

    def _find(self, kind: str, name: str) -> ty.Optional[Json]:
        objects = self._objects.get(urllib.parse.unquote(kind), {})
        return objects.get(urllib.parse.unquote(name))

    def _write(
        self, kind: str, name: str, spec: ty.Union[Json, raw_text.RawText]
    ) -> Json:
        objects = self._objects.setdefault(kind, {})
        existing = objects.get(name)
        if existing is not None and existing[names.SPEC] == spec:
            return existing
        self.writes[kind] += 1
        body = {
            names.META: {
                'name': name,
                names.REVISION: self._revision + 1,
                'created': self._clock.wall_time(),
                'finalizers': [],
                'deleting': False,
            },
            names.SPEC: _copy(spec),
            names.STATUS: existing[names.STATUS] if existing else None,
        }
        objects[name] = body
        self._record_change(kind, body)
        return body

    def _record_change(
        self, kind: str, body: Json, deleted: bool = False
    ) -> None:
        self._revision += 1
        if deleted:
            meta = {**body[names.META], names.REVISION: self._revision}
            body = {**body, names.META: meta}
        self._history.append(_Change(self._revision, kind, body, deleted))
        self._keep_copy()

    def _keep_copy(self) -> None:
        now = self._clock.now()
        copied = {kind: dict(found) for kind, found in self._objects.items()}
        self._copies.append(_Copy(now, copied, self._revision))
        while self._copies[0].at < now - _COPIES_MS:
            self._copies.popleft()


def _json_response(value: ty.Any, status: int = 200) -> web.Response:
    return web.Response(status, raw_text.encode(value))


def _copy(spec: ty.Union[Json, raw_text.RawText]) -> ty.Any:
    """Return a copy of a value, which its writer may change later."""
    if isinstance(spec, raw_text.RawText):
        return spec
    return json.loads(json.dumps(spec))
