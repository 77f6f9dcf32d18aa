"""A planned stop: out of sight at once, then everything in work is ended."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import members as members_
from peridotmast import green
from peridotmast import logs
from peridotmast.serving import gateway as gateway_

_LOOK_MS = 50
_LISTEN_MS = 1500
"""How long connections are taken at least: callers that have not heard of
the stop come back a few times in this time, and the others are told."""

_TAKES_ALL_MS = 2000
"""How long everything is still taken on: callers go elsewhere within the two
seconds that they keep an answer on where to connect. Later ones would be cut
off by the end; a refusal costs them a few milliseconds."""

_LAST_MS = 250
"""Kept back of the grace time for the way out."""


class Drain:
    """Ends one router's work within its grace time.

    Parameters
    ----------
    clock : clock.Clock
        Times the stop.
    members : members.Members
        This router's entry, which says that it leaves.
    announce : callable
        Tells the peers.
    close_idle : callable
        Closes kept connections, and the others after their answers.
    gateway : gateway.Gateway
        Knows what is in work, and takes less on.
    release : callable
        Gives up the duties that this router may have.
    grace_ms : int
        Time from the signal to the kill.
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
        """Leave, then wait until nothing is in work."""
        began = self._clock.now()
        self._gateway.drain(
            began + _TAKES_ALL_MS, began + self._grace_ms - _LAST_MS
        )
        self._members.change_me(state=members_.LEAVING, ready=False)
        self._announce()
        self._close_idle()
        self._log.info('drain_begun', in_work=self._gateway.in_flight)
        # Last, since the store may be slow to answer.
        self._release()
        while not self._is_over(self._clock.now() - began):
            green.sleep_ms(_LOOK_MS)
        # Nothing may begin between this look and the end.
        self._gateway.close()
        self._log.info(
            'drain_over',
            in_work=self._gateway.in_flight,
            ms=self._clock.now() - began,
        )

    def _is_over(self, spent_ms: int) -> bool:
        if spent_ms >= self._grace_ms - _LAST_MS:
            return True
        return spent_ms >= _LISTEN_MS and not self._gateway.in_flight
