"""What was ordered and has not come, and what was refused of late."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb

Key = tuple[str, str, bool]
"""Service, failure domain, and whether its upstreams may be reclaimed."""

_BOOT_SLACK_MS = 2500
"""Time beside the boot after which what was ordered counts as lost: the
entry of a new upstream comes a heartbeat after it serves."""

_FIRST_PROBE_MS = 1500
_LAST_PROBE_MS = 4000
"""Pauses between orders where none were to be had: each is a call that is
paid for, and each second without is one of dearer upstreams."""

_AGAIN_MS = 1000
"""Pause after an order whose outcome is not known."""


@dataclasses.dataclass
class _Pending:
    live: int
    """Those that were there at the last look."""
    coming: int
    """Those that were ordered and have not come."""
    until: int


@dataclasses.dataclass
class _Closed:
    until: int
    pause_ms: int


class OrderTracker:
    """Orders of one holder of the duty, by kind and failure domain.

    Parameters
    ----------
    clock : clock.Clock
        Times boots and pauses.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._pending: dict[Key, _Pending] = {}
        self._closed: dict[Key, _Closed] = {}
        self.accepted_count = 0
        """Orders that were given."""

    def save(self) -> ty.Iterator[pb.OrderLeft]:
        """Yield what was ordered and has not come, for the next holder."""
        now = self._clock.now()
        for (service, domain, reclaimable), order in self._pending.items():
            yield pb.OrderLeft(
                service=service,
                failure_domain=domain,
                reclaimable=reclaimable,
                live=order.live,
                coming=order.coming,
                within_ms=max(0, order.until - now),
            )

    def restore(self, orders: ty.Iterable[pb.OrderLeft]) -> None:
        """Take in what another holder has ordered."""
        now = self._clock.now()
        for order in orders:
            key = order.service, order.failure_domain, order.reclaimable
            until = now + order.within_ms
            self._pending[key] = _Pending(order.live, order.coming, until)

    def clear(self) -> None:
        """Forget everything."""
        self._pending = {}
        self._closed = {}

    def expected(self, key: Key, live: int) -> int:
        """Return how many there are or will be, after what was ordered."""
        pending = self._pending.get(key)
        if pending is None:
            return live
        # Each that has come is awaited no more; one that is lost meanwhile
        # is not made good by those that were ordered before.
        pending.coming -= max(0, live - pending.live)
        pending.live = live
        if pending.coming <= 0 or self._clock.now() >= pending.until:
            del self._pending[key]
            return live
        return live + pending.coming

    def is_refused(self, key: Key) -> bool:
        """Return whether an order there was refused and none went since."""
        return key in self._closed

    def may_order(self, key: Key) -> bool:
        """Return whether an order for more may be tried now."""
        closed = self._closed.get(key)
        return closed is None or self._clock.now() >= closed.until

    def record_accepted(
        self, key: Key, live: int, coming: int, boot_ms: int
    ) -> None:
        """Note an order that was taken, for so many beside those there."""
        self._closed.pop(key, None)
        self.accepted_count += 1
        until = self._clock.now() + boot_ms + _BOOT_SLACK_MS
        self._pending[key] = _Pending(live, coming, until)

    def record_refused(self, key: Key) -> None:
        """Note an order that could not be met, and wait longer each time."""
        closed = self._closed.get(key)
        pause = _FIRST_PROBE_MS
        if closed is not None:
            pause = min(_LAST_PROBE_MS, closed.pause_ms * 2)
        self._closed[key] = _Closed(self._clock.now() + pause, pause)

    def record_unknown_outcome(self, key: Key) -> None:
        """Note an order whose outcome is not known."""
        self._pending.pop(key, None)
        until = self._clock.now() + _AGAIN_MS
        self._closed[key] = _Closed(until, _FIRST_PROBE_MS)

    def back_off_others(self, key: Key, keys: ty.Iterable[Key]) -> None:
        """Expect of `keys` what was refused for `key`, until one is tried.

        Where one failure domain has none to give, the others mostly have
        none either.
        """
        closed = self._closed[key]
        for other in keys:
            self._closed.setdefault(
                other, _Closed(closed.until, closed.pause_ms)
            )

    def retry_others(self, keys: ty.Iterable[Key]) -> None:
        """Try `keys` again at once: one failure domain has some to give."""
        for key in keys:
            closed = self._closed.get(key)
            if closed is not None:
                closed.until = 0
