"""Base class of the stand-ins for engines and plain services."""

from __future__ import annotations

import collections
import itertools
import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.standin import endless
from peridotmast.standin import team_run
from peridotmast.standin import version_faults
from peridotmast import web
from peridotmast.wire import strict_protocol

_HANG_MS = 600_000


class UpstreamApp(web.WebApp):
    """Checks the expected upstream, counts runs and injects faults.

    Parameters
    ----------
    name : str
        Id of the upstream; a restarted one keeps it.
    slots : int
        Requests that are processed concurrently; more are refused as not run.
    seed : int
        Seed of the injected faults.
    """

    def __init__(self, name: str, slots: int, seed: int = 0) -> None:
        super().__init__(f'upstream-{name}', 8 << 20)
        self.name = name
        self.slots = slots
        self.draining = False
        """Whether its health check and its report say that it is leaving."""
        self.states_leaving = False
        """Whether each of its answers states that it is leaving."""
        self.rest_s = ''
        """Time in s for which its refusals ask for a rest; empty for none."""
        self.refusals: list[int] = []
        """Time of each refusal."""
        self.runs: collections.Counter[str] = collections.Counter()
        """Number of runs by request id."""
        self.arrivals: list[tuple[int, str]] = []
        """Time and id of each request received, whether it ran or not."""
        self.teams: dict[str, str] = {}
        """Team of each request that ran, by request id."""
        self.team_runs: list[team_run.TeamRun] = []
        """Team and stated tokens of each run, in the order of their start."""
        self.bodies: dict[str, bytes] = {}
        """Body of each request that ran, by request id."""
        self.in_progress = 0
        """Number of requests in progress."""
        self.abandoned: list[str] = []
        """Ids of requests whose sender disconnected before their end."""
        self.faults: dict[str, float] = {}
        """Fraction of requests that each fault affects: ``refuse``, ``error``,
        ``lose``, ``cut``, ``hang``, ``garble``, ``extra``, ``endless``."""
        self.stream_faults: dict[str, float] = {}
        """The same for faults that may coincide with others: ``cut`` and
        ``error_in_stream``, for each event, and the resume errors."""
        self.endless_responses: list[endless.EndlessResponse] = []
        """Responses without end, in the order in which they began."""
        self.limit = ''
        """Value of the rate limit header of its answers; empty for none."""
        self.brittle = ''
        """Refusals a second that it bears, as its answers state; empty for any
        number."""
        self.crash_body = b''
        """Requests whose body contains this crash it; empty for none."""
        self.crash_part = ''
        """Part of prompts: requests with it, other than as their last part,
        crash it; empty for none."""
        self.crash_delay_ms = 0
        """Delay from the start of such a request to the crash."""
        self.version_fault = version_faults.GOOD
        """How its version misbehaves."""
        self.on_crash: ty.Callable[[], None] = lambda: None
        """Called on a crash, to stop it and close its connections."""
        self._rng = random.Random(seed)
        self._serials = itertools.count(1)
        self._clock = clock_.SystemClock()
        self._started_at = self._clock.now()
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
        """Run a request; each kind of upstream overrides this."""
        raise NotImplementedError

    def _crashes_on(self, environ: dict[str, ty.Any], body: bytes) -> bool:
        """Return whether a request crashes this upstream."""
        if self.crash_body and self.crash_body in body:
            return True
        parts = _header(environ, names.PROMPT_PARTS).split(',')[:-1]
        return bool(self.crash_part) and any(
            part.partition(':')[0] == self.crash_part for part in parts
        )

    def fault_occurs(self, fault: str) -> bool:
        """Decide at random whether `fault` affects the current request."""
        share = self.faults.get(fault) or self.stream_faults.get(fault, 0)
        return bool(share) and self._rng.random() < share

    def delay_factor(self, environ: dict[str, ty.Any]) -> float:
        """Return how many times longer its version takes for a request."""
        if not self._is_version_bad_for(environ):
            return 1.0
        return self.version_fault.delay_factor(self._rng)

    def _version_fails(self, environ: dict[str, ty.Any]) -> bool:
        return self._is_version_bad_for(environ) and self.version_fault.fails(
            self._rng
        )

    def _is_version_bad_for(self, environ: dict[str, ty.Any]) -> bool:
        return self.version_fault.applies(
            environ['PATH_INFO'],
            self._clock.now() - self._started_at,
            self.in_progress,
        )

    def answer_headers(self, request_id: str) -> list[tuple[str, str]]:
        """Return the headers that the answer to every request run has."""
        return [
            (names.REQUEST_ID, request_id),
            (names.SEAL, f'{self.name}.{next(self._serials)}'),
            *([(names.LIMIT, self.limit)] if self.limit else []),
            *self._state_headers(),
        ]

    def _state_headers(self) -> list[tuple[str, str]]:
        """Return the headers that refusals have too."""
        leaving = [(names.LEAVING, '1')] if self.states_leaving else []
        return [
            *leaving,
            *([(names.BRITTLE, self.brittle)] if self.brittle else []),
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
        if self.in_progress >= self.slots or self.fault_occurs('refuse'):
            self.refusals.append(self._clock.now())
            headers = [
                (names.NOT_RUN, '1'),
                (names.REQUEST_ID, request_id),
                ('Content-Length', '0'),
                *self._state_headers(),
                *([(names.RETRY_AFTER, self.rest_s)] if self.rest_s else []),
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
        team = self.teams[request_id] = _header(environ, names.TEAM)
        counts = _header(environ, names.TOKEN_COUNTS).split(',')
        self.team_runs.append(
            team_run.TeamRun(
                self._clock.now(),
                request_id,
                team,
                sum(int(count) for count in counts if count.strip()),
            )
        )
        conn = environ[strict_protocol.CONNECTION]
        if self._crashes_on(environ, body):
            green.spawn_after_ms(self.crash_delay_ms, self.on_crash)
            green.sleep_ms(_HANG_MS)
        if self.fault_occurs('hang'):
            green.sleep_ms(_HANG_MS)
        if self.fault_occurs('lose'):
            conn.reset()
            raise ConnectionResetError('injected fault: answer lost')
        if self.fault_occurs('garble'):
            conn.reset()
            environ['eventlet.input'].get_socket().sendall(b'\x00no answer')
            raise ConnectionResetError('injected fault: garbled answer')
        if self.fault_occurs('endless'):
            self._send_endless(request_id, environ)
        if self.fault_occurs('error') or self._version_fails(environ):
            headers = [
                *self.answer_headers(request_id),
                ('Content-Length', '5'),
            ]
            start('500 Internal Server Error', headers)
            return [b'error']
        return _TrackedAnswer(self, request_id, environ, body, start)

    def _send_endless(
        self, request_id: str, environ: dict[str, ty.Any]
    ) -> ty.NoReturn:
        """Send bytes until the connection is closed."""
        now = self._clock.now()
        left_ms = int(_header(environ, names.DEADLINE_MS) or _HANG_MS)
        kind = self._rng.choice(endless.KINDS)
        response = endless.EndlessResponse(kind, request_id, now + left_ms)
        self.endless_responses.append(response)
        lines = ''.join(
            f'{name}: {value}\r\n'
            for name, value in self.answer_headers(request_id)
        )
        head = f'HTTP/1.1 200 OK\r\n{lines}'.encode()
        try:
            endless.send(environ['eventlet.input'].get_socket(), kind, head)
        finally:
            response.ended_at = self._clock.now()
            environ[strict_protocol.CONNECTION].reset()
        raise ConnectionResetError('injected fault: endless response')

    def _health(self, req: web.Request) -> web.Response:
        response = web.Response(503 if self.draining else 200, b'')
        response.headers.append((names.UPSTREAM, self.name))
        return response


class _TrackedAnswer:
    """Answer that counts as in progress until it is sent or abandoned."""

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
        self._is_complete = False
        app.in_progress += 1
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
            self._is_complete = True
            raise

    def close(self) -> None:
        """End the count as in progress; the WSGI server calls this."""
        self._conn.stop_watching()
        self._app.in_progress -= 1
        if not self._is_complete:
            self._app.abandoned.append(self._id)
        close = getattr(getattr(self, '_parts', None), 'close', None)
        if close is not None:
            close()


def _header(environ: dict[str, ty.Any], name: str) -> str:
    return environ.get('HTTP_' + name.upper().replace('-', '_'), '')


header = _header
