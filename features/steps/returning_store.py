"""A platform's store that may come back from a copy, without a network.

Each router reads and writes it through a client of its own, which is the real
one but for its connections.
"""

from __future__ import annotations

import copy
import json

from peridotmast.coordination import outage as outage_
from peridotmast.coordination import store_era
from peridotmast import failures
from peridotmast.platform import names
from peridotmast.platform import store as store_
from peridotmast.wire import http_client

ERA = 'Store-Era'
LAPSE_MS = 2000


class ReturningStore:
    """Objects by kind and name, one revision counter, and copies of both.

    `is_down` fails every call. `lose_replies` applies the next writes without
    a reply, `delay_writes` holds them back until `apply_delayed_writes`.
    `returns_at_write` lets the store come back just before the next write,
    `returns_after_page` just after the next page of a listing.

    Parameters
    ----------
    era : int
        First era; the store names none while it is 0.
    """

    def __init__(self, era=0):
        self.era = era
        self.revision = 0
        self.is_down = False
        self.lose_replies = 0
        self.delay_writes = 0
        self.returns_at_write = False
        self.returns_after_page = False
        self.page_size = 500
        self.calls = 0
        self._objects = {}
        self._copy = {}, 0
        self._delayed = []

    def client(self, clock):
        """Return the client of one router."""
        outage = outage_.OutageTracker(clock, LAPSE_MS)
        era = store_era.StoreEra(clock)
        store = store_.PlatformStore('10.1.0.1:1', 1500, outage, era)
        store._http = _Http(self)
        store._clock = clock
        return store

    def take_copy(self):
        """Copy the state that a later `come_back` restores."""
        self._copy = copy.deepcopy(self._objects), self.revision

    def come_back(self):
        """Restore the copy, as if the store had lost all later writes."""
        objects, self.revision = self._copy
        self._objects = copy.deepcopy(objects)
        self.era += 1

    def apply_delayed_writes(self):
        """Apply the delayed writes whose condition holds now."""
        delayed, self._delayed = self._delayed, []
        for call in delayed:
            self._write(*call)

    def names_of(self, kind):
        """Return the names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def spec(self, kind, name):
        """Return the spec of an object, or None."""
        found = self._objects.get(kind, {}).get(name)
        return found[names.SPEC] if found else None

    def put(self, kind, name, spec):
        """Write an object as the operator or an upstream does."""
        self.revision += 1
        meta = {'name': name, names.REVISION: self.revision}
        stored = {names.META: meta, names.SPEC: spec}
        self._objects.setdefault(kind, {})[name] = stored
        return stored

    def answer(self, status, document):
        """Return a response that names the era."""
        headers = [(ERA, str(self.era))] if self.era else []
        body = json.dumps(document).encode()
        return http_client.Response(status, headers, body)

    def request(self, method, path, body):
        """Answer a call, or return a failure."""
        self.calls += 1
        if self.is_down:
            return failures.unknown('no_answer')
        path, _, query = path.partition('?')
        kind, _, name = path[len(names.OBJECTS_PATH) + 1 :].partition('/')
        if method == 'GET':
            return self._read(kind, name, query)
        if self.delay_writes:
            self.delay_writes -= 1
            self._delayed.append((method, kind, name, body))
            return failures.unknown('no_answer')
        if self.returns_at_write:
            self.returns_at_write = False
            self.come_back()
        response = self._write(method, kind, name, body)
        if self.lose_replies:
            self.lose_replies -= 1
            return failures.unknown('no_answer')
        return response

    def _read(self, kind, name, query):
        objects = self._objects.get(kind, {})
        if name:
            status = 200 if name in objects else 404
            return self.answer(status, objects.get(name, {}))
        options = dict(o.split('=') for o in query.split('&') if o)
        since = int(options.get(names.WATCH, 0))
        if since > self.revision:
            return self.answer(410, {})
        found = [
            stored
            for stored in objects.values()
            if stored[names.META][names.REVISION] > since
        ]
        document = {names.AT_REVISION: self.revision}
        if names.WATCH in options:
            document[names.EVENTS] = [
                {names.OBJECT: stored, names.DELETED: False}
                for stored in found
            ]
        else:
            document.update(self._page(objects, options.get(names.AFTER, '')))
        response = self.answer(200, document)
        if self.returns_after_page:
            self.returns_after_page = False
            self.come_back()
        return response

    def _page(self, objects, after):
        found = [objects[name] for name in sorted(objects) if name > after]
        return {
            names.ITEMS: found[: self.page_size],
            names.HAS_MORE: len(found) > self.page_size,
        }

    def _write(self, method, kind, name, body):
        name = name or body[names.META]['name']
        known = self._objects.get(kind, {}).get(name)
        revision = body[names.META].get(names.REVISION, 0)
        if (known[names.META][names.REVISION] if known else 0) != revision:
            return self.answer(409 if known else 404, known or {})
        return self.answer(200, self.put(kind, name, body[names.SPEC]))


class _Http:
    """The connections of one router to the store."""

    def __init__(self, store):
        self._store = store

    def request(self, method, address, path, body=None, **options):
        return self._store.request(method, path, body)

    def close(self):
        pass
