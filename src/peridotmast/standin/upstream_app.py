"""What the stand-ins for engines and plain services have in common."""

from __future__ import annotations

import collections
import itertools
import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast import green
from peridotmast.platform import names
from peridotmast import web
from peridotmast.wire import strict_protocol

_HANG_MS = 600_000


class UpstreamApp(web.WebApp):
    """Checks who is meant, counts runs, and brings faults about.

    Parameters
    ----------
    name : str
        Id of this run of the upstream.
    slots : int
        Requests that it works on at once; more are refused as not run.
    seed : int
        Seed of the faults.
    """

    def __init__(self, name: str, slots: int, seed: int = 0) -> None:
        super().__init__(f'upstream-{name}', 8 << 20)
        self.name = name
        self.slots = slots
        self.draining = False
        """Whether it says that it leaves."""
        self.runs: collections.Counter[str] = collections.Counter()
        """Runs so far, by request id."""
        self.arrivals: list[tuple[int, str]] = []
        """Moment and id of each request that came, run or not."""
        self.teams: dict[str, str] = {}
        """Team that each request came with."""
        self.bodies: dict[str, bytes] = {}
        """Body of each request that ran."""
        self.in_work = 0
        """Requests in work."""
        self.left_early: list[str] = []
        """Ids of requests whose sender closed before their end."""
        self.faults: dict[str, float] = {}
        """Share of requests that each fault hits: ``refuse``, ``error``,
        ``lose``, ``cut``, ``hang``, ``garble``, ``extra``."""
        self.limit = ''
        """Value of the limit header of its answers; empty for none."""
        self.crash_body = b''
        """Bytes in request bodies that crash it; empty for none."""
        self.crash_delay_ms = 0
        """Time from the start of such a request to the crash."""
        self.on_crash: ty.Callable[[], None] = lambda: None
        """Ends this run of the upstream and closes its connections."""
        self._draws = random.Random(seed)
        self._serials = itertools.count(1)
        self._clock = clock_.SystemClock()
        self.route('GET', names.HEALTH_PATH, self._health)

    def __call__(
        self, environ: dict[str, ty.Any], start: ty.Callable[..., ty.Any]
    ) -> ty.Iterable[bytes]:
        path = environ['PATH_INFO']
        if any(p.fullmatch(path) for _, p, _ in self._routes):
            return super().__call__(environ, start)
        return self._request(environ, start)

    def answer(
        self,
        request_id: str,
        environ: dict[str, ty.Any],
        body: bytes,
        start: ty.Callable[..., ty.Any],
    ) -> ty.Iterable[bytes]:
        """Run a request; overridden by the kinds of upstream."""
        raise NotImplementedError

    def hits(self, fault: str) -> bool:
        """Return whether `fault` hits the request at hand."""
        share = self.faults.get(fault, 0)
        return bool(share) and self._draws.random() < share

    def seal(self, request_id: str) -> list[tuple[str, str]]:
        """Return the headers that every answer of a run has."""
        limit = [(names.LIMIT, self.limit)] if self.limit else []
        return [
            (names.REQUEST_ID, request_id),
            (names.SEAL, f'{self.name}.{next(self._serials)}'),
            *limit,
        ]

    def _request(
        self, environ: dict[str, ty.Any], start: ty.Callable[..., ty.Any]
    ) -> ty.Iterable[bytes]:
        request_id = _header(environ, names.REQUEST_ID)
        expected = _header(environ, names.EXPECT_UPSTREAM)
        body = environ[strict_protocol.CONNECTION].read_body(8 << 20, 10_000)
        if expected and expected != self.name:
            headers = [(names.UPSTREAM, self.name), ('Content-Length', '0')]
            start('421 Misdirected Request', headers)
            return [b'']
        self.arrivals.append((self._clock.now(), request_id))
        if self.in_work >= self.slots or self.hits('refuse'):
            headers = [
                (names.NOT_RUN, '1'),
                (names.REQUEST_ID, request_id),
                ('Content-Length', '0'),
            ]
            start('503 Service Unavailable', headers)
            return [b'']
        return self._run(request_id, environ, body, start)

    def _run(
        self,
        request_id: str,
        environ: dict[str, ty.Any],
        body: bytes,
        start: ty.Callable[..., ty.Any],
    ) -> ty.Iterable[bytes]:
        self.runs[request_id] += 1
        self.bodies[request_id] = body
        self.teams[request_id] = _header(environ, names.TEAM)
        conn = environ[strict_protocol.CONNECTION]
        if self.crash_body and self.crash_body in body:
            green.spawn_after_ms(self.crash_delay_ms, self.on_crash)
            green.sleep_ms(_HANG_MS)
        if self.hits('hang'):
            green.sleep_ms(_HANG_MS)
        if self.hits('lose'):
            conn.reset()
            raise ConnectionResetError('the answer is lost')
        if self.hits('garble'):
            conn.reset()
            environ['eventlet.input'].get_socket().sendall(b'\x00no answer')
            raise ConnectionResetError('garbled')
        if self.hits('error'):
            headers = [*self.seal(request_id), ('Content-Length', '5')]
            start('500 Internal Server Error', headers)
            return [b'error']
        return _Counted(self, request_id, environ, body, start)

    def _health(self, req: web.Request) -> web.Response:
        response = web.Response(503 if self.draining else 200, b'')
        response.headers.append((names.UPSTREAM, self.name))
        return response


class _Counted:
    """An answer, counted as in work until it is out or given up."""

    def __init__(
        self,
        app: UpstreamApp,
        request_id: str,
        environ: dict[str, ty.Any],
        body: bytes,
        start: ty.Callable[..., ty.Any],
    ) -> None:
        self._app = app
        self._id = request_id
        self._conn = environ[strict_protocol.CONNECTION]
        self._ended = False
        app.in_work += 1
        self._conn.watch_for_close()
        try:
            self._parts = iter(app.answer(request_id, environ, body, start))
        except BaseException:
            self.close()
            raise

    def __iter__(self) -> ty.Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._parts)
        except StopIteration:
            self._ended = True
            raise

    def close(self) -> None:
        """Count it out; the server calls this."""
        self._conn.stop_watching()
        self._app.in_work -= 1
        if not self._ended:
            self._app.left_early.append(self._id)
        close = getattr(getattr(self, '_parts', None), 'close', None)
        if close is not None:
            close()


def _header(environ: dict[str, ty.Any], name: str) -> str:
    return environ.get('HTTP_' + name.upper().replace('-', '_'), '')


header = _header
