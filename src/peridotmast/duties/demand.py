"""How much work a service is asked for, measured over all routers."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb

_WINDOW_MS = 6000
"""Time over which a rate is taken: arrivals come in clumps, and orders take
a few seconds to serve, so that a shorter one would follow noise."""


_SHORTEST_S = 2.0
"""Shortest time that a rate is taken over: after a start, a clump of arrivals
in a moment would count for many times the demand."""

_SAMPLE_MS = 1000
"""Time between two samples of the rate."""

_SAMPLES = 60
"""Samples that are kept: a minute shows the usual swings, and what was asked
for earlier says less of the next one."""


class Demand:
    """Tokens offered to each service, by this router and by the others.

    Parameters
    ----------
    clock : clock.Clock
        Times the window.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._mine: collections.Counter[str] = collections.Counter()
        self._others: dict[str, tuple[int, dict[str, int]]] = {}
        self._total: collections.Counter[str] = collections.Counter()
        self._first_at: dict[str, int] = {}
        self._marks: collections.deque[tuple[int, dict[str, int]]] = (
            collections.deque()
        )
        self._samples: dict[str, collections.deque[float]] = {}
        self._sampled_at = 0

    def offered(self, service: str, tokens: int) -> None:
        """Count a request of so many tokens."""
        self._mine[service] += tokens
        self._add(service, tokens)

    def counts(self) -> list[pb.ServiceDemand]:
        """Return what this router was asked for in all its run."""
        return [
            pb.ServiceDemand(service=service, tokens=tokens)
            for service, tokens in self._mine.items()
        ]

    def hear(
        self,
        router: str,
        incarnation: int,
        counts: ty.Iterable[pb.ServiceDemand],
    ) -> None:
        """Take in what another router was asked for in all its run."""
        now = {count.service: count.tokens for count in counts}
        known = self._others.get(router)
        if known is not None and known[0] > incarnation:
            return
        self._others[router] = incarnation, now
        if known is None:
            return
        before = known[1] if known[0] == incarnation else {}
        for service, tokens in now.items():
            self._add(service, tokens - before.get(service, 0))

    def tick(self) -> None:
        """Mark the totals, so that rates can be taken from here on."""
        now = self._clock.now()
        self._marks.append((now, dict(self._total)))
        while self._marks and self._marks[0][0] < now - _WINDOW_MS:
            self._marks.popleft()
        if now - self._sampled_at >= _SAMPLE_MS:
            self._sampled_at = now
            self._sample(now)

    def is_known(self, service: str) -> bool:
        """Return whether `service` has been asked for over a whole window."""
        first = self._first_at.get(service)
        return first is not None and self._clock.now() - first >= _WINDOW_MS

    def rate(self, service: str) -> float:
        """Return the tokens a second that `service` was asked for lately."""
        if not self._marks:
            return 0.0
        at, totals = self._marks[0]
        seconds = max(_SHORTEST_S, (self._clock.now() - at) / 1000)
        return (self._total[service] - totals.get(service, 0)) / seconds

    def quantile(self, service: str, part: float) -> float:
        """Return the rate that was not exceeded for `part` of the time.

        Of rates over 2 s in the last minute, in tokens a second.
        """
        samples = sorted(self._samples.get(service, ()))
        if not samples:
            return 0.0
        return samples[min(len(samples) - 1, int(part * len(samples)))]

    def _sample(self, now: int) -> None:
        """Note the rates over the last seconds, once there are any."""
        since = now - int(_SHORTEST_S * 1000)
        at, totals = next(m for m in self._marks if m[0] >= since)
        seconds = max(_SHORTEST_S, (now - at) / 1000)
        for service, total in self._total.items():
            rate = (total - totals.get(service, 0)) / seconds
            kept = self._samples.setdefault(
                service, collections.deque(maxlen=_SAMPLES)
            )
            kept.append(rate)

    def _add(self, service: str, tokens: int) -> None:
        if tokens:
            self._first_at.setdefault(service, self._clock.now())
            self._total[service] += tokens
