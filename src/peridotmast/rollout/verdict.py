"""Sequential test of a version on trial against the versions in use.

The test may be evaluated after every answer. For each measure, the likelihood
of the target's answers under several bad alternatives is compared with that
under the baseline's rate in the same time window. An alternative is a rate of
bad answers and the window in which the target has turned bad. Under a good
target, each such likelihood ratio is a non-negative supermartingale, and so is
their weighted sum. By Ville's inequality (1939) the probability that it ever
reaches `1 / alpha` is at most `alpha` (mixture sequential probability ratio
test: Robbins, 1970; Johari, Pekelis and Walsh, 2015; with unknown time of
change: Shiryaev, 1963; Shin, Ramdas and Rinaldo, 2022).
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
import math
import typing as ty

from peridotmast.rollout import report_book
from peridotmast.serving import evidence

ALL_ROUTES = ''
"""Name of the test of all routes together."""

_FALSE_ALARM = 0.003
"""Probability that a good target is found bad, over all tests."""

_SUSPECT_LOG_EVIDENCE = -0.7
"""Log evidence from which a target is not accepted. Good targets stay below it
by a margin, since their answers contradict every alternative."""

_PRIOR_ANSWERS = 20
"""Answers of the whole roll-out that count in each window's rate."""

_PRIOR_BAD = 1.0
_PRIOR_GOOD = 19.0
"""Bad and good answers of the baseline that are assumed in advance."""

_SLOW_FACTOR = 2.0
_MAX_SLOW_SHARE = 0.1
"""An answer is slow if it takes this many times the baseline's median and
longer than all but this share of the baseline's answers."""

_START_WEIGHT = 1 / 24
"""Weight of each window in which the target may have turned bad. There are
fewer windows up to the time limit of an order."""

_MIN_TIMES = 10
"""Minimum number of the baseline's answers to define slow ones."""

_UNPAIRED_MARGIN = 0.04
"""Margin of the rate in windows in which the baseline has no answers, since
trouble in such a window may concern the platform rather than the target."""


_LogRatios = dict[int, dict[str, list[float]]]
"""Log likelihood ratio of each rate, by window and upstream."""


class Measure(enum.Enum):
    """What is compared between the versions."""

    FAILED = 'failed'
    FIRST = 'first event'
    GAP = 'between events'


@dataclasses.dataclass(frozen=True)
class _Alternatives:
    """Rates of bad answers of a bad target, and the margin of a good one."""

    rates: tuple[float, ...]
    factor: float
    """Multiple of the baseline's rate that a good target may have."""
    margin: float
    """Rate that it may have in addition."""


_ALTERNATIVES = {
    Measure.FAILED: _Alternatives((0.08, 0.25, 0.6), 1.5, 0.01),
    Measure.FIRST: _Alternatives((0.25, 0.5, 0.9), 1.3, 0.04),
    Measure.GAP: _Alternatives((0.25, 0.5, 0.9), 1.3, 0.04),
}


@dataclasses.dataclass
class _Counts:
    """Number of answers, and of bad ones among them."""

    total: int = 0
    bad: int = 0

    def add(self, total: int, bad: int) -> None:
        self.total += total
        self.bad += bad


@dataclasses.dataclass(frozen=True)
class Row:
    """Result of one test."""

    route: str
    measure: Measure
    target: _Counts
    baseline: _Counts
    log_evidence: float
    """Logarithm of the factor by which the answers favour a bad target."""


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Results of all tests."""

    rows: ty.Sequence[Row]
    answers_by_route: ty.Mapping[str, int]
    """Number of the target's answers that have ended; 0 for routes that only
    the other versions have answered."""
    upstreams: int
    """Number of upstreams that these answers come from."""

    @property
    def answers(self) -> int:
        """Number of the target's answers that have ended."""
        return sum(self.answers_by_route.values())

    @property
    def strongest(self) -> ty.Optional[Row]:
        """The test with the most evidence against the target."""
        return max(self.rows, key=lambda r: r.log_evidence, default=None)

    @property
    def bad_answers(self) -> int:
        """Number of the target's answers that are bad by any one measure."""
        return max((row.target.bad for row in self.rows), default=0)

    @property
    def is_bad(self) -> bool:
        """Whether the target has proved bad."""
        threshold = math.log(max(1, len(self.rows)) / _FALSE_ALARM)
        return self._exceeds(threshold)

    @property
    def is_suspect(self) -> bool:
        """Whether the target may be bad."""
        return self._exceeds(_SUSPECT_LOG_EVIDENCE)

    def _exceeds(self, threshold: float) -> bool:
        strongest = self.strongest
        return strongest is not None and strongest.log_evidence >= threshold


def judge(
    cells: ty.Mapping[report_book.CellKey, report_book.Cell],
    upstream_count: int = 2,
) -> Verdict:
    """Return the verdict on the outcomes of all routers.

    Parameters
    ----------
    upstream_count : int
        Number of upstreams that the target has. Unless it is 1, a single
        upstream proves nothing.
    """
    routes = sorted({route for _, route, _ in cells})
    rows = [
        row
        for measure in Measure
        for row in _test_measure(cells, routes, measure, upstream_count > 1)
    ]
    answers = dict.fromkeys(routes, 0)
    for (_, route, upstream), cell in cells.items():
        answers[route] += cell.ended if upstream else 0
    upstreams = {u for (_, _, u), cell in cells.items() if u and cell.ended}
    return Verdict(rows, answers, len(upstreams))


def _test_measure(
    cells: ty.Mapping[report_book.CellKey, report_book.Cell],
    routes: ty.Sequence[str],
    measure: Measure,
    needs_two: bool,
) -> ty.Iterator[Row]:
    """Yield the tests of one measure: each route, and all together."""
    overall: _LogRatios = {}
    target, baseline = _Counts(), _Counts()
    for route in routes:
        counts = _count(cells, route, measure)
        ratios = _log_ratios(counts, _ALTERNATIVES[measure])
        for window, by_upstream in ratios.items():
            for upstream, logs in by_upstream.items():
                _add_logs(overall, window, upstream, logs)
        row = Row(
            route,
            measure,
            _sum(c for (_, u), c in counts.items() if u),
            _sum(c for (_, u), c in counts.items() if not u),
            _total_evidence(ratios, needs_two),
        )
        target.add(row.target.total, row.target.bad)
        baseline.add(row.baseline.total, row.baseline.bad)
        if row.target.total:
            yield row
    if target.total:
        combined = _total_evidence(overall, needs_two)
        yield Row(ALL_ROUTES, measure, target, baseline, combined)


def _count(
    cells: ty.Mapping[report_book.CellKey, report_book.Cell],
    route: str,
    measure: Measure,
) -> dict[tuple[int, str], _Counts]:
    """Return the answers of a route by window and upstream."""
    own = {
        (window, upstream): cell
        for (window, name, upstream), cell in cells.items()
        if name == route
    }
    if measure is Measure.FAILED:
        return {
            key: _Counts(cell.ended, cell.failed) for key, cell in own.items()
        }
    times = {
        key: cell.first if measure is Measure.FIRST else cell.gaps
        for key, cell in own.items()
    }
    slow_above = _slow_above(times)
    if slow_above is None:
        return {}
    return {
        key: _Counts(
            sum(histogram.values()),
            sum(n for b, n in histogram.items() if b > slow_above),
        )
        for key, histogram in times.items()
    }


def _slow_above(
    times: ty.Mapping[tuple[int, str], report_book.Histogram],
) -> ty.Optional[int]:
    """Return the bucket above which answers are slow; None if unknown."""
    baseline: report_book.Histogram = collections.Counter()
    for (_, upstream), histogram in times.items():
        if not upstream:
            baseline.update(histogram)
    total = sum(baseline.values())
    if total < _MIN_TIMES:
        return None
    buckets = sorted(baseline)
    sums = list(itertools.accumulate(baseline[b] for b in buckets))
    median = next(b for b, n in zip(buckets, sums) if 2 * n >= total)
    high = next(
        b for b, n in zip(buckets, sums) if n >= (1 - _MAX_SLOW_SHARE) * total
    )
    return max(high, median + evidence.buckets_for(_SLOW_FACTOR))


def _log_ratios(
    counts: ty.Mapping[tuple[int, str], _Counts],
    alternatives: _Alternatives,
) -> _LogRatios:
    """Return the log likelihood ratios of the target's answers."""
    whole = _sum(c for (_, upstream), c in counts.items() if not upstream)
    rate = (whole.bad + _PRIOR_BAD) / (whole.total + _PRIOR_BAD + _PRIOR_GOOD)
    ratios: _LogRatios = {}
    for (window, upstream), target in counts.items():
        if not upstream or not target.total:
            continue
        paired = counts.get((window, ''), _Counts())
        good_rate = _good_rate(paired, rate, alternatives)
        logs = [
            _log_ratio(target, bad_rate, good_rate)
            if bad_rate > good_rate
            else 0.0
            for bad_rate in alternatives.rates
        ]
        _add_logs(ratios, window, upstream, logs)
    return ratios


def _add_logs(
    ratios: _LogRatios,
    window: int,
    upstream: str,
    logs: ty.Sequence[float],
) -> None:
    by_upstream = ratios.setdefault(window, {})
    known = by_upstream.get(upstream, [0.0] * len(logs))
    by_upstream[upstream] = [a + b for a, b in zip(known, logs)]


def _total_evidence(ratios: _LogRatios, needs_two: bool) -> float:
    """Return the log evidence over all windows from which it may count."""
    since: dict[str, list[float]] = {}
    logs = []
    for window in sorted(ratios, reverse=True):
        for upstream, added in ratios[window].items():
            known = since.get(upstream, [0.0] * len(added))
            since[upstream] = [a + b for a, b in zip(known, added)]
        logs.append(_combine(since, needs_two))
    if not logs or max(logs) == -math.inf:
        return -math.inf
    return math.log(_START_WEIGHT) + _log_sum_exp(logs)


def _good_rate(
    paired: _Counts, rate: float, alternatives: _Alternatives
) -> float:
    """Return the rate of bad answers that a good target may have."""
    bad = paired.bad + _PRIOR_ANSWERS * rate
    in_window = bad / (paired.total + _PRIOR_ANSWERS)
    margin = alternatives.margin
    if not paired.total:
        margin += _UNPAIRED_MARGIN
    return min(0.9, alternatives.factor * in_window + margin)


def _log_ratio(counts: _Counts, bad_rate: float, good_rate: float) -> float:
    good = counts.total - counts.bad
    return counts.bad * math.log(bad_rate / good_rate) + good * math.log(
        (1 - bad_rate) / (1 - good_rate)
    )


def _combine(
    by_upstream: ty.Mapping[str, ty.Sequence[float]], needs_two: bool
) -> float:
    """Return the log evidence that remains without any one upstream.

    A bad version is bad at all of its upstreams, while a single one may fail
    for another reason.
    """
    if len(by_upstream) < 1 + needs_two:
        return -math.inf
    sums = [sum(logs) for logs in zip(*by_upstream.values())]
    if len(by_upstream) == 1:
        return _log_mean_exp(sums)
    return min(
        _log_mean_exp([a - b for a, b in zip(sums, logs)])
        for logs in by_upstream.values()
    )


def _log_mean_exp(logs: ty.Sequence[float]) -> float:
    return _log_sum_exp(logs) - math.log(len(logs))


def _log_sum_exp(logs: ty.Sequence[float]) -> float:
    highest = max(logs)
    return highest + math.log(sum(math.exp(log - highest) for log in logs))


def _sum(counts: ty.Iterable[_Counts]) -> _Counts:
    total = _Counts()
    for item in counts:
        total.add(item.total, item.bad)
    return total
