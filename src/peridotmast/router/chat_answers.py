"""Answers of engines, as chat completions are answered."""

from __future__ import annotations

import json
import typing as ty

from peridotmast import failures
from peridotmast.serving import reply as reply_
from peridotmast import web

EVENT_STREAM = 'text/event-stream'
"""Content type of streams."""


def read_body(
    reply: reply_.Reply,
) -> ty.Union[bytes, failures.Failure]:
    """Return the whole body of an answer."""
    if isinstance(reply.body, bytes):
        return reply.body
    try:
        return b''.join(reply.body)
    except reply_.BrokenAnswer as exc:
        return failures.unknown('broke_off', str(exc))


class ChatAnswer:
    """One engine's answer, written as a chat completion.

    Parameters
    ----------
    reply : reply.Reply
        The engine's answer.
    request_id, model : str
        What the completion is marked with.
    """

    def __init__(
        self, reply: reply_.Reply, request_id: str, model: str
    ) -> None:
        self._reply = reply
        self._id = request_id
        self._model = model
        self._count = 0

    @property
    def has_failed(self) -> bool:
        """Whether the engine says that it could not answer."""
        return self._reply.head.status != 200

    def close(self) -> None:
        """Give back what the answer holds."""
        self._reply.close()

    def completion(self) -> web.Response:
        """Return the answer in one piece."""
        try:
            body = read_body(self._reply)
        finally:
            self.close()
        if isinstance(body, failures.Failure):
            return web.failure_response(body, self._id)
        if self.has_failed:
            failure = failures.unknown(
                'engine_failed', str(self._reply.head.status)
            )
            return web.failure_response(failure, self._id)
        texts = [text for _, text in _events(body)]
        message = {'role': 'assistant', 'content': ''.join(texts)}
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
        """Yield the answer as server-sent events; not for one that failed."""
        parts = self._reply.body
        if isinstance(parts, bytes):
            parts = iter((parts,))
        try:
            for data in parts:
                frames = [
                    self._frame(number, {'content': text}, None)
                    for number, text in _events(data)
                ]
                yield b''.join(frames)
        except reply_.BrokenAnswer as exc:
            yield self._error(str(exc))
            return
        yield self._frame(self._count, {}, 'stop') + b'data: [DONE]\n\n'

    def _frame(
        self, number: int, delta: dict[str, str], reason: ty.Optional[str]
    ) -> bytes:
        self._count = number
        choice = {'index': 0, 'delta': delta, 'finish_reason': reason}
        chunk = {
            'id': self._id,
            'object': 'chat.completion.chunk',
            'model': self._model,
            'choices': [choice],
        }
        return f'id: {number}\ndata: {json.dumps(chunk)}\n\n'.encode()

    def _error(self, reason: str) -> bytes:
        error = {
            'code': failures.FailureKind.OUTCOME_UNKNOWN.value,
            'reason': reason,
            'not_run': False,
            'request_id': self._id,
        }
        return b'data: ' + json.dumps({'error': error}).encode() + b'\n\n'


def _events(data: bytes) -> ty.Iterator[tuple[int, str]]:
    """Yield id and text of each whole event in `data`."""
    for event in data.replace(b'\r\n', b'\n').split(b'\n\n'):
        number, texts = 0, []
        for line in event.decode('utf-8', 'replace').split('\n'):
            name, _, value = line.partition(':')
            if name == 'id' and value.strip().isdigit():
                number = int(value)
            elif name == 'data':
                texts.append(_text(value.removeprefix(' ')))
        if texts:
            yield number, ''.join(texts)


def _text(data: str) -> str:
    """Return the text in an event's data; other data is text itself."""
    try:
        value = json.loads(data)
    except ValueError:
        return data
    if isinstance(value, dict) and isinstance(value.get('text'), str):
        return value['text']
    return data
