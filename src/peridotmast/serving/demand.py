"""Demand for each service, measured over all routers."""

from __future__ import annotations

import collections
import statistics
import typing as ty

from peridotmast import clock as clock_
from peridotmast.serving import prefill_rate as prefill_rate_

_WINDOW_MS = 6000
"""Window over which a rate is measured, in ms: arrivals are bursty and scaling
orders take a few seconds to complete, so a shorter window would follow
noise."""


_MIN_SPAN_S = 2.0
"""Minimum time by which a token count is divided, in s: just after a start, a
burst divided by a shorter time would give a multiple of the actual demand."""

_SAMPLE_MS = 1000
"""Interval between two samples of the rate, in ms."""

_SAMPLES = 60
"""Number of samples kept: one minute covers the usual fluctuations, and older
demand predicts the next minute less well."""


class Demand:
    """Requested prompt tokens by service, at this and all other routers.

    Parameters
    ----------
    clock : clock.Clock
        Clock of the measurement window.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._own: collections.Counter[str] = collections.Counter()
        self._request_counts: collections.Counter[str] = collections.Counter()
        self._prefill_rates = prefill_rate_.PrefillRates()
        self._peer_rates: dict[str, dict[str, float]] = {}
        self._total: collections.Counter[str] = collections.Counter()
        self._first_at: dict[str, int] = {}
        self._reference_points: collections.deque[
            tuple[int, dict[str, int]]
        ] = collections.deque()
        self._samples: dict[str, collections.deque[float]] = {}
        self._sampled_at = 0

    def note_prefill(self, service: str, tokens: int, ms: int) -> None:
        """Record the prefill time of `tokens` at an idle engine, in ms."""
        self._prefill_rates.add_sample(service, tokens, ms)

    def prefill_rate(self, service: str) -> ty.Optional[float]:
        """Return the prefill rate of `service`, in tokens per ms.

        This is the median of the estimates of all routers; None if no router
        has enough samples.
        """
        own = self._prefill_rates.tokens_per_ms(service)
        found = [rates.get(service, 0) for rates in self._peer_rates.values()]
        found = [rate for rate in [*found, own or 0] if rate > 0]
        return statistics.median(found) if found else None

    def prefill_overhead_ms(self, service: str) -> int:
        """Return the fixed part of the time to the first event, in ms."""
        return self._prefill_rates.overhead_ms(service)

    def count_request(self, service: str, tokens: int) -> None:
        """Count a request to this router with a prompt of `tokens`."""
        self._own[service] += tokens
        self._request_counts[service] += 1
        self._add(service, tokens)

    def mean_request_tokens(self, service: str) -> float:
        """Return the mean tokens per request to this router; 0 if none."""
        return self._own[service] / max(1, self._request_counts[service])

    def counts(self) -> dict[str, int]:
        """Return the tokens requested from this router since it started."""
        return dict(self._own)

    def count_from_peers(self, counts: dict[str, int]) -> None:
        """Add tokens that were requested from other routers."""
        for service, tokens in counts.items():
            self._add(service, tokens)

    def own_prefill_rates(self) -> dict[str, float]:
        """Return the estimates of this router by service, in tokens per ms."""
        rates = {s: self._prefill_rates.tokens_per_ms(s) for s in self._own}
        return {s: rate for s, rate in rates.items() if rate}

    def set_peer_prefill_rates(
        self, router: str, rates: dict[str, float]
    ) -> None:
        """Replace the prefill rates that another router has estimated."""
        self._peer_rates[router] = rates

    def retain_routers(self, routers: ty.Collection[str]) -> None:
        """Drop the estimates of all routers that are not in `routers`."""
        self._peer_rates = {
            r: v for r, v in self._peer_rates.items() if r in routers
        }

    def tick(self) -> None:
        """Store the current token totals, from which rates are computed."""
        now = self._clock.now()
        self._reference_points.append((now, dict(self._total)))
        while (
            self._reference_points
            and self._reference_points[0][0] < now - _WINDOW_MS
        ):
            self._reference_points.popleft()
        if now - self._sampled_at >= _SAMPLE_MS:
            self._sampled_at = now
            self._sample(now)

    def has_full_window(self, service: str) -> bool:
        """Return whether `service` was first requested a full window ago."""
        first = self._first_at.get(service)
        return first is not None and self._clock.now() - first >= _WINDOW_MS

    def rate(self, service: str) -> float:
        """Return the current demand for `service`, in tokens per second."""
        if not self._reference_points:
            return 0.0
        at, totals = self._reference_points[0]
        seconds = max(_MIN_SPAN_S, (self._clock.now() - at) / 1000)
        return (self._total[service] - totals.get(service, 0)) / seconds

    def quantile(self, service: str, share: float) -> float:
        """Return a quantile of the demand for `service`.

        Taken over the rates of 2 s intervals in the last minute, in tokens
        per second.

        Parameters
        ----------
        share : float
            The quantile, from 0 to 1.
        """
        samples = sorted(self._samples.get(service, ()))
        if not samples:
            return 0.0
        return samples[min(len(samples) - 1, int(share * len(samples)))]

    def _sample(self, now: int) -> None:
        """Store a sample of the rate of each service over the last seconds."""
        since = now - int(_MIN_SPAN_S * 1000)
        at, totals = next(m for m in self._reference_points if m[0] >= since)
        seconds = max(_MIN_SPAN_S, (now - at) / 1000)
        for service, total in self._total.items():
            rate = (total - totals.get(service, 0)) / seconds
            samples = self._samples.setdefault(
                service, collections.deque(maxlen=_SAMPLES)
            )
            samples.append(rate)

    def _add(self, service: str, tokens: int) -> None:
        if tokens:
            self._first_at.setdefault(service, self._clock.now())
            self._total[service] += tokens
