"""Client of the control API of engines."""

from __future__ import annotations

import typing as ty

from peridotmast import failures
from peridotmast.platform import fields as fields_
from peridotmast.platform import names
from peridotmast.serving import stream_migrator
from peridotmast.wire import http_client

_COPY_REFUSED = 503
_RUN_NOT_FOUND = 404
_ALREADY_MOVING = 409
_MAX_ANSWER_BYTES = 1 << 20
"""Maximum size of an answer of an engine to a call of a router."""


class EngineControl:
    """Sends control calls to engines in the platform's protocol.

    Parameters
    ----------
    report_timeout_ms : int
        Time-out of reading a report, in ms.
    move_timeout_ms : int
        Time-out of moving a run, in ms. An engine that is silent may still
        move it later, and what became of the run is then not known.
    """

    def __init__(self, report_timeout_ms: int, move_timeout_ms: int) -> None:
        self._reports, self._moves = (
            http_client.HttpClient(
                timeout_ms, max_body_bytes=_MAX_ANSWER_BYTES
            )
            for timeout_ms in (report_timeout_ms, move_timeout_ms)
        )

    def remaining_ms(
        self, address: str, born: int
    ) -> ty.Union[int, failures.Failure]:
        """Return the time until an engine leaves, in ms; 0 if unknown."""
        response = self._reports.request('GET', address, names.REPORT_PATH)
        if isinstance(response, failures.Failure):
            return response
        if response.status != 200:
            return failures.unavailable('no_report', str(response.status))
        try:
            fields = fields_.Fields(response.json(), 'report')
            left_ms = fields.number(names.LEAVES_MS, 0)
            reported_born = fields.integer(names.BORN, 0) or born
            fields.raise_if_malformed()
        except ValueError as exc:
            return failures.unavailable('report_garbled', str(exc)[:200])
        if born and reported_born != born:
            return failures.missing('another_run', str(reported_born))
        return int(left_ms)

    def move(
        self, address: str, request_id: str, target: str
    ) -> ty.Union[stream_migrator.KvCopy, failures.Failure]:
        """Stop a run and copy its KV cache to another engine.

        Returns
        -------
        KvCopy or Failure
            MISSING if the engine no longer has the run. If the target did
            not accept the copy, the copy stays at the source.
        """
        body = {'id': request_id, names.TARGET: target, names.LAST: True}
        response = self._moves.request('POST', address, names.MOVE_PATH, body)
        # Answers don't name their run: one that is sent twice would be read
        # as the answer to the next move.
        self._moves.close()
        if isinstance(response, failures.Failure):
            return failures.unknown(response.reason, response.detail)
        if response.status == _RUN_NOT_FOUND:
            return failures.missing('no_run', request_id)
        if response.status == _ALREADY_MOVING:
            return failures.conflict('moving', request_id)
        if response.status not in (200, _COPY_REFUSED):
            return failures.unknown('move_failed', str(response.status))
        try:
            fields = fields_.Fields(response.json(), 'move')
            handle = fields.string_or_integer(names.HANDLE)
            fields.raise_if_malformed()
        except ValueError as exc:
            return failures.unknown('move_garbled', str(exc)[:200])
        return stream_migrator.KvCopy(
            f'{address}/{handle}', response.status == 200
        )
