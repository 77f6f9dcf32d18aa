"""Kept connections by address."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.wire import connection as connection_

KEEP_ALIVE_SHARE = 0.6
"""Part of the time that an upstream states in which a connection is used
again; the rest covers the way there, late timers and rounding."""

DEFAULT_KEEP_ALIVE_MS = 2000
"""Longest idleness of a connection whose upstream states no time. A request
that may run only once and meets a closing connection is lost, so this is
shorter than any time-out that servers commonly have."""

MAX_IDLE_PER_ADDRESS = 64
"""Kept connections to one upstream; more are closed as they fall idle."""


class ConnectionPool:
    """Gives connections out and takes those back that are still good.

    Parameters
    ----------
    clock : clock.Clock
        Times idleness.
    connect_ms : int
        Bound on connecting.
    """

    def __init__(self, clock: clock_.Clock, connect_ms: int) -> None:
        self._clock = clock
        self.connect_ms = connect_ms
        """Bound on connecting, in ms."""
        self._idle: dict[str, collections.deque[connection_.Connection]] = {}
        self.opened = 0
        """Connections opened so far."""

    def acquire(
        self, address: str
    ) -> ty.Union[connection_.Connection, failures.Failure]:
        """Return a clean connection; a failure means nothing was sent."""
        idle = self._idle.get(address, ())
        while idle:
            # The newest first, so that the others can grow too old.
            conn = idle.pop()
            if self._is_fresh(conn) and conn.is_clean():
                return conn
            conn.close()
        conn = connection_.Connection(address, self._clock)
        self.opened += 1
        failure = conn.connect(self.connect_ms)
        return conn if failure is None else failure

    def release(self, address: str, conn: connection_.Connection) -> None:
        """Keep a connection whose answer has ended, if it is still good."""
        idle = self._idle.setdefault(address, collections.deque())
        if not conn.is_reusable() or len(idle) >= MAX_IDLE_PER_ADDRESS:
            conn.close()
            return
        conn.idle_since = self._clock.now()
        idle.append(conn)

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        for address, idle in list(self._idle.items()):
            while idle and not self._is_fresh(idle[0]):
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def close_idle(self, address: str) -> None:
        """Close every idle connection to `address`."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.close_idle(address)

    def _is_fresh(self, conn: connection_.Connection) -> bool:
        keep = conn.keep_alive_ms * KEEP_ALIVE_SHARE or DEFAULT_KEEP_ALIVE_MS
        return self._clock.now() - conn.idle_since <= keep
