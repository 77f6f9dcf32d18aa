"""Stand-in for a plain upstream that falls over if it refuses too much."""

from __future__ import annotations

import collections
import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.standin import http_standin
from peridotmast.standin import upstream_app
from peridotmast.wire import caller_connection
from peridotmast.wire import strict_protocol

_WINDOW_MS = 1000
"""Time in which refusals are counted, in ms."""

_WORK_SPREAD = 0.5
"""Largest relative difference of a request's work from its mean."""

_CLOSE_NOTICED_MS = 20
"""Longest time from the end of a silence until the upstream has noticed that
a caller has closed its connection, in ms."""


class BrittleService(http_standin.HttpStandin['BrittleApp']):
    """One incarnation of a brittle upstream.

    Parameters
    ----------
    name : str
        Id of the upstream.
    slots : int
        Requests that are processed concurrently.
    waiting : int
        Requests that may wait for a slot; more are refused.
    work_ms : float
        Mean time to process a request, in ms.
    limit : int
        Refusals in a second that it bears; one more, and it falls over.
    fall_ms : int
        Time for which it is down after it has fallen over, in ms.
    seed : int
        Seed of the times that requests take.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        waiting: int,
        work_ms: float,
        limit: int,
        fall_ms: int,
        seed: int = 0,
    ) -> None:
        self.name = name
        app = BrittleApp(name, slots, waiting, work_ms, limit, fall_ms, seed)
        super().__init__(app, '127.0.0.1:0')


class BrittleApp(upstream_app.UpstreamApp):
    """Runs, queues and refuses requests, and falls over.

    See `BrittleService` for the parameters.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        waiting: int,
        work_ms: float,
        limit: int,
        fall_ms: int,
        seed: int = 0,
    ) -> None:
        super().__init__(name, slots, seed)
        self.waiting = waiting
        """Requests that may wait for a slot."""
        self.refusal_limit = limit
        """Refusals in a second that it bears."""
        self.states_limit = True
        """Whether its answers state that it is brittle."""
        self.ignores_closes = False
        """Whether it goes on with a request whose caller has left."""
        self.falls: list[int] = []
        """Time of each fall, in ms."""
        self.completed = 0
        """Number of requests whose work was done."""
        self._work_ms = work_ms
        self._fall_ms = fall_ms
        self._present = 0
        self._slots_taken = green.Semaphore(slots)
        self._silent_until = 0
        self._fallen_until = 0
        self._recent: collections.deque[int] = collections.deque()
        self._conns: set[caller_connection.CallerConnection] = set()
        self._random = random.Random(f'{name}|{seed}')
        self._timer = clock_.SystemClock()

    def be_silent(self, ms: int) -> None:
        """Read and send nothing for `ms`, as a process that stands still."""
        self._silent_until = self._timer.now() + ms

    def _request(
        self, environ: dict[str, ty.Any], start: ty.Callable[..., ty.Any]
    ) -> ty.Iterable[bytes]:
        conn = environ[strict_protocol.CONNECTION]
        request_id = upstream_app.header(environ, names.REQUEST_ID)
        expected = upstream_app.header(environ, names.EXPECT_UPSTREAM)
        body = conn.read_body(8 << 20, 10_000)
        self._wait_while_silent()
        if self._timer.now() < self._fallen_until:
            self._break_off(conn)
        if expected and expected != self.name:
            headers = [(names.UPSTREAM, self.name), ('Content-Length', '0')]
            start('421 Misdirected Request', headers)
            return [b'']
        self.arrivals.append((self._timer.now(), request_id))
        if self._present >= self.slots + self.waiting:
            return self._refuse(request_id, conn, start)
        return self._serve(request_id, conn, body, start)

    def _serve(
        self,
        request_id: str,
        conn: caller_connection.CallerConnection,
        body: bytes,
        start: ty.Callable[..., ty.Any],
    ) -> ty.Iterable[bytes]:
        self._present += 1
        self._conns.add(conn)
        try:
            if not self.ignores_closes:
                conn.watch_for_close()
            with self._slots_taken:
                self.runs[request_id] += 1
                spread = self._random.uniform(-_WORK_SPREAD, _WORK_SPREAD)
                green.sleep_ms(self._work_ms * (1 + spread))
                self._wait_while_silent()
            self.completed += 1
        except caller_connection.CallerDisconnected:
            self.abandoned.append(request_id)
            if self._wait_while_silent():
                green.sleep_ms(self._random.uniform(0, _CLOSE_NOTICED_MS))
            raise
        finally:
            conn.stop_watching()
            self._conns.discard(conn)
            self._present -= 1
        payload = b'done:' + body
        headers = [
            *self.answer_headers(request_id),
            ('Content-Type', 'text/plain'),
            ('Content-Length', str(len(payload))),
        ]
        start('200 OK', headers)
        return [payload]

    def _refuse(
        self,
        request_id: str,
        conn: caller_connection.CallerConnection,
        start: ty.Callable[..., ty.Any],
    ) -> ty.Iterable[bytes]:
        now = self._timer.now()
        self.refusals.append(now)
        if self.states_limit and self._is_overrun(now):
            self._fall(now)
            self._break_off(conn)
        headers = [
            (names.NOT_RUN, '1'),
            (names.REQUEST_ID, request_id),
            ('Content-Length', '0'),
            *self._state_headers(),
        ]
        start('503 Service Unavailable', headers)
        return [b'']

    def _is_overrun(self, now: int) -> bool:
        """Count a refusal; return whether it is one too many."""
        self._recent.append(now)
        while self._recent[0] <= now - _WINDOW_MS:
            self._recent.popleft()
        return len(self._recent) > self.refusal_limit

    def _fall(self, now: int) -> None:
        """Reset all connections, and be down for a while."""
        self.falls.append(now)
        self._recent.clear()
        self._fallen_until = now + self._fall_ms
        for conn in list(self._conns):
            conn.reset()

    def _break_off(
        self, conn: caller_connection.CallerConnection
    ) -> ty.NoReturn:
        conn.reset()
        raise ConnectionResetError('fallen over')

    def _state_headers(self) -> list[tuple[str, str]]:
        if not self.states_limit:
            return []
        return [(names.BRITTLE, str(self.refusal_limit))]

    def _wait_while_silent(self) -> bool:
        """Wait until the upstream goes on; return whether it was silent."""
        was_silent = False
        while (left_ms := self._silent_until - self._timer.now()) > 0:
            was_silent = True
            green.sleep_ms(left_ms)
        return was_silent
