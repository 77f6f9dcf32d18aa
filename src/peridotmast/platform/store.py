"""Client of the platform's metadata store."""

from __future__ import annotations

import random
import typing as ty
import urllib.parse

from peridotmast import clock as clock_
from peridotmast.coordination import objects
from peridotmast.coordination import outage as outage_
from peridotmast.coordination import store_era
from peridotmast import failures
from peridotmast import green
from peridotmast import logs
from peridotmast.platform import change_reader
from peridotmast.platform import listing
from peridotmast.platform import names
from peridotmast.platform import store_answers
from peridotmast import revisions
from peridotmast.wire import http_client

_WATCH_SLACK_MS = 1500
"""Time beyond the requested wait until a watch response must begin, in ms."""

_BODY_TIMEOUT_MS = 20_000
"""Time-out of a response body that keeps making progress, in ms. The largest
value, 1 MB, takes 1.7 s on the slowest link, 5 Mbit/s, if nothing else uses
it, and 20 s if the streams of callers leave a twelfth of it."""

_WATCH_ESTABLISHED_MS = 1000
"""Time after which a failed watch does not count as a store failure, in ms. A
watch that fails later was established, and was interrupted while it waited for
changes."""

PROBE_KIND = 'peridotmast-probes'
"""Kind without objects, so that a probe gets the shortest response."""

_FAILURE_STATUSES = frozenset((429, 500, 503))
_TOO_MANY_CALLS = 429
_MAX_PAGE_ATTEMPTS = 6
_PAGE_PAUSE_MS = 100
"""Number of attempts to read one page while the store gets too many calls, and
mean pause after the first one, which grows by as much each time."""
_GONE = 410


class PlatformStore:
    """Reads, writes and watches objects over the platform's HTTP protocol.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    timeout_ms : int
        Time-out of a write, in ms. For a read, the time-out until the
        response begins and between two parts of its body.
    outage : outage.OutageTracker
        Records the outcome of each call.
    era : store_era.StoreEra, optional
        Records the era of each answer.
    """

    def __init__(
        self,
        address: str,
        timeout_ms: int,
        outage: outage_.OutageTracker,
        era: ty.Optional[store_era.StoreEra] = None,
    ) -> None:
        self.address = address
        """``IP:port`` of the store."""
        self._http = http_client.HttpClient(timeout_ms)
        self._timeout_ms = timeout_ms
        self._outage = outage
        self._clock = clock_.SystemClock()
        self.era = era or store_era.StoreEra(self._clock)
        """Newest era that an answer has named."""
        self._log = logs.get('store')
        self._random = random.Random()
        self.calls = 0
        """Number of calls made so far; a watch counts once."""

    def read(
        self, kind: str, name: str
    ) -> ty.Union[objects.StoredObject, failures.Failure]:
        """Return an object; one without a value if it does not exist."""
        response = self._read(_path(kind, name))
        if isinstance(response, failures.Failure):
            return response
        if response.status == 404:
            return objects.StoredObject(name, 0)
        return store_answers.parse_object(response, name)

    def list(self, kind: str) -> ty.Union[objects.Listing, failures.Failure]:
        """Return all objects of a kind."""

        def read_page(
            after: str,
        ) -> ty.Union[store_answers.Page, failures.Failure]:
            query = f'?{names.AFTER}={_quoted(after)}' if after else ''
            response = self._read_page(_path(kind) + query)
            if isinstance(response, failures.Failure):
                return response
            return store_answers.parse_page(response, names.ITEMS)

        return listing.ListReader(
            kind, read_page, lambda name: self.read(kind, name)
        ).read_all()

    def _read_page(
        self, path: str
    ) -> ty.Union[http_client.Response, failures.Failure]:
        """Read one page of a listing; wait while too many calls are made.

        When a whole large fleet starts, its listings exceed the store's rate.
        If each refused page began its listing anew, they would exceed it all
        the longer.
        """
        for attempt in range(_MAX_PAGE_ATTEMPTS):
            response = self._read(path)
            if isinstance(response, failures.Failure):
                return response
            if response.status != _TOO_MANY_CALLS:
                return response
            pause_ms = _PAGE_PAUSE_MS * (1 + attempt)
            green.sleep_ms(self._random.uniform(0.5, 1.5) * pause_ms)
        return response

    def watch(
        self,
        kind: str,
        since: int,
        wait_ms: int,
        on_bytes: ty.Callable[[], None] = lambda: None,
    ) -> ty.Union[objects.Changes, failures.Failure]:
        """Wait for changes after revision `since`, at most `wait_ms` ms.

        Parameters
        ----------
        on_bytes : callable, optional
            Called when bytes of the response arrive.
        """
        answer = self._read_events(kind, since, wait_ms, on_bytes)
        if isinstance(answer, failures.Failure):
            return answer
        return change_reader.ChangeReader(
            kind,
            since,
            lambda revision: self._read_events(kind, revision, 0, on_bytes),
            lambda name: self.read(kind, name),
        ).read_from(answer)

    def _read_events(
        self,
        kind: str,
        since: int,
        wait_ms: int,
        on_bytes: ty.Callable[[], None],
    ) -> ty.Union[store_answers.Page, failures.Failure]:
        """Read one answer with the events after a revision."""
        era, number = revisions.era_of(since), revisions.number_of(since)
        if era != self.era.number:
            return _history_gone(since)
        response = self._read(
            f'{_path(kind)}?{names.WATCH}={number}&{names.WAIT_MS}={wait_ms}',
            timeout_ms=wait_ms + _WATCH_SLACK_MS,
            on_bytes=on_bytes,
        )
        if isinstance(response, failures.Failure):
            return response
        if response.status == _GONE or store_answers.era_of(response) != era:
            return _history_gone(since)
        return store_answers.parse_page(response, names.EVENTS)

    def write(
        self, kind: str, name: str, spec: objects.Json, revision: int
    ) -> ty.Union[objects.StoredObject, failures.Failure]:
        """Write an object that is still at `revision` (0: does not exist)."""
        if not revision:
            body = {names.META: {'name': name}, names.SPEC: spec}
            return store_answers.write_result(
                self._call('POST', _path(kind), body), name
            )
        number = revisions.number_of(revision)
        meta = {'name': name, names.REVISION: number, 'finalizers': []}
        return self._write_conditionally(
            'PUT',
            _path(kind, name),
            {names.META: meta, names.SPEC: spec},
            name,
            revision,
        )

    def write_status(
        self, kind: str, name: str, status: objects.Json, revision: int
    ) -> ty.Union[objects.StoredObject, failures.Failure]:
        """Write the status of an object that is still at `revision`."""
        meta = {'name': name, names.REVISION: revisions.number_of(revision)}
        return self._write_conditionally(
            'PUT',
            f'{_path(kind, name)}/{names.STATUS}',
            {names.META: meta, names.STATUS: status},
            name,
            revision,
        )

    def remove(
        self, kind: str, name: str, revision: int
    ) -> ty.Optional[failures.Failure]:
        """Remove an object that is still at `revision`."""
        number = revisions.number_of(revision)
        path = f'{_path(kind, name)}?{names.REVISION}={number}'
        result = self._write_conditionally(
            'DELETE', path, None, name, revision
        )
        return result if isinstance(result, failures.Failure) else None

    def probe(self) -> None:
        """Check whether the store responds and record the outcome.

        A stale read is used, because it costs a tenth of a normal read and
        does not count toward the rate limit of the store.
        """
        self._call('GET', f'{_path(PROBE_KIND)}?{names.ALLOW_STALE}=1')

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    def _write_conditionally(
        self,
        method: str,
        path: str,
        body: ty.Any,
        name: str,
        revision: int,
    ) -> ty.Union[objects.StoredObject, failures.Failure]:
        """Write an object that is still at `revision`.

        The store compares the number alone. If it returned from an older copy
        while the call was under way, the number may have named another write,
        which this one has then replaced.
        """
        if revisions.era_of(revision) != self.era.number:
            return failures.conflict('earlier_era', name)
        result = store_answers.write_result(
            self._call(method, path, body), name
        )
        if isinstance(result, failures.Failure):
            return result
        if revisions.era_of(revision) != self.era.number:
            return failures.unknown('earlier_era', name)
        return result

    def _read(
        self,
        path: str,
        timeout_ms: int = 0,
        on_bytes: ty.Callable[[], None] = lambda: None,
    ) -> ty.Union[http_client.Response, failures.Failure]:
        """Send a read, whose response may be large.

        The body of the response has a separate time-out and may take long as
        long as it makes progress. Writes have one time-out for the whole
        call, because a late write may no longer be justified, for example
        after the lease that it depends on has expired.
        """
        return self._call(
            'GET',
            path,
            timeout_ms=timeout_ms,
            body_timeout_ms=_BODY_TIMEOUT_MS,
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
        start = self._clock.now()
        response = self._http.request(
            method,
            self.address,
            path,
            body,
            timeout_ms=timeout_ms or self._timeout_ms,
            body_timeout_ms=body_timeout_ms,
            on_bytes=on_bytes,
        )
        elapsed_ms = self._clock.now() - start
        if isinstance(response, failures.Failure):
            was_waiting = (
                bool(timeout_ms) and elapsed_ms > _WATCH_ESTABLISHED_MS
            )
            if not was_waiting:
                self._outage.record_failure(response.reason, elapsed_ms)
            return response
        is_current = self.era.record(store_answers.era_of(response))
        if response.status in _FAILURE_STATUSES:
            self._outage.record_failure(str(response.status))
            return response
        if not is_current:
            # Describes state that the store may have lost since.
            return failures.unavailable('earlier_era')
        self._outage.record_answer()
        return response


def _history_gone(since: int) -> failures.Failure:
    return failures.missing(objects.HISTORY_GONE, str(since))


def _path(kind: str, name: str = '') -> str:
    path = f'{names.OBJECTS_PATH}/{_quoted(kind)}'
    return f'{path}/{_quoted(name)}' if name else path


def _quoted(text: str) -> str:
    return urllib.parse.quote(text, safe='')
