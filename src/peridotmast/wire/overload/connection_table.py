"""Connections of one server, and which of them may be closed for others."""

from __future__ import annotations

import heapq
import select
import socket
import typing as ty

from peridotmast import clock as clock_
from peridotmast.wire.overload import events as events_
from peridotmast.wire.overload import memory_budget
from peridotmast.wire.overload import read_progress

_CLOSED_SHARE = 0.05
"""Share of the connections that are closed at once when there is no room, so
that not each further connection has to search for one."""

_SAMPLE_MS = 200
"""Minimum time between two looks for answers that are not read, in ms: each
takes two system calls a connection."""

_PRESSED_MS = 1000
"""Time after a refusal in which connections end with their answers."""


class ConnectionEntry:
    """State of one connection.

    Parameters
    ----------
    sock : eventlet.greenio.GreenSocket
        Its socket.
    now : int
        Time at which it was accepted, in ms.
    """

    def __init__(self, sock: ty.Any, now: int) -> None:
        self.sock = sock
        self.since = now
        """Time at which its wait or its request began, in ms."""
        self.account: ty.Optional[memory_budget.MemoryAccount] = None
        """Account of the current request; None between two requests."""
        self._progress = read_progress.ReadProgress(sock)
        self.was_shut = False
        """Whether it was closed for others: what still arrives on it can't be
        answered, and must not run."""

    @property
    def is_reading(self) -> bool:
        """Whether it has a request that is not whole, and so can't run."""
        phases = (memory_budget.Phase.HEAD, memory_budget.Phase.BODY)
        return self.account is not None and self.account.phase in phases

    def is_stalled(self, now: int) -> bool:
        """Return whether the client has not read its answer for a while."""
        if self.account is None or not self.account.is_answering:
            return False
        return self.account.is_stalled(now) or self._progress.is_stalled(now)


class ConnectionTable:
    """Limits the connections of one server.

    When there is no room, the connections are closed that have waited longest
    for a request, and if there are none, those whose requests have been read
    for the longest time without being whole, and then those that do not read
    their answers. A request that may run keeps its connection until then.

    Parameters
    ----------
    clock : clock.Clock
        Times connections.
    events : events.OverloadEvents
        Counts closed connections.
    max_connections : int
        Maximum number of connections.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        events: events_.OverloadEvents,
        max_connections: int,
    ) -> None:
        self._clock = clock
        self._events = events
        self.max_connections = max_connections
        """Maximum number of connections."""
        self._entries: dict[ty.Any, ConnectionEntry] = {}
        self._refused_at: ty.Optional[int] = None
        self._sampled_at: ty.Optional[int] = None

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def is_full(self) -> bool:
        """Whether there is no room for another connection."""
        return len(self._entries) >= self.max_connections

    @property
    def is_pressed(self) -> bool:
        """Whether others were refused, and connections are to end soon.

        Clients that send one request after the other on all connections would
        keep all others away otherwise.
        """
        return (
            self._refused_at is not None
            and self._clock.now() - self._refused_at <= _PRESSED_MS
        )

    def note_refused(self) -> None:
        """Record that there was no room for a connection."""
        self._events.note(events_.OverloadEvent.REFUSED_CONNECTION)
        self._refused_at = self._clock.now()

    def add(self, sock: ty.Any) -> None:
        """Add an accepted connection."""
        self._entries[sock] = ConnectionEntry(sock, self._clock.now())

    def remove(self, sock: ty.Any) -> None:
        """Forget a connection that is closed."""
        self._entries.pop(sock, None)

    def begin_wait(self, sock: ty.Any) -> None:
        """Record that a connection waits for its next request."""
        self._set(sock, None)

    def begin_request(
        self, sock: ty.Any, account: memory_budget.MemoryAccount
    ) -> None:
        """Record that a request has begun on a connection."""
        self._set(sock, account)

    def was_shut(self, sock: ty.Any) -> bool:
        """Return whether a connection was closed to make room."""
        entry = self._entries.get(sock)
        return entry is not None and entry.was_shut

    def idle(self) -> list[ConnectionEntry]:
        """Return the connections that wait for a request."""
        return [e for e in self._entries.values() if e.account is None]

    def close_some(self) -> None:
        """Close connections so that others find room."""
        count = max(1, int(_CLOSED_SHARE * len(self._entries)))
        closed = self._close_oldest(
            count,
            [e for e in self.idle() if not has_unread_bytes(e.sock)],
            events_.OverloadEvent.CLOSED_IDLE,
        )
        closed = closed or self._close_oldest(
            count,
            [e for e in self._entries.values() if e.is_reading],
            events_.OverloadEvent.CLOSED_READING,
        )
        if not closed:
            self._close_oldest(
                count,
                self._find_stalled(),
                events_.OverloadEvent.ABORTED_ANSWER,
            )

    def _find_stalled(self) -> list[ConnectionEntry]:
        """Return the connections whose clients do not read their answers."""
        now, sampled_at = self._clock.now(), self._sampled_at
        if sampled_at is not None and now - sampled_at < _SAMPLE_MS:
            return []
        self._sampled_at = now
        return [e for e in self._entries.values() if e.is_stalled(now)]

    def _close_oldest(
        self,
        count: int,
        entries: ty.Iterable[ConnectionEntry],
        event: events_.OverloadEvent,
    ) -> int:
        open_entries = [entry for entry in entries if not entry.was_shut]
        oldest = heapq.nsmallest(count, open_entries, key=lambda e: e.since)
        for entry in oldest:
            self._events.note(event)
            entry.was_shut = True
            if entry.account is not None:
                entry.account.evict()
            shutdown(entry.sock)
        return len(oldest)

    def _set(
        self, sock: ty.Any, account: ty.Optional[memory_budget.MemoryAccount]
    ) -> None:
        entry = self._entries.get(sock)
        if entry is not None:
            entry.account = account
            entry.since = self._clock.now()


def has_unread_bytes(sock: ty.Any) -> bool:
    """Return whether a connection has unread bytes or was closed."""
    if sock.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def shutdown(sock: ty.Any) -> None:
    """End both directions of a connection; its task closes it."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The client has closed the connection already.
        pass
