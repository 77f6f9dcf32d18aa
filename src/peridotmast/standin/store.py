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
from peridotmast.standin import listening
from peridotmast import web

Json = dict[str, ty.Any]

_PAGE = 500
_LOOK_MS = 20


class _Change(ty.NamedTuple):
    revision: int
    kind: str
    body: Json
    deleted: bool


class StoreStandin(listening.Listening[faulty_app.FaultyApp]):
    """Objects by kind and name, with one revision and a history.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on; port 0 takes a free one.
    seed : int
        Seed of the faults.
    """

    def __init__(self, address: str = '127.0.0.1:0', seed: int = 0) -> None:
        super().__init__(faulty_app.FaultyApp('store', seed), address)
        self._clock = clock_.SystemClock()
        self._objects: dict[str, dict[str, Json]] = {}
        self._revision = 0
        self._history: collections.deque[_Change] = collections.deque()
        self._history_from = 0
        self._changed = green.Event()
        self.writes: collections.Counter[str] = collections.Counter()
        """Writes that took effect, by kind."""
        kind = f'{names.OBJECTS_PATH}/([^/]+)'
        self.app.route('GET', kind, self._list_or_watch)
        self.app.route('POST', kind, self._create)
        self.app.route('GET', f'{kind}/([^/]+)', self._get)
        self.app.route('PUT', f'{kind}/([^/]+)', self._replace)
        self.app.route('DELETE', f'{kind}/([^/]+)', self._delete)

    def put(self, kind: str, name: str, spec: Json) -> int:
        """Write an object whatever there is; return its revision."""
        return self._write(kind, name, spec)[names.META][names.REVISION]

    def drop(self, kind: str, name: str) -> None:
        """Remove an object, if it is there."""
        body = self._objects.get(kind, {}).pop(name, None)
        if body is not None:
            self._note(kind, body, deleted=True)

    def spec(self, kind: str, name: str) -> ty.Optional[Json]:
        """Return an object's value, or None."""
        body = self._objects.get(kind, {}).get(name)
        return body[names.SPEC] if body else None

    def names_of(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def compact(self) -> None:
        """Forget all history."""
        self._history.clear()
        self._history_from = self._revision

    def _list_or_watch(self, req: web.Request, kind: str) -> web.Response:
        kind = urllib.parse.unquote(kind)
        if names.WATCH in req.query:
            return self._watch(req, kind)
        after = urllib.parse.unquote(req.query.get(names.AFTER, ''))
        found = [
            self._objects[kind][name]
            for name in self.names_of(kind)
            if name > after
        ]
        return web.json_response(
            {
                names.ITEMS: found[:_PAGE],
                names.MORE: len(found) > _PAGE,
                names.AT: self._revision,
            }
        )

    def _watch(self, req: web.Request, kind: str) -> web.Response:
        since = int(req.query[names.WATCH])
        wait_ms = int(req.query.get(names.WAIT_MS, 0))
        deadline = self._clock.now() + wait_ms
        while True:
            if self.app.is_out():
                return web.error_response(503, 'outage', 'fault')
            if since < self._history_from:
                return web.error_response(410, 'gone', 'history')
            events = [
                {names.OBJECT: change.body, names.DELETED: change.deleted}
                for change in self._history
                if change.revision > since and change.kind == kind
            ]
            if events or self._clock.now() >= deadline:
                body = {names.EVENTS: events, names.AT: self._revision}
                return web.json_response(body)
            green.sleep_ms(_LOOK_MS)

    def _get(self, req: web.Request, kind: str, name: str) -> web.Response:
        body = self._find(kind, name)
        if body is None:
            return web.error_response(404, 'missing', name)
        return web.json_response(body)

    def _create(self, req: web.Request, kind: str) -> web.Response:
        given = req.json()
        name = given[names.META]['name']
        known = self._find(kind, name)
        if known is not None:
            return web.json_response(known, 409)
        return web.json_response(
            self._write(urllib.parse.unquote(kind), name, given[names.SPEC])
        )

    def _replace(self, req: web.Request, kind: str, name: str) -> web.Response:
        given = req.json()
        known = self._find(kind, name)
        if known is None:
            return web.error_response(404, 'missing', name)
        revision = given[names.META].get(names.REVISION)
        if revision not in (None, known[names.META][names.REVISION]):
            return web.json_response(known, 409)
        return web.json_response(
            self._write(
                urllib.parse.unquote(kind),
                urllib.parse.unquote(name),
                given[names.SPEC],
            )
        )

    def _delete(self, req: web.Request, kind: str, name: str) -> web.Response:
        known = self._find(kind, name)
        if known is None:
            return web.error_response(404, 'missing', name)
        revision = int(req.query.get(names.REVISION, 0))
        if revision and revision != known[names.META][names.REVISION]:
            return web.json_response(known, 409)
        self.drop(urllib.parse.unquote(kind), urllib.parse.unquote(name))
        return web.json_response(known)

    def _find(self, kind: str, name: str) -> ty.Optional[Json]:
        objects = self._objects.get(urllib.parse.unquote(kind), {})
        return objects.get(urllib.parse.unquote(name))

    def _write(self, kind: str, name: str, spec: Json) -> Json:
        objects = self._objects.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known[names.SPEC] == spec:
            return known
        self.writes[kind] += 1
        body = {
            names.META: {
                'name': name,
                names.REVISION: self._revision + 1,
                'created': self._clock.wall_time(),
                'finalizers': [],
                'deleting': False,
            },
            names.SPEC: json.loads(json.dumps(spec)),
            'status': None,
        }
        objects[name] = body
        self._note(kind, body)
        return body

    def _note(self, kind: str, body: Json, deleted: bool = False) -> None:
        self._revision += 1
        if deleted:
            meta = {**body[names.META], names.REVISION: self._revision}
            body = {**body, names.META: meta}
        self._history.append(_Change(self._revision, kind, body, deleted))
