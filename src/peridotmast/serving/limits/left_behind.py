"""Requests at brittle upstreams whose answers this router no longer awaits."""

from __future__ import annotations

import socket

from peridotmast import clock as clock_
from peridotmast import green
from peridotmast.serving import upstream_view

_SILENCE_MS = 3000
"""Time after the deadline of a request in which a silent upstream may still
hold it, in ms."""


class LeftBehind:
    """Keeps the slots of requests until their upstreams have ended them.

    A caller may leave, or another attempt may replace one, while the upstream
    stands still: it holds the request until it has read that the connection
    was closed. This router closes only its own direction. The upstream then
    ends the request and closes its direction, or answers.

    Parameters
    ----------
    clock : clock.Clock
        Clock for deadlines.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock

    def keep(
        self,
        view: upstream_view.UpstreamView,
        deadline: int,
        sock: socket.socket,
    ) -> None:
        """Keep the slot of a request that was sent on a connection.

        Parameters
        ----------
        deadline : int
            Time by which the upstream ends the request at the latest, unless
            it is silent, in ms.
        sock : socket.socket
            The connection, which is closed here.
        """
        view.left_behind += 1
        green.spawn(self._wait, view, deadline, sock)

    def _wait(
        self,
        view: upstream_view.UpstreamView,
        deadline: int,
        sock: socket.socket,
    ) -> None:
        left_ms = max(0, deadline - self._clock.now()) + _SILENCE_MS
        try:
            sock.shutdown(socket.SHUT_WR)
            green.poller.wait(sock.fileno(), left_ms)
        except OSError:
            # The upstream has reset the connection.
            pass
        finally:
            view.left_behind -= 1
            green.poller.unregister(sock.fileno())
            sock.close()
