"""Web application with injectable faults, which are set over HTTP."""

from __future__ import annotations

import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast import green
from peridotmast import web
from peridotmast.wire import caller_connection


class FaultyApp(web.WebApp):
    """Adds ``POST /faults``, ``GET /faults`` and ``GET /calls`` to a stand-in.

    The body of the POST may set ``outage``, ``hang`` and ``lose_reply`` (each
    the fraction of calls affected), ``slow_ms`` (the delay of each call) and
    ``for_ms`` (the duration of the faults). ``outage`` answers 503 at once,
    ``hang`` holds the call for 60 s, and ``lose_reply`` closes the connection
    after the call has taken effect.

    Parameters
    ----------
    name : str
        Name used in the log.
    seed : int
        Seed of the random choice of calls that a fault affects.
    max_body : int
        Largest request body accepted, in bytes.
    """

    def __init__(self, name: str, seed: int = 0, max_body: int = 4 << 20):
        super().__init__(name, max_body)
        self._rng = random.Random(seed)
        self._clock = clock_.SystemClock()
        self._faults: dict[str, float] = {}
        self._faults_until = 0
        self.calls: dict[str, int] = {}
        """Number of calls by the first two segments of their path."""
        self.route('POST', '/faults', self._set_faults)
        self.route('GET', '/faults', self._show_faults)
        self.route('GET', '/calls', self._show_calls)

    def set_faults(self, for_ms: int = 1 << 40, **faults: float) -> None:
        """Replace the injected faults, for `for_ms` from now on."""
        self._faults = faults
        self._faults_until = self._clock.now() + for_ms

    def in_outage(self) -> bool:
        """Return whether every call is currently answered with 503."""
        return self._fault_value('outage') >= 1

    def _answer(
        self,
        environ: dict[str, ty.Any],
        conn: caller_connection.CallerConnection,
    ) -> web.Response:
        path = environ['PATH_INFO']
        if path in ('/faults', '/calls'):
            return super()._answer(environ, conn)
        group = '/'.join(path.split('/')[:3])
        self.calls[group] = self.calls.get(group, 0) + 1
        if slow := self._fault_value('slow_ms'):
            green.sleep_ms(slow)
        if self._fault_occurs('outage'):
            return web.error_response(503, 'outage', 'fault')
        if self._fault_occurs('hang'):
            green.sleep_ms(60_000)
        loses_reply = self._fault_occurs('lose_reply')
        response = super()._answer(environ, conn)
        if loses_reply:
            conn.reset()
            raise ConnectionResetError('injected fault: reply lost')
        return response

    def _fault_value(self, fault: str) -> float:
        if self._clock.now() >= self._faults_until:
            return 0
        return self._faults.get(fault, 0)

    def _fault_occurs(self, fault: str) -> bool:
        share = self._fault_value(fault)
        return bool(share) and self._rng.random() < share

    def _set_faults(self, req: web.Request) -> web.Response:
        faults = req.json()
        for_ms = int(faults.pop('for_ms', 1 << 40))
        self.set_faults(for_ms, **faults)
        return web.json_response({})

    def _show_faults(self, req: web.Request) -> web.Response:
        active = self._faults if self._clock.now() < self._faults_until else {}
        return web.json_response(active)

    def _show_calls(self, req: web.Request) -> web.Response:
        return web.json_response(self.calls)
