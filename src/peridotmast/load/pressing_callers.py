"""Callers that press on routers, each with one request at a time."""

from __future__ import annotations

import itertools
import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import green
from peridotmast.platform import names
from peridotmast.wire import connection as connection_

_IDEMPOTENT_SHARE = 0.6
_KEEP_SHARE = 0.8
"""Share of requests that a caller sends on its open connection."""
_DEADLINE_MS = 8000
_CONNECT_MS = 1000
_DEFAULT_RETRY_MS = 200
_AT_ONCE_MS = 5
_MAX_RESPONSE_BYTES = 1 << 16


class PressingCallers:
    """Callers of a plain service that ask again until the run ends.

    Parameters
    ----------
    addresses : callable
        Returns the addresses of the routers that run.
    leave_ms : int
        Time after which a caller leaves and asks again; 0 if it waits.
    at_once : bool
        Whether callers ignore the time to come back.
    seed : int
        Seed of the callers' choices.
    """

    def __init__(
        self,
        addresses: ty.Callable[[], ty.Sequence[str]],
        leave_ms: int,
        at_once: bool,
        seed: int,
    ) -> None:
        self._addresses = addresses
        self._leave_ms = leave_ms
        self._at_once = at_once
        self._random = random.Random(seed)
        self._clock = clock_.SystemClock()
        self._ids = itertools.count(1)
        self._ends_at = 0
        self._tasks: list[ty.Any] = []
        self.counts = {'answered': 0, 'refused': 0, 'failed': 0, 'left': 0}
        """Number of requests by their outcome."""

    def start(self, count: int, spread_ms: float, ends_at: int) -> None:
        """Start callers, the last one after `spread_ms`."""
        self._ends_at = ends_at
        for _ in range(count):
            delay_ms = self._random.uniform(0, spread_ms)
            self._tasks.append(green.spawn(self._call_repeatedly, delay_ms))

    def wait(self) -> None:
        """Wait until the last request has ended."""
        for task in self._tasks:
            task.wait()

    def _call_repeatedly(self, delay_ms: float) -> None:
        green.sleep_ms(delay_ms)
        conn: ty.Optional[connection_.Connection] = None
        while self._clock.now() < self._ends_at:
            conn = conn or self._connect()
            if conn is None:
                green.sleep_ms(_DEFAULT_RETRY_MS)
            else:
                conn = self._call(conn)
        if conn is not None:
            conn.close()

    def _connect(self) -> ty.Optional[connection_.Connection]:
        addresses = self._addresses()
        if not addresses:
            return None
        address = self._random.choice(addresses)
        conn = connection_.Connection(address, self._clock)
        return conn if conn.connect(_CONNECT_MS) is None else None

    def _call(
        self, conn: connection_.Connection
    ) -> ty.Optional[connection_.Connection]:
        """Send one request; return the connection if it is kept."""
        deadline = self._clock.now() + (self._leave_ms or _DEADLINE_MS)
        head = self._request(conn, deadline)
        if isinstance(head, failures.Failure):
            conn.close()
            has_left = self._leave_ms and self._clock.now() >= deadline
            self._count('left' if has_left else 'failed')
            if not has_left:
                green.sleep_ms(_DEFAULT_RETRY_MS)
            return None
        if head.status == 200:
            self._count('answered')
            if conn.is_reusable() and self._random.random() < _KEEP_SHARE:
                return conn
        else:
            self._count('refused' if head.status in (429, 503) else 'failed')
            green.sleep_ms(self._pause_ms(head))
        conn.close()
        return None

    def _request(
        self, conn: connection_.Connection, deadline: int
    ) -> ty.Union[connection_.ResponseHead, failures.Failure]:
        """Return the head of a response whose body has been read."""
        is_idempotent = self._random.random() < _IDEMPOTENT_SHARE
        headers = [
            ('Host', shape_.HOST),
            (names.REQUEST_ID, f'call-{next(self._ids)}'),
            (names.DEADLINE_MS, str(_DEADLINE_MS)),
            (names.AUTHORIZATION, f'{names.KEY_SCHEME}key-noor'),
        ]
        path = '/pages/a' if is_idempotent else '/holds/a'
        failure = conn.send('POST', path, headers, b'a', deadline)
        if failure is not None:
            return failure
        head = conn.read_head('POST', deadline)
        if isinstance(head, failures.Failure):
            return head
        body = conn.read_all(deadline, _MAX_RESPONSE_BYTES)
        return body if isinstance(body, failures.Failure) else head

    def _count(self, outcome: str) -> None:
        self.counts[outcome] += 1

    def _pause_ms(self, head: connection_.ResponseHead) -> float:
        if self._at_once:
            return _AT_ONCE_MS
        text = head.get(names.RETRY_AFTER)
        wait_ms = float(text) * 1000 if text else _DEFAULT_RETRY_MS
        return min(wait_ms, _DEADLINE_MS / 3)
