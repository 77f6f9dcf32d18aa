"""Answers that have no body by the rules of HTTP."""

from __future__ import annotations

import http
import typing as ty

from peridotmast.wire import framing

_WITHOUT_LENGTH = frozenset((http.HTTPStatus.NO_CONTENT,))
"""Statuses whose answers state no length either."""

_LENGTH = 'content-length'

Application = ty.Callable[..., ty.Iterable[bytes]]


class BodylessAnswers:
    """WSGI middleware that sends no body where HTTP has no place for one.

    After an answer to HEAD, and after some statuses, the next bytes on the
    connection are those of the next answer.

    Parameters
    ----------
    app : callable
        A WSGI application, which may answer with a body always.
    """

    def __init__(self, app: Application) -> None:
        self._app = app

    def __call__(
        self, environ: dict[str, ty.Any], start: ty.Callable[..., ty.Any]
    ) -> ty.Iterable[bytes]:
        answer = _Answer(environ['REQUEST_METHOD'] == 'HEAD', start)
        parts = self._app(environ, answer.start)
        if answer.is_started and not answer.is_bodyless:
            return parts
        return _Parts(answer, parts)


class _Answer:
    """Head of an answer."""

    def __init__(self, is_head: bool, start: ty.Callable[..., ty.Any]) -> None:
        self._start = start
        self.is_bodyless = is_head
        self.is_started = False

    def start(
        self,
        status: str,
        headers: ty.Iterable[tuple[str, str]],
        exc_info: ty.Any = None,
    ) -> ty.Any:
        """Send status and headers, as WSGI's ``start_response``."""
        code = int(status.split(' ', 1)[0])
        self.is_started = True
        self.is_bodyless = (
            self.is_bodyless or code in framing.BODYLESS_STATUSES
        )
        if code in _WITHOUT_LENGTH:
            headers = [h for h in headers if h[0].lower() != _LENGTH]
        return self._start(status, list(headers), exc_info)


class _Parts:
    """Parts of an answer, without those of a body that it must not have.

    An application may state its status only with the first part.
    """

    def __init__(self, answer: _Answer, parts: ty.Iterable[bytes]) -> None:
        self._answer = answer
        self._parts = parts

    def __iter__(self) -> ty.Iterator[bytes]:
        for part in self._parts:
            if not self._answer.is_bodyless:
                yield part

    def close(self) -> None:
        """Release the resources of the answer; called by the server."""
        close = getattr(self._parts, 'close', None)
        if close is not None:
            close()
