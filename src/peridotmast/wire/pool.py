"""Pool of idle HTTP connections by address."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.wire import connection as connection_

KEEP_ALIVE_SHARE = 0.6
"""Share of the upstream's keep-alive time-out in which an idle connection is
reused; the rest allows for network delay, late timers and rounding."""

DEFAULT_KEEP_ALIVE_MS = 2000
"""Maximum idle time if the upstream states no keep-alive time-out. It is
shorter than common server time-outs, because a request that must not run
twice is lost if it is sent on a connection that the server is closing."""

MAX_IDLE_PER_ADDRESS = 64
"""Maximum number of idle connections to one upstream; further ones are closed
when they become idle."""


class ConnectionPool:
    """Opens connections and keeps idle ones for reuse.

    Parameters
    ----------
    clock : clock.Clock
        Measures idle times.
    connect_ms : int
        Time-out for connecting, in ms.
    receive_buffer_bytes : int, optional
        Size of the kernel's receive buffers; 0 for the kernel's own choice.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        connect_ms: int,
        receive_buffer_bytes: int = 0,
    ) -> None:
        self._clock = clock
        self.connect_ms = connect_ms
        """Time-out for connecting, in ms."""
        self._receive_buffer_bytes = receive_buffer_bytes
        self._idle: dict[str, collections.deque[connection_.Connection]] = {}
        self.opened = 0
        """Number of connections opened so far."""
        self.connect_address: ty.Callable[[str], str] = lambda address: address
        """Returns the address to connect to: that of a proxy in a test."""

    def acquire(
        self, address: str
    ) -> ty.Union[connection_.Connection, failures.Failure]:
        """Return an idle or a new connection without unread bytes.

        A failure means that no connection could be opened, so that nothing was
        sent.
        """
        idle = self._idle.get(address, ())
        while idle:
            # Reuse the most recently used connection first, so that unneeded
            # connections expire.
            conn = idle.pop()
            if self._is_fresh(conn) and conn.is_clean():
                return conn
            conn.close()
        conn = self._new(address)
        self.opened += 1
        failure = conn.connect(self.connect_ms)
        return conn if failure is None else failure

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to `address` can be reused."""
        return any(
            self._is_fresh(conn) and conn.is_clean()
            for conn in self._idle.get(address, ())
        )

    def open_idle(self, address: str) -> ty.Optional[failures.Failure]:
        """Open a connection and keep it for reuse, or return a failure."""
        conn = self._new(address)
        failure = conn.connect(self.connect_ms)
        if failure is None:
            self.opened += 1
            conn.idle_since = self._clock.now()
            idle = self._idle.setdefault(address, collections.deque())
            idle.append(conn)
        return failure

    def release(self, address: str, conn: connection_.Connection) -> None:
        """Keep a connection for reuse if its response left it reusable."""
        idle = self._idle.setdefault(address, collections.deque())
        if not conn.is_reusable() or len(idle) >= MAX_IDLE_PER_ADDRESS:
            conn.close()
            return
        conn.idle_since = self._clock.now()
        idle.append(conn)

    def close_expired(self) -> None:
        """Close connections whose idle time exceeds the limit."""
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

    def _new(self, address: str) -> connection_.Connection:
        return connection_.Connection(
            self.connect_address(address),
            self._clock,
            self._receive_buffer_bytes,
        )

    def _is_fresh(self, conn: connection_.Connection) -> bool:
        max_idle_ms = (
            conn.keep_alive_ms * KEEP_ALIVE_SHARE or DEFAULT_KEEP_ALIVE_MS
        )
        return self._clock.now() - conn.idle_since <= max_idle_ms
