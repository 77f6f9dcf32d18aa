"""WSGI applications that route requests and report errors as JSON."""

from __future__ import annotations

import dataclasses
import json
import re
import traceback
import typing as ty

from peridotmast import failures
from peridotmast import green
from peridotmast import logs
from peridotmast.wire import answer_parts
from peridotmast.wire import caller_connection
from peridotmast.wire import request_body
from peridotmast.wire import strict_protocol

_STATUS = {
    200: 'OK',
    201: 'Created',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    408: 'Request Timeout',
    409: 'Conflict',
    410: 'Gone',
    412: 'Precondition Failed',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}

JSON = 'application/json'


@dataclasses.dataclass
class Request:
    """HTTP request, as passed to a handler."""

    method: str
    path: str
    query: dict[str, str]
    headers: ty.Mapping[str, str]
    """WSGI environment, whose headers `header` returns."""
    body: bytes
    connection: ty.Optional[caller_connection.CallerConnection] = None
    """Connection that the request was received on."""

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return self.headers.get('HTTP_' + name.upper().replace('-', '_'), '')

    def json(self) -> ty.Any:
        """Return the body parsed as JSON; an empty body as an empty object.

        Raises
        ------
        ValueError
            If the body is not JSON.
        """
        return json.loads(self.body or b'{}')


@dataclasses.dataclass
class Response:
    """HTTP response, as returned by a handler."""

    status: int = 200
    body: ty.Union[bytes, ty.Iterable[bytes]] = b''
    content_type: str = JSON
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    close: ty.Callable[[], None] = lambda: None
    """Called once the response is sent or abandoned."""
    ends_with_connection: bool = False
    """Whether only the end of the connection marks the end of the body."""


Handler = ty.Callable[..., Response]


def json_response(value: ty.Any, status: int = 200) -> Response:
    """Return a response with `value` as JSON."""
    return Response(status, json.dumps(value).encode())


def error_response(
    status: int,
    code: str,
    reason: str,
    not_run: bool = True,
    retry_after_ms: int = 0,
    request_id: str = '',
) -> Response:
    """Return an error response in the format that all programs use."""
    error = {
        'code': code,
        'reason': reason,
        'not_run': not_run,
        'retry_after_ms': retry_after_ms,
        'request_id': request_id,
    }
    response = json_response({'error': error}, status)
    if retry_after_ms:
        seconds = max(1, -(-retry_after_ms // 1000))
        response.headers.append(('Retry-After', str(seconds)))
    return response


class WebApp:
    """Dispatches requests to handlers, with limits on the request body.

    Parameters
    ----------
    name : str
        Program name in the log.
    max_body : int
        Maximum size of a request body, in bytes.
    body_timeout_ms : int
        Maximum time without receiving a byte of the body, in ms.
    """

    def __init__(
        self, name: str, max_body: int = 1 << 20, body_timeout_ms: int = 10_000
    ) -> None:
        self._log = logs.get(name)
        self._max_body = max_body
        self._body_timeout_ms = body_timeout_ms
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []

    def route(self, method: str, pattern: str, handler: Handler) -> None:
        """Route `method` requests whose path matches `pattern` to `handler`.

        The groups of the pattern are passed to the handler as arguments after
        the request.
        """
        self._routes.append((method, re.compile(pattern), handler))

    def __call__(
        self, environ: dict[str, ty.Any], start: ty.Callable[..., ty.Any]
    ) -> ty.Iterable[bytes]:
        conn = environ[strict_protocol.CONNECTION]
        try:
            response = self._answer(environ, conn)
        except BaseException:
            conn.stop_watching()
            raise
        status = f'{response.status} {_STATUS.get(response.status, "Status")}'
        headers = [('Content-Type', response.content_type), *response.headers]
        if response.ends_with_connection:
            conn.end_with_connection()
        elif isinstance(response.body, bytes):
            headers.append(('Content-Length', str(len(response.body))))
        conn.close_if_pressed()
        start(status, headers)
        if isinstance(response.body, bytes) and not (
            response.ends_with_connection
        ):
            # A caller that only ends its sending side still gets the answer.
            conn.stop_watching()
        environ['eventlet.minimum_write_chunk_size'] = 1
        return _Body(response, conn)

    def _answer(
        self,
        environ: dict[str, ty.Any],
        conn: caller_connection.CallerConnection,
    ) -> Response:
        try:
            body = conn.read_body(self._max_body, self._body_timeout_ms)
        except request_body.InvalidBodyError as exc:
            return error_response(
                exc.status,
                exc.reason,
                'body not taken',
                retry_after_ms=exc.retry_after_ms,
            )
        conn.watch_for_close()
        req = Request(
            environ['REQUEST_METHOD'],
            environ['PATH_INFO'],
            _parse_query(environ.get('QUERY_STRING', '')),
            environ,
            body,
            conn,
        )
        try:
            return self._dispatch(req)
        except (caller_connection.CallerDisconnected, ConnectionError):
            raise
        except (Exception, green.Timeout) as exc:
            trace = ''.join(traceback.format_exception(exc)[-3:])
            self._log.error('handler_failed', path=req.path, trace=trace)
            return error_response(
                500, 'internal', f'{type(exc).__name__}', not_run=False
            )

    def _dispatch(self, req: Request) -> Response:
        path_exists = False
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(req.path)
            if match and method == req.method:
                return handler(req, *match.groups())
            path_exists = path_exists or bool(match)
        if path_exists:
            return error_response(400, 'bad_method', f'not {req.method}')
        return error_response(404, 'no_such_path', req.path)


class _Body:
    """Response body; its `close` also closes the response."""

    def __init__(
        self, response: Response, conn: caller_connection.CallerConnection
    ) -> None:
        self._response = response
        self._conn = conn
        body = response.body
        self._parts = answer_parts.AnswerParts(
            body if isinstance(body, bytes) else iter(body), conn.account
        )

    def __iter__(self) -> ty.Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._parts)
        except StopIteration:
            if self._response.ends_with_connection:
                self._conn.close_orderly()
            raise

    def close(self) -> None:
        """Release the resources of the response; called by the server."""
        self._conn.stop_watching()
        self._response.close()
        self._parts.close()


def failure_status(failure: failures.Failure) -> int:
    """Return the HTTP status for `failure`."""
    kinds = failures.FailureKind
    return {
        kinds.NOT_RUN: 503,
        kinds.OUTCOME_UNKNOWN: 504,
        kinds.UNAVAILABLE: 504,
        kinds.CONFLICT: 409,
        kinds.MISSING: 404,
        kinds.INVALID: 400,
    }[failure.kind]


def failure_response(
    failure: failures.Failure, request_id: str = '', status: int = 0
) -> Response:
    """Return the error response for `failure`."""
    kinds = failures.FailureKind
    may_have_run = failure.kind in (
        kinds.OUTCOME_UNKNOWN,
        kinds.UNAVAILABLE,
        kinds.CONFLICT,
    )
    code = failure.kind.value
    return error_response(
        status or failure_status(failure),
        code,
        f'{failure.reason}: {failure.detail}'.rstrip(': '),
        not_run=not may_have_run,
        retry_after_ms=failure.retry_after_ms,
        request_id=request_id,
    )


def _parse_query(text: str) -> dict[str, str]:
    pairs = (part.partition('=') for part in text.split('&') if part)
    return {key: value for key, _, value in pairs}
