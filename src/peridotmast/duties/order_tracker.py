"""Pending orders for upstreams, and back-off after refused orders."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb

Key = tuple[str, str, bool]
"""Service, failure domain, and whether the upstreams are reclaimable."""

_BOOT_MARGIN_MS = 2500
"""Time added to the boot time before an ordered upstream counts as lost: its
entry reaches the store one heartbeat after it starts to serve."""

_MIN_RETRY_MS = 1500
_MAX_RETRY_MS = 4000
"""Minimum and maximum pause before the retry of an order that was refused for
lack of capacity: each call is paid for, but so is each second in which more
expensive upstreams serve instead."""

_UNKNOWN_RETRY_MS = 1000
"""Pause after an order whose outcome is unknown."""


@dataclasses.dataclass
class _Pending:
    live: int
    """Number of live upstreams when `coming` was last updated."""
    coming: int
    """Number of ordered upstreams that have not started yet."""
    expires_at: int


@dataclasses.dataclass
class _Backoff:
    retry_at: int
    pause_ms: int


class OrderTracker:
    """Tracks the orders of one lease holder by kind and failure domain.

    Parameters
    ----------
    clock : clock.Clock
        Clock for boot times and for pauses after failed orders.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._pending: dict[Key, _Pending] = {}
        self._backoffs: dict[Key, _Backoff] = {}
        self.accepted_count = 0
        """Number of orders that were accepted."""

    def save(self) -> ty.Iterator[pb.OrderLeft]:
        """Yield the pending orders, for the next holder."""
        now = self._clock.now()
        for (service, domain, reclaimable), order in self._pending.items():
            yield pb.OrderLeft(
                service=service,
                failure_domain=domain,
                reclaimable=reclaimable,
                live=order.live,
                coming=order.coming,
                within_ms=max(0, order.expires_at - now),
            )

    def restore(self, orders: ty.Iterable[pb.OrderLeft]) -> None:
        """Add the pending orders of another holder."""
        now = self._clock.now()
        for order in orders:
            key = order.service, order.failure_domain, order.reclaimable
            expires_at = now + order.within_ms
            self._pending[key] = _Pending(order.live, order.coming, expires_at)

    def clear(self) -> None:
        """Remove all pending orders and back-offs."""
        self._pending = {}
        self._backoffs = {}

    def expected_count(self, key: Key, live: int) -> int:
        """Return the live upstreams of `key` plus those of its pending order.

        Parameters
        ----------
        live : int
            Upstreams that are live now.
        """
        pending = self._pending.get(key)
        if pending is None:
            return live
        # A new live upstream completes a part of the order. The loss of an
        # upstream does not enlarge the order: it needs an order of its own.
        pending.coming -= max(0, live - pending.live)
        pending.live = live
        if pending.coming <= 0 or self._clock.now() >= pending.expires_at:
            del self._pending[key]
            return live
        return live + pending.coming

    def has_backoff(self, key: Key) -> bool:
        """Return whether no order for `key` was accepted since one failed."""
        return key in self._backoffs

    def may_order(self, key: Key) -> bool:
        """Return whether another order for `key` may be made now."""
        backoff = self._backoffs.get(key)
        return backoff is None or self._clock.now() >= backoff.retry_at

    def record_accepted(
        self, key: Key, live: int, coming: int, boot_ms: int
    ) -> None:
        """Record an accepted order.

        Parameters
        ----------
        live : int
            Upstreams that were live at the order.
        coming : int
            Upstreams ordered in addition.
        boot_ms : int
            Time that an upstream takes to boot, in ms.
        """
        self._backoffs.pop(key, None)
        self.accepted_count += 1
        expires_at = self._clock.now() + boot_ms + _BOOT_MARGIN_MS
        self._pending[key] = _Pending(live, coming, expires_at)

    def record_refused(self, key: Key) -> None:
        """Record a refused order; the pause doubles with each refusal."""
        backoff = self._backoffs.get(key)
        pause = _MIN_RETRY_MS
        if backoff is not None:
            pause = min(_MAX_RETRY_MS, backoff.pause_ms * 2)
        self._backoffs[key] = _Backoff(self._clock.now() + pause, pause)

    def record_unknown_outcome(self, key: Key) -> None:
        """Record an order whose outcome is unknown."""
        self._pending.pop(key, None)
        retry_at = self._clock.now() + _UNKNOWN_RETRY_MS
        self._backoffs[key] = _Backoff(retry_at, _MIN_RETRY_MS)

    def back_off_others(self, key: Key, keys: ty.Iterable[Key]) -> None:
        """Apply the back-off of `key` to those of `keys` that have none.

        If one failure domain has no capacity, the other domains usually
        have none either.
        """
        backoff = self._backoffs[key]
        for other in keys:
            self._backoffs.setdefault(
                other, _Backoff(backoff.retry_at, backoff.pause_ms)
            )

    def retry_others(self, keys: ty.Iterable[Key]) -> None:
        """Allow orders for `keys` at once.

        Called when one failure domain has capacity again.
        """
        for key in keys:
            backoff = self._backoffs.get(key)
            if backoff is not None:
                backoff.retry_at = 0
