"""How much work a service is asked for, measured over all routers."""

from __future__ import annotations

import collections
import statistics
import typing as ty

from peridotmast import clock as clock_
from peridotmast.serving import prefill_rate as prefill_rate_

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
        self._request_counts: collections.Counter[str] = collections.Counter()
        self._prefill_rates = prefill_rate_.PrefillRates()
        self._speeds: dict[str, dict[str, float]] = {}
        self._total: collections.Counter[str] = collections.Counter()
        self._first_at: dict[str, int] = {}
        self._marks: collections.deque[tuple[int, dict[str, int]]] = (
            collections.deque()
        )
        self._samples: dict[str, collections.deque[float]] = {}
        self._sampled_at = 0

    def note_prefill(self, service: str, tokens: int, ms: int) -> None:
        """Take in how long an idle engine took to read so many tokens."""
        self._prefill_rates.add_sample(service, tokens, ms)

    def prefill_rate(self, service: str) -> ty.Optional[float]:
        """Return the tokens a ms that engines of `service` read.

        The middle one of what the routers have seen; None where none has
        seen enough.
        """
        mine = self._prefill_rates.tokens_per_ms(service)
        seen = [speeds.get(service, 0) for speeds in self._speeds.values()]
        seen = [speed for speed in [*seen, mine or 0] if speed > 0]
        return statistics.median(seen) if seen else None

    def count_request(self, service: str, tokens: int) -> None:
        """Count a request of so many tokens."""
        self._mine[service] += tokens
        self._request_counts[service] += 1
        self._add(service, tokens)

    def mean_request_tokens(self, service: str) -> float:
        """Return the mean tokens per request to this router; 0 if none."""
        return self._mine[service] / max(1, self._request_counts[service])

    def counts(self) -> dict[str, int]:
        """Return what this router was asked for in all its run."""
        return dict(self._mine)

    def count_from_peers(self, counts: dict[str, int]) -> None:
        """Count what other routers were asked for."""
        for service, tokens in counts.items():
            self._add(service, tokens)

    def own_prefill_rates(self) -> dict[str, float]:
        """Return the tokens a ms that engines read, by service."""
        speeds = {s: self._prefill_rates.tokens_per_ms(s) for s in self._mine}
        return {s: speed for s, speed in speeds.items() if speed}

    def set_peer_prefill_rates(
        self, router: str, speeds: dict[str, float]
    ) -> None:
        """Take in how fast engines read, as another router sees it."""
        self._speeds[router] = speeds

    def retain_routers(self, routers: ty.Collection[str]) -> None:
        """Drop what routers have seen that are not among these."""
        self._speeds = {r: v for r, v in self._speeds.items() if r in routers}

    def tick(self) -> None:
        """Mark the totals, so that rates can be taken from here on."""
        now = self._clock.now()
        self._marks.append((now, dict(self._total)))
        while self._marks and self._marks[0][0] < now - _WINDOW_MS:
            self._marks.popleft()
        if now - self._sampled_at >= _SAMPLE_MS:
            self._sampled_at = now
            self._sample(now)

    def has_full_window(self, service: str) -> bool:
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
