"""A web application whose faults are set over its own HTTP interface."""

from __future__ import annotations

import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast import green
from peridotmast import web
from peridotmast.wire import caller_connection


class FaultyApp(web.WebApp):
    """Adds ``POST /faults`` and ``GET /faults`` to a stand-in.

    The body names any of ``outage``, ``hang``, ``lose_reply`` (each the
    share of calls that it hits), ``slow_ms``, and ``for_ms`` for how long.
    ``outage`` answers 503 at once, ``hang`` swallows the call,
    ``lose_reply`` cuts the connection after the effect.

    Parameters
    ----------
    name : str
        Name in the log.
    seed : int
        Seed of the draws.
    """

    def __init__(self, name: str, seed: int = 0, max_body: int = 4 << 20):
        super().__init__(name, max_body)
        self._draws = random.Random(seed)
        self._clock = clock_.SystemClock()
        self._faults: dict[str, float] = {}
        self._until = 0
        self.calls: dict[str, int] = {}
        """Calls by the first two parts of their path."""
        self.route('POST', '/faults', self._set_faults)
        self.route('GET', '/faults', self._show_faults)
        self.route('GET', '/calls', self._show_calls)

    def set_faults(self, for_ms: int = 1 << 40, **faults: float) -> None:
        """Set the faults in force from now on."""
        self._faults = faults
        self._until = self._clock.now() + for_ms

    def is_out(self) -> bool:
        """Return whether every call is answered 503 for the moment."""
        return self._share('outage') >= 1

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
        if slow := self._share('slow_ms'):
            green.sleep_ms(slow)
        if self._hits('outage'):
            return web.error_response(503, 'outage', 'fault')
        if self._hits('hang'):
            green.sleep_ms(60_000)
        lost = self._hits('lose_reply')
        response = super()._answer(environ, conn)
        if lost:
            conn.reset()
            raise ConnectionResetError('the reply is lost')
        return response

    def _share(self, fault: str) -> float:
        if self._clock.now() >= self._until:
            return 0
        return self._faults.get(fault, 0)

    def _hits(self, fault: str) -> bool:
        share = self._share(fault)
        return bool(share) and self._draws.random() < share

    def _set_faults(self, req: web.Request) -> web.Response:
        faults = req.json()
        for_ms = int(faults.pop('for_ms', 1 << 40))
        self.set_faults(for_ms, **faults)
        return web.json_response({})

    def _show_faults(self, req: web.Request) -> web.Response:
        active = self._faults if self._clock.now() < self._until else {}
        return web.json_response(active)

    def _show_calls(self, req: web.Request) -> web.Response:
        return web.json_response(self.calls)
