"""A caller that behaves, beside a crowd of clients that do not."""

from __future__ import annotations

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import green
from peridotmast.platform import names
from peridotmast.wire import connection as connection_

_LIMIT_MS = 10_000
_PAUSE_MS = 200
_CONNECT_MS = 1000
_MAX_ANSWER_BYTES = 1 << 16


class OrdinaryCaller:
    """Asks on a new connection each time, and again after a refusal.

    Parameters
    ----------
    address : str
        Address of a router's server.
    method, target : str
        What it asks.
    """

    def __init__(
        self, address: str, method: str = 'POST', target: str = '/pages/a'
    ) -> None:
        self._address = address
        self._method, self._target = method, target
        self._clock = clock_.SystemClock()
        self._tries = 0

    def is_answered(self) -> bool:
        """Ask until it is answered with success or the time is over."""
        deadline = self._clock.now() + _LIMIT_MS
        while self._clock.now() < deadline:
            if self._try(deadline):
                return True
            green.sleep_ms(_PAUSE_MS)
        return False

    def _try(self, deadline: int) -> bool:
        conn = connection_.Connection(self._address, self._clock)
        try:
            return self._ask(conn, deadline)
        finally:
            conn.close()

    def _ask(self, conn: connection_.Connection, deadline: int) -> bool:
        if conn.connect(_CONNECT_MS) is not None:
            return False
        self._tries += 1
        headers = [
            ('Host', shape_.HOST),
            (names.REQUEST_ID, f'ordinary-{self._tries}'),
            (names.AUTHORIZATION, f'{names.KEY_SCHEME}key-noor'),
        ]
        failure = conn.send(self._method, self._target, headers, b'', deadline)
        if failure is not None:
            return False
        head = conn.read_head(self._method, deadline)
        if isinstance(head, failures.Failure) or not head.is_success:
            return False
        body = conn.read_all(deadline, _MAX_ANSWER_BYTES)
        return isinstance(body, bytes)
