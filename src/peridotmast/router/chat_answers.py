"""Converts answers of engines to chat completions."""

from __future__ import annotations

import json
import typing as ty

from peridotmast import failures
from peridotmast.serving import reply as reply_
from peridotmast import web
from peridotmast.wire import connection

_TEXT_BYTES = 64
"""Memory of a short text beside its characters, in bytes."""

Reserve = ty.Callable[[int], bool]


def read_body(
    reply: reply_.Reply, reserve: Reserve
) -> ty.Union[bytes, failures.Failure]:
    """Return the complete body of an answer.

    Parameters
    ----------
    reserve : callable
        Called with a number of bytes before they are kept; returns whether
        there is memory for them.
    """
    if isinstance(reply.body, bytes):
        return reply.body
    body = bytearray()
    try:
        for part in reply.body:
            if not reserve(len(part)):
                return _no_memory()
            body += part
    except reply_.BrokenAnswer as exc:
        return failures.unknown('broke_off', str(exc))
    return bytes(body)


class ChatAnswer:
    """An engine's answer as a chat completion.

    Parameters
    ----------
    reply : reply.Reply
        The engine's answer.
    request_id, model : str
        Id and model that are stated in the completion.
    reserve : callable
        Called with a number of bytes before they are kept; returns whether
        there is memory for them.
    """

    def __init__(
        self,
        reply: reply_.Reply,
        request_id: str,
        model: str,
        reserve: Reserve,
    ) -> None:
        self._reply = reply
        self._reserve = reserve
        self._id = request_id
        self._model = model
        self._last_event_id = 0

    @property
    def has_failed(self) -> bool:
        """Whether the engine answered with an error status."""
        return self._reply.head.status != 200

    def close(self) -> None:
        """Release the resources of the engine's answer."""
        self._reply.close()

    def completion(self) -> web.Response:
        """Return the complete answer as one chat completion."""
        try:
            text = self._read_text()
        finally:
            self.close()
        if isinstance(text, failures.Failure):
            return web.failure_response(text, self._id)
        if self.has_failed:
            failure = failures.unknown(
                'engine_failed', str(self._reply.head.status)
            )
            return web.failure_response(failure, self._id)
        message = {'role': 'assistant', 'content': text}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        response = web.json_response(
            {
                'id': self._id,
                'object': 'chat.completion',
                'model': self._model,
                'choices': [choice],
            }
        )
        response.headers.append(('X-Request-Id', self._id))
        return response

    def event_stream(self) -> ty.Iterator[bytes]:
        """Yield a successful answer as server-sent events."""
        try:
            for data in self._parts():
                chunks = [
                    self._chunk(number, {'content': text}, None)
                    for number, text in _parse_events(data)
                ]
                yield b''.join(chunks)
        except reply_.BrokenAnswer as exc:
            yield self._error_event(str(exc))
            return
        yield (
            self._chunk(self._last_event_id, {}, 'stop') + b'data: [DONE]\n\n'
        )

    def _parts(self) -> ty.Iterator[bytes]:
        body = self._reply.body
        return iter((body,)) if isinstance(body, bytes) else body

    def _read_text(self) -> ty.Union[str, failures.Failure]:
        """Return the text of all events; each part holds whole events."""
        texts = []
        try:
            for data in self._parts():
                for _, text in _parse_events(data):
                    if not self._reserve(len(text) + _TEXT_BYTES):
                        return _no_memory()
                    texts.append(text)
        except reply_.BrokenAnswer as exc:
            return failures.unknown('broke_off', str(exc))
        return ''.join(texts)

    def _chunk(
        self, number: int, delta: dict[str, str], reason: ty.Optional[str]
    ) -> bytes:
        self._last_event_id = number
        choice = {'index': 0, 'delta': delta, 'finish_reason': reason}
        chunk = {
            'id': self._id,
            'object': 'chat.completion.chunk',
            'model': self._model,
            'choices': [choice],
        }
        return f'id: {number}\ndata: {json.dumps(chunk)}\n\n'.encode()

    def _error_event(self, reason: str) -> bytes:
        error = {
            'code': failures.FailureKind.OUTCOME_UNKNOWN.value,
            'reason': reason,
            'not_run': False,
            'request_id': self._id,
        }
        return b'data: ' + json.dumps({'error': error}).encode() + b'\n\n'


def _no_memory() -> failures.Failure:
    return failures.unknown(connection.NO_MEMORY)


def _parse_events(data: bytes) -> ty.Iterator[tuple[int, str]]:
    """Yield the id and the text of each complete event in `data`."""
    for event in data.replace(b'\r\n', b'\n').split(b'\n\n'):
        number, texts = 0, []
        for line in event.decode('utf-8', 'replace').split('\n'):
            name, _, value = line.partition(':')
            if name == 'id' and value.strip().isdigit():
                number = int(value)
            elif name == 'data':
                texts.append(_event_text(value.removeprefix(' ')))
        if texts:
            yield number, ''.join(texts)


def _event_text(data: str) -> str:
    """Return the text in an event's JSON, or `data` if it has no such text."""
    try:
        value = json.loads(data)
    except ValueError:
        return data
    if isinstance(value, dict) and isinstance(value.get('text'), str):
        return value['text']
    return data
