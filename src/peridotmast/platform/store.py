"""Client of the platform's metadata store."""

from __future__ import annotations

import dataclasses
import typing as ty
import urllib.parse

from peridotmast import clock as clock_
from peridotmast.coordination import objects
from peridotmast.coordination import outage as outage_
from peridotmast import failures
from peridotmast import logs
from peridotmast.platform import fields as fields_
from peridotmast.platform import names
from peridotmast.platform import object_codec
from peridotmast.wire import http_client

_PAGE_LIMIT = 1000
"""Pages of one listing; the store gives about 500 objects a page."""

_WATCH_SLACK_MS = 1500
"""How much longer than asked a watch's answer may take to begin."""

_ANSWER_MS = 20_000
"""Longest time in which a large answer comes in, as long as bytes keep
coming. The largest value, 1 MB, takes 1.7 s alone on the thinnest link,
5 Mbit/s, and this long where callers' streams leave a twelfth of it."""

_WAITED_MS = 1000
"""A watch that fails later than this was cut off while it waited, which says
nothing about the store."""

PROBE_KIND = 'peridotmast-probes'
"""Kind that has no objects: an answer about it is the shortest there is."""

_REFUSALS = frozenset((429, 500, 503))
_TAKEN = 409
_HISTORY_GONE = 410


class PlatformStore:
    """The platform's objects over its published protocol.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    timeout_ms : int
        Bound on a write; of what is read, on silence.
    outage : outage.OutageTracker
        Told how each call went.
    """

    def __init__(
        self, address: str, timeout_ms: int, outage: outage_.OutageTracker
    ) -> None:
        self.address = address
        """Where the store is."""
        self._http = http_client.HttpClient(timeout_ms)
        self._timeout_ms = timeout_ms
        self._outage = outage
        self._clock = clock_.SystemClock()
        self._log = logs.get('store')
        self.calls = 0
        """Calls made so far, a waiting watch counted as one."""

    def read(
        self, kind: str, name: str
    ) -> ty.Union[objects.StoredObject, failures.Failure]:
        """Return an object; one without a value where there is none."""
        reply = self._read(_path(kind, name))
        if isinstance(reply, failures.Failure):
            return reply
        if reply.status == 404:
            return objects.StoredObject(name, 0)
        return _stored_reply(reply)

    def list(self, kind: str) -> ty.Union[objects.Listing, failures.Failure]:
        """Return all objects of a kind."""
        found: list[objects.StoredObject] = []
        path = _path(kind)
        revision = 0
        for _ in range(_PAGE_LIMIT):
            reply = self._read(path)
            if isinstance(reply, failures.Failure):
                return reply
            page = _page(reply, names.ITEMS)
            if isinstance(page, failures.Failure):
                return page
            # A change between two pages is seen again by who watches from
            # the first one's revision, and missed from the last one's.
            revision = revision or page.revision
            found += self._readable(
                kind, (object_codec.parse_object(item) for item in page.parts)
            )
            if not page.more:
                return objects.Listing(found, revision)
            if not found:
                return failures.unavailable('store_garbled', kind)
            path = f'{_path(kind)}?after={_quoted(found[-1].name)}'
        return failures.unavailable('too_many_pages', kind)

    def watch(
        self,
        kind: str,
        since: int,
        wait_ms: int,
        on_bytes: ty.Callable[[], None] = lambda: None,
    ) -> ty.Union[objects.Changes, failures.Failure]:
        """Wait for changes after revision `since`, at most `wait_ms`.

        Parameters
        ----------
        on_bytes : callable, optional
            Called as bytes of the answer come.
        """
        reply = self._read(
            f'{_path(kind)}?{names.WATCH}={since}&{names.WAIT_MS}={wait_ms}',
            timeout_ms=wait_ms + _WATCH_SLACK_MS,
            on_bytes=on_bytes,
        )
        if isinstance(reply, failures.Failure):
            return reply
        if reply.status == _HISTORY_GONE:
            return failures.missing(objects.HISTORY_GONE, str(since))
        page = _page(reply, names.EVENTS)
        if isinstance(page, failures.Failure):
            return page
        changed = self._readable(kind, map(_changed, page.parts))
        return objects.Changes([*changed], page.revision)

    def write(
        self, kind: str, name: str, spec: objects.Json, revision: int
    ) -> ty.Union[objects.StoredObject, failures.Failure]:
        """Write where the object is still at `revision` (0: not there)."""
        if revision:
            meta = {'name': name, names.REVISION: revision, 'finalizers': []}
            reply = self._call(
                'PUT', _path(kind, name), {names.META: meta, names.SPEC: spec}
            )
        else:
            body = {names.META: {'name': name}, names.SPEC: spec}
            reply = self._call('POST', _path(kind), body)
        return _written(reply, name)

    def remove(
        self, kind: str, name: str, revision: int
    ) -> ty.Optional[failures.Failure]:
        """Remove an object that is still at `revision`."""
        path = f'{_path(kind, name)}?{names.REVISION}={revision}'
        result = _written(self._call('DELETE', path), name)
        return result if isinstance(result, failures.Failure) else None

    def probe(self) -> None:
        """Ask whether the store answers; the outage is told.

        By a read that may be old: it costs a tenth of another one and does
        not count toward the rate at which the store refuses.
        """
        self._call('GET', f'{_path(PROBE_KIND)}?{names.ALLOW_STALE}=1')

    def close(self) -> None:
        """Close the kept connections."""
        self._http.close()

    def _readable(
        self,
        kind: str,
        found: ty.Iterable[ty.Optional[objects.StoredObject]],
    ) -> ty.Iterator[objects.StoredObject]:
        """Yield the objects that can be told apart; note the others."""
        for stored in found:
            if stored is None:
                self._log.error('object_unreadable', kind=kind)
            else:
                yield stored

    def _read(
        self,
        path: str,
        timeout_ms: int = 0,
        on_bytes: ty.Callable[[], None] = lambda: None,
    ) -> ty.Union[http_client.Response, failures.Failure]:
        """Ask for what may be large: only silence ends it.

        Writes are bounded as a whole: what they are about may be over by
        then, such as the time for which a lease was held.
        """
        return self._call(
            'GET',
            path,
            timeout_ms=timeout_ms,
            body_timeout_ms=_ANSWER_MS,
            on_bytes=on_bytes,
        )

    def _call(
        self,
        method: str,
        path: str,
        body: ty.Any = None,
        timeout_ms: int = 0,
        body_timeout_ms: int = 0,
        on_bytes: ty.Callable[[], None] = lambda: None,
    ) -> ty.Union[http_client.Response, failures.Failure]:
        self.calls += 1
        began = self._clock.now()
        reply = self._http.request(
            method,
            self.address,
            path,
            body,
            timeout_ms=timeout_ms or self._timeout_ms,
            body_timeout_ms=body_timeout_ms,
            on_bytes=on_bytes,
        )
        ms = self._clock.now() - began
        if isinstance(reply, failures.Failure):
            waited = bool(timeout_ms) and ms > _WAITED_MS
            if not waited:
                self._outage.record_failure(reply.reason, ms)
        elif reply.status in _REFUSALS:
            self._outage.record_failure(str(reply.status))
        else:
            self._outage.record_answer()
        return reply


def _written(
    reply: ty.Union[http_client.Response, failures.Failure], name: str
) -> ty.Union[objects.StoredObject, failures.Failure]:
    """Return the object as it is after a write, or what is known of it."""
    if isinstance(reply, failures.Failure):
        # A write without a reply may have been done, or may be done later.
        return failures.unknown(reply.reason, reply.detail)
    if reply.status == _TAKEN:
        return failures.conflict('changed', name)
    if reply.status == 404:
        return failures.missing('no_object', name)
    if reply.status in (429, 503):
        return failures.not_run('store_busy', str(reply.status))
    if reply.status not in (200, 201, 204):
        return failures.unknown('store_error', str(reply.status))
    if not reply.body:
        return objects.StoredObject(name, 0)
    return _stored_reply(reply)


def _stored_reply(
    reply: http_client.Response,
) -> ty.Union[objects.StoredObject, failures.Failure]:
    if reply.status not in (200, 201):
        return failures.unavailable('store_refused', str(reply.status))
    try:
        stored = object_codec.parse_object(reply.json())
    except ValueError as exc:
        return failures.unavailable('store_garbled', str(exc)[:200])
    return stored or failures.unavailable('store_garbled', 'no object')


@dataclasses.dataclass(frozen=True)
class _Page:
    """An answer with objects or events in it."""

    parts: list[ty.Any]
    revision: int
    more: bool


def _page(
    reply: http_client.Response, key: str
) -> ty.Union[_Page, failures.Failure]:
    if reply.status not in (200, 201):
        return failures.unavailable('store_refused', str(reply.status))
    try:
        body = object_codec.parse_list(reply.body, key)
        fields = fields_.Fields(body, 'answer')
        revision = fields.integer(names.AT_REVISION)
        fields.raise_if_malformed()
    except ValueError as exc:
        return failures.unavailable('store_garbled', str(exc)[:200])
    return _Page(body[key], revision, bool(body.get(names.HAS_MORE)))


def _changed(event: ty.Any) -> ty.Optional[objects.StoredObject]:
    if not isinstance(event, dict):
        return None
    deleted = bool(event.get(names.DELETED))
    return object_codec.parse_object(event.get(names.OBJECT), deleted)


def _path(kind: str, name: str = '') -> str:
    path = f'{names.OBJECTS_PATH}/{_quoted(kind)}'
    return f'{path}/{_quoted(name)}' if name else path


def _quoted(text: str) -> str:
    return urllib.parse.quote(text, safe='')
