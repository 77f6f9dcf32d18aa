"""Upstreams that fall over if too many requests are refused at them."""

from __future__ import annotations

import math
import typing as ty

from peridotmast import clock as clock_
from peridotmast.serving import upstream_view

_FULL_WAIT_MS = 100
"""Time after which a place may be free at an upstream, in ms."""

_MAX_REST_MS = 10_000
"""Maximum time without a request after a refusal, in ms."""


class Brittleness:
    """Keeps requests from upstreams that would refuse them for want of room.

    A brittle upstream states how many refusals a second it bears. While it
    does, each router uses only its even share of the slots, so that all
    routers together have no more requests there than it has slots. After a
    refusal, a router sends nothing for the time in which it may cause one more
    refusal: the number of routers divided by that limit.

    Parameters
    ----------
    clock : clock.Clock
        Times the rests.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self.count_routers: ty.Callable[[], int] = lambda: 1
        """Returns the number of routers that use the upstreams."""

    def note_answer(
        self,
        view: upstream_view.UpstreamView,
        limit: float,
        refused: bool,
    ) -> None:
        """Record what the head of an answer states.

        Parameters
        ----------
        limit : float
            Refusals a second that the upstream bears; 0 if it states none.
        refused : bool
            Whether the answer is a refusal.
        """
        view.brittle_limit = limit
        if limit and refused:
            rest_ms = math.ceil(1000 * self.count_routers() / limit)
            view.note_rest(min(_MAX_REST_MS, rest_ms))

    def wait_ms(self, view: upstream_view.UpstreamView) -> int:
        """Return how long this router must not send to an upstream, in ms."""
        if not view.brittle_limit:
            return 0
        is_full = view.local_load.running >= self.share(view)
        return _FULL_WAIT_MS if is_full else 0

    def share(self, view: upstream_view.UpstreamView) -> int:
        """Return how many slots of an upstream this router may use."""
        return max(1, view.slots // self.count_routers())
