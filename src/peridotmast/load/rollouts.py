"""Simulated roll-outs of good and bad versions, with a report and plots."""

from __future__ import annotations

import itertools
import os
import typing as ty

from peridotmast.load import driver as driver_
from peridotmast.load import plots
from peridotmast.load import report as report_
from peridotmast.load import rollout_model
from peridotmast.load import rollout_scenario as scenario_

Badness = scenario_.Badness
Trouble = scenario_.Trouble
Result = rollout_model.Result

_MAX_FAILED_SEEDS = 20

_MAX_ROLLED_BACK = {True: 0.01, False: 0.03}
"""Share of good versions that may be rolled back, on quiet days and others."""

_MIN_COMPLETED_IN_TIME = 0.98


def run(
    count: int,
    seed: int,
    folder: str,
    progress: driver_.Progress,
    badnesses: ty.Sequence[str] = (),
    troubles: ty.Sequence[str] = (),
    is_swapped: bool = False,
) -> list[str]:
    """Simulate roll-outs, write the report, and return what was broken.

    Parameters
    ----------
    count : int
        Number of roll-outs of each kind.
    seed : int
        Seed of the first one of each kind.
    badnesses, troubles : sequence of str
        Kinds to simulate; all by default.
    is_swapped : bool
        Whether each outcome is recorded for the other version, so that the
        checks fail.
    """
    kinds = itertools.product(
        [b for b in Badness if not badnesses or b.value in badnesses],
        [t for t in Trouble if not troubles or t.value in troubles],
    )
    rows, curves = [], {}
    for badness, trouble in kinds:
        results = []
        for number in range(seed, seed + count):
            progress(f'{badness.value} {trouble.value} {number}')
            scenario = scenario_.draw(badness, trouble, number)
            model = rollout_model.RolloutModel(scenario, is_swapped=is_swapped)
            results.append(model.run())
        rows.append(_summarize(badness, trouble, results))
        if trouble is Trouble.NONE:
            curves[badness.value] = results[0].curve
    report_.write(folder, {'count': count, 'seed': seed, 'kinds': rows})
    _plot(folder, curves)
    return [text for row in rows for text in _find_broken(row)]


def table(rows: ty.Iterable[dict[str, ty.Any]]) -> ty.Iterator[str]:
    """Yield the lines of a table of a report's kinds."""
    yield (
        '| version | trouble | completed | in time | rolled back | exposure of'
        ' bound p50 | p99 | most | last request after 50th bad answer, s |'
        ' bad completed | exposure broken |'
    )
    yield '|' + '---|' * 11
    for row in rows:
        exposure = row['exposure']
        yield (
            f'| {row["badness"]} | {row["trouble"]} | {row["completed"]} |'
            f' {row["in_time"]} | {row["rolled_back"]} |'
            f' {exposure["p50"]} | {exposure["p99"]} |'
            f' {row["most_exposure"]} | {row["most_stop_ms"] / 1000:.1f} |'
            f' {len(row["bad_completed"])} | {len(row["broken"])} |'
        )


def _summarize(
    badness: Badness, trouble: Trouble, results: ty.Sequence[Result]
) -> dict[str, ty.Any]:
    """Return the row of one kind of roll-outs for the report."""
    completed = [r for r in results if r.outcome == 'completed']
    bad = [r for r in results if r.was_bad_at_shift]
    shares = [r.exposed / r.bound for r in bad]
    return {
        'badness': badness.value,
        'trouble': trouble.value,
        'count': len(results),
        'completed': len(completed),
        'in_time': sum(
            r.ended_ms <= r.scenario.duration_ms for r in completed
        ),
        'rolled_back': sum(r.outcome == 'rolled_back' for r in results),
        'exposure': report_.percentiles(shares),
        'most_exposure': round(max(shares, default=0.0), 2),
        'most_stop_ms': max((r.stop_ms for r in bad), default=0),
        'bad_completed': _seeds(r for r in bad if r in completed),
        'broken': _seeds(r for r in results if r.is_exposure_broken),
    }


def _seeds(results: ty.Iterable[Result]) -> list[int]:
    return [result.scenario.seed for result in results]


def _find_broken(row: dict[str, ty.Any]) -> ty.Iterator[str]:
    """Yield what one kind of roll-outs has broken, with its seeds."""
    name = f'{row["badness"]} {row["trouble"]}'
    for what in ('bad_completed', 'broken'):
        if row[what]:
            seeds = ' '.join(map(str, row[what][:_MAX_FAILED_SEEDS]))
            yield f'{name}: {len(row[what])} {what}, seeds {seeds}'
    if row['badness'] != Badness.GOOD.value:
        return
    is_quiet = row['trouble'] == Trouble.NONE.value
    rolled_back = row['rolled_back'] / row['count']
    if rolled_back > _MAX_ROLLED_BACK[is_quiet]:
        yield f'{name}: {rolled_back:.3f} of the good versions rolled back'
    in_time = row['in_time'] / row['count']
    if is_quiet and in_time < _MIN_COMPLETED_IN_TIME:
        yield f'{name}: {in_time:.3f} of the good versions completed in time'


def _plot(
    folder: str, curves: ty.Mapping[str, ty.Sequence[tuple[int, int, float]]]
) -> None:
    """Plot exposure and evidence over the time of one roll-out per kind."""
    if not curves:
        return
    for name, index, label in (
        ('exposure', 1, 'requests at the target'),
        ('evidence', 2, 'log evidence against it'),
    ):
        series = {
            kind: (
                [point[0] / 1000 for point in curve],
                [max(-10.0, point[index]) for point in curve],
            )
            for kind, curve in curves.items()
        }
        path = os.path.join(folder, f'{name}.png')
        plots.lines(path, name, series, 's since the order', label)
