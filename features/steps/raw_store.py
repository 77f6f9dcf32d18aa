"""Store whose values are texts, which need not be JSON."""

from __future__ import annotations

import json
import urllib.parse

from peridotmast import clock as clock_
from peridotmast.coordination import outage as outage_
from peridotmast.platform import names
from peridotmast.platform import store as store_
from peridotmast.wire import http_client

META = {'created': 1, 'finalizers': [], 'deleting': False}
"""Metadata that no reader uses."""


class RawStore:
    """Replaces the HTTP calls of a store's client; shows values as they are.

    Lone surrogates in a value stand for bytes that are no UTF-8.

    Parameters
    ----------
    is_meta_first : bool
        Whether the metadata of an object precede its value.
    page_size : int
        Number of objects on a page.
    refused : dict of str and int, optional
        Number of calls that are refused because of the rate, by path.
    """

    def __init__(self, is_meta_first=True, page_size=500, refused=()):
        self.is_meta_first = is_meta_first
        self.page_size = page_size
        self.refused = dict(refused)
        self.revision = 0
        self.paths = []
        """Paths of all calls."""
        self.repeats_revisions = False
        """Whether a removal shows the revision of the object's last change."""
        self._objects = {}
        self._history = []

    def put(self, name, value):
        """Write an object with a text as its value; return its revision."""
        self.revision += 1
        self._objects[name] = self.revision, value
        self._record(name, self.revision, value, False)
        return self.revision

    def delete(self, name):
        """Remove an object, which the history shows with its last value."""
        self.revision += 1
        last, value = self._objects.pop(name)
        shown = last if self.repeats_revisions else self.revision
        self._record(name, shown, value, True)

    def text_of(self, name, revision, value):
        """Return the text of an object."""
        meta = json.dumps({'name': name, names.REVISION: revision, **META})
        parts = [
            f'"{names.META}":{meta}',
            f'"{names.SPEC}":{value}',
            f'"{names.STATUS}":null',
        ]
        if not self.is_meta_first:
            parts = [*parts[1:], parts[0]]
        return '{' + ','.join(parts) + '}'

    def texts(self):
        """Return the texts of all objects, by name."""
        return {
            name: self.text_of(name, *found)
            for name, found in sorted(self._objects.items())
        }

    def request(self, method, address, path, body=None, **options):
        """Answer a read of objects."""
        assert method == 'GET', method
        self.paths.append(path)
        if self.refused.get(path):
            self.refused[path] -= 1
            return http_client.Response(429, [], b'')
        parsed = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parsed.query))
        _, _, _, *name = parsed.path.split('/')
        if name:
            text = self.texts().get(urllib.parse.unquote(name[0]))
        elif names.WATCH in query:
            text = self._events(int(query[names.WATCH]))
        else:
            text = self._page(query.get(names.AFTER, ''))
        if text is None:
            return http_client.Response(404, [], b'')
        data = text.encode(errors='surrogateescape')
        return http_client.Response(200, [], data)

    def client(self):
        """Return a client of this store."""
        outage = outage_.OutageTracker(clock_.ManualClock(), 1000)
        client = store_.PlatformStore('127.0.0.1:1', 100, outage)
        client._http = self
        return client

    def _record(self, name, shown, value, deleted):
        text = self.text_of(name, shown, value)
        event = (
            f'{{"{names.DELETED}":{json.dumps(deleted)},'
            f'"{names.OBJECT}":{text}}}'
        )
        self._history.append((self.revision, event))

    def _page(self, after):
        found = [text for name, text in self.texts().items() if name > after]
        items = ','.join(found[: self.page_size])
        has_more = json.dumps(len(found) > self.page_size)
        return (
            f'{{"{names.ITEMS}":[{items}],"{names.HAS_MORE}":{has_more},'
            f'"{names.AT_REVISION}":{self.revision}}}'
        )

    def _events(self, since):
        events = ','.join(
            event for revision, event in self._history if revision > since
        )
        return (
            f'{{"{names.EVENTS}":[{events}],'
            f'"{names.AT_REVISION}":{self.revision}}}'
        )
