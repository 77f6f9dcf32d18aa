"""Planned stop of a router, which finishes the running requests."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import members as members_
from peridotmast import green
from peridotmast import logs
from peridotmast.serving import gateway as gateway_

_POLL_MS = 50
_MIN_ACCEPT_MS = 1500
"""Minimum time for which connections are accepted. Callers that do not know of
the stop yet connect again a few times in this period, and learn of it."""

_EXIT_RESERVE_MS = 250
"""Part of the grace time that is reserved for the exit of the process."""

_FAILURE_MS = 100
"""Time in which requests are answered that have not ended by then, in ms."""


class Drain:
    """Finishes a router's running requests within its grace time.

    Parameters
    ----------
    clock : clock.Clock
        Times the drain.
    members : members.Members
        This router's entry, which is marked as leaving.
    announce : callable
        Sends the changed entry to the peers.
    close_idle : callable
        Closes idle connections, and busy ones after their answers.
    gateway : gateway.Gateway
        Counts running requests, and refuses those that may last too long.
    release : callable
        Releases the duties if this router holds them.
    grace_ms : int
        Time from the stop signal until the process is killed.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        members: members_.Members,
        announce: ty.Callable[[], None],
        close_idle: ty.Callable[[], None],
        gateway: gateway_.Gateway,
        release: ty.Callable[[], None],
        grace_ms: int,
    ) -> None:
        self._clock = clock
        self._members = members
        self._announce = announce
        self._close_idle = close_idle
        self._gateway = gateway
        self._release = release
        self._grace_ms = grace_ms
        self._log = logs.get('drain', router=members.me.name)

    def run(self) -> None:
        """Withdraw the router, then wait until no request is running."""
        started_at = self._clock.now()
        # A request that might be cut off at the end is refused at once, which
        # costs its caller a few milliseconds.
        self._gateway.drain(started_at + self._grace_ms - _EXIT_RESERVE_MS)
        self._members.update_own_entry(state=members_.LEAVING, ready=False)
        self._announce()
        self._close_idle()
        self._log.info('drain_started', in_flight=self._gateway.in_flight)
        # Called last, since the store may be slow to answer.
        self._release()
        while not self._is_over(self._clock.now() - started_at):
            green.sleep_ms(_POLL_MS)
        # No request may start between the last check and the end.
        self._gateway.close()
        failed = self._gateway.fail_waiting()
        if failed:
            green.sleep_ms(_FAILURE_MS)
        self._log.info(
            'drain_finished',
            in_flight=self._gateway.in_flight,
            failed=failed,
            ms=self._clock.now() - started_at,
        )

    def _is_over(self, elapsed_ms: int) -> bool:
        if elapsed_ms >= self._grace_ms - _EXIT_RESERVE_MS:
            return True
        return elapsed_ms >= _MIN_ACCEPT_MS and not self._gateway.in_flight
