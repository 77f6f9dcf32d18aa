"""Client of the platform's object API."""

from __future__ import annotations

import base64
import dataclasses
import random
import typing as ty
import urllib.parse

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast import http_client
from peridotmast import ids

_FIRST_BACKOFF_MS = 10
_LAST_BACKOFF_MS = 500


@dataclasses.dataclass(frozen=True)
class Stored:
    """An object as it was read or written."""

    key: str
    version: ids.Version
    """0 where there is no object."""
    value: ty.Optional[bytes]


Change = ty.Callable[[Stored], ty.Union[bytes, failures.Failure, None]]
"""Gets the object as it is; returns the new value, None to leave it as it
is, or a failure to give up."""


class ObjectStore:
    """Reads, conditional writes and watches.

    Parameters
    ----------
    address : str
        ``IP:port`` of the object API.
    timeout_ms : int
        Bound on one call.
    clock : clock.Clock
        Times the retries of `update`.
    """

    def __init__(
        self, address: str, timeout_ms: int, clock: clock_.Clock
    ) -> None:
        self._address = address
        self._http = http_client.HttpClient(timeout_ms)
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._jitter = random.Random()
        self.calls = 0
        """Calls made so far, a waiting watch counted as one."""

    def get(self, key: str) -> ty.Union[Stored, failures.Failure]:
        """Read one object; version 0 means that there is none."""
        reply = self._call('GET', _path(key))
        if isinstance(reply, failures.Failure):
            return reply
        if reply.status == 404:
            return Stored(key, ids.Version(0), None)
        if reply.status != 200:
            return _refused(reply)
        return Stored(key, _version(reply), reply.body)

    def put(
        self, key: str, value: bytes, version: ids.Version
    ) -> ty.Union[Stored, failures.Failure]:
        """Write where the object is still at `version` (0: not there).

        Returns
        -------
        Stored or Failure
            A conflict means that nothing was written; an unknown outcome
            means that it may have been.
        """
        reply = self._call('PUT', _path(key), value, _if_match(version))
        if isinstance(reply, failures.Failure):
            return failures.unknown(reply.reason, reply.detail)
        if reply.status == 412:
            return failures.conflict('changed', key)
        if reply.status == 429:
            return failures.not_run('quota', key, 1000)
        if reply.status != 200:
            return failures.unknown('platform_error', str(reply.status))
        return Stored(key, _version(reply), value)

    def delete(
        self, key: str, version: ids.Version
    ) -> ty.Optional[failures.Failure]:
        """Delete an object that is still at `version`."""
        reply = self._call('DELETE', _path(key), None, _if_match(version))
        if isinstance(reply, failures.Failure):
            return failures.unknown(reply.reason, reply.detail)
        return None if reply.status == 200 else _refused(reply)

    def update(
        self, key: str, change: Change, patience_ms: int
    ) -> ty.Union[Stored, failures.Failure]:
        """Apply `change` until it took effect or `patience_ms` are over.

        Every try starts from a fresh read, so a write whose reply was lost
        is settled by what `change` finds: it must recognise its own work
        and return None for it.

        Returns
        -------
        Stored or Failure
            The object with the change in it. A failure of kind
            OUTCOME_UNKNOWN means that a write may have taken effect.
        """
        deadline = self._clock.now() + patience_ms
        backoff = _FIRST_BACKOFF_MS
        unsure: ty.Optional[failures.Failure] = None
        while True:
            result = self._try_update(key, change)
            if not isinstance(result, failures.Failure):
                return result
            kind = result.kind
            if kind is failures.FailureKind.OUTCOME_UNKNOWN:
                unsure = result
            elif result.reason not in ('changed', 'quota', *_TRANSIENT):
                return result
            if self._clock.now() + backoff >= deadline:
                return unsure or result
            self._pause(backoff * self._jitter.uniform(0.5, 1.5))
            backoff = min(backoff * 2, _LAST_BACKOFF_MS)

    def list_under(
        self, prefix: str
    ) -> ty.Union[tuple[list[Stored], ids.Version], failures.Failure]:
        """Return the objects under `prefix` and the store's version."""
        return self._many(f'/v1/list?prefix={_quoted(prefix)}', 0)

    def watch(
        self, prefix: str, after: ids.Version, wait_ms: int
    ) -> ty.Union[tuple[list[Stored], ids.Version], failures.Failure]:
        """Wait for changes under `prefix` after a version of the store."""
        path = (
            f'/v1/watch?prefix={_quoted(prefix)}&after={after}'
            f'&wait_ms={wait_ms}'
        )
        return self._many(path, wait_ms)

    def _pause(self, ms: float) -> None:
        green.sleep_ms(ms)

    def _try_update(
        self, key: str, change: Change
    ) -> ty.Union[Stored, failures.Failure]:
        current = self.get(key)
        if isinstance(current, failures.Failure):
            return current
        value = change(current)
        if value is None:
            return current
        if isinstance(value, failures.Failure):
            return value
        return self.put(key, value, current.version)

    def _many(
        self, path: str, wait_ms: int
    ) -> ty.Union[tuple[list[Stored], ids.Version], failures.Failure]:
        reply = self._call('GET', path, wait_ms=wait_ms)
        if isinstance(reply, failures.Failure):
            return reply
        if reply.status != 200:
            return _refused(reply)
        body = reply.json()
        objects = [_stored(item) for item in body['objects']]
        return objects, ids.Version(body['version'])

    def _call(
        self,
        method: str,
        path: str,
        body: ty.Optional[bytes] = None,
        headers: ty.Optional[dict[str, str]] = None,
        wait_ms: int = 0,
    ) -> ty.Union[http_client.Reply, failures.Failure]:
        self.calls += 1
        return self._http.call(
            method,
            self._address,
            path,
            body,
            headers,
            self._timeout_ms + wait_ms,
        )


_TRANSIENT = ('no_answer', 'platform_error')


def _refused(reply: http_client.Reply) -> failures.Failure:
    if reply.status == 429:
        return failures.unavailable('quota')
    return failures.unavailable('platform_error', str(reply.status))


def _if_match(version: ids.Version) -> dict[str, str]:
    return {'If-Match': str(version)}


def _version(reply: http_client.Reply) -> ids.Version:
    return ids.Version(int(reply.headers.get('ETag', '0')))


def _stored(item: dict[str, ty.Any]) -> Stored:
    value = None if item['gone'] else base64.b64decode(item['value'])
    return Stored(item['key'], ids.Version(item['version']), value)


def _path(key: str) -> str:
    return '/v1/objects/' + urllib.parse.quote(key)


def _quoted(text: str) -> str:
    return urllib.parse.quote(text, safe='')
