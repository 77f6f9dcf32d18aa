"""Questions and orders to an engine beside the requests that it runs."""

from __future__ import annotations

import typing as ty

from peridotmast import failures
from peridotmast.platform import fields as fields_
from peridotmast.platform import names
from peridotmast.serving import stream_migrator
from peridotmast.wire import http_client

_REFUSED = 503
_MISSING = 404
_BUSY = 409


class EngineControl:
    """What engines do for the routers, by the platform's protocol.

    Parameters
    ----------
    timeout_ms : int
        Bound on one call; a move may take a good part of it.
    """

    def __init__(self, timeout_ms: int) -> None:
        self._http = http_client.HttpClient(timeout_ms)

    def leaves_ms(
        self, address: str, born: int
    ) -> ty.Union[int, failures.Failure]:
        """Return how long an engine will be there; 0 where it can't say."""
        reply = self._http.request('GET', address, names.REPORT_PATH)
        if isinstance(reply, failures.Failure):
            return reply
        if reply.status != 200:
            return failures.unavailable('no_report', str(reply.status))
        try:
            fields = fields_.Fields(reply.json(), 'report')
            left = fields.number(names.LEAVES_MS, 0)
            since = fields.integer(names.BORN, 0) or born
            fields.raise_if_malformed()
        except ValueError as exc:
            return failures.unavailable('report_garbled', str(exc)[:200])
        if born and since != born:
            return failures.missing('another_run', str(since))
        return int(left)

    def move(
        self, address: str, request_id: str, target: str
    ) -> ty.Union[stream_migrator.KvCopy, failures.Failure]:
        """Stop a run and copy its memory to another engine.

        Returns
        -------
        Copy or Failure
            MISSING where the run is not there any more. Where the target
            did not take it, the copy lies at the source.
        """
        body = {'id': request_id, names.TARGET: target, names.LAST: True}
        reply = self._http.request('POST', address, names.MOVE_PATH, body)
        if isinstance(reply, failures.Failure):
            return failures.unknown(reply.reason, reply.detail)
        if reply.status == _MISSING:
            return failures.missing('no_run', request_id)
        if reply.status == _BUSY:
            return failures.conflict('moving', request_id)
        if reply.status not in (200, _REFUSED):
            return failures.unknown('move_failed', str(reply.status))
        try:
            fields = fields_.Fields(reply.json(), 'move')
            handle = fields.string_or_integer(names.HANDLE)
            fields.raise_if_malformed()
        except ValueError as exc:
            return failures.unknown('move_garbled', str(exc)[:200])
        return stream_migrator.KvCopy(
            f'{address}/{handle}', reply.status == 200
        )
