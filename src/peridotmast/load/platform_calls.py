"""Store calls and control traffic by the number of routers."""

from __future__ import annotations

import time
import typing as ty

import numpy

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.load import arrivals as arrivals_
from peridotmast.load import driver as driver_
from peridotmast.load import oracle as oracle_
from peridotmast.load import report as report_
from peridotmast.schema import peridotmast_pb2 as pb

SIZES = (4, 8, 16, 32)
_IDLE_S = 6.0
_LOAD_S = 4.0
_MAX_IDLE_CALLS_PER_S = 0.6
"""Maximum number of store calls per second of an idle router."""

LOAD = (
    pb.Workload(
        name='chats', team='kalnins', work='interactive', rate=10,
        tokens_min=10, tokens_max=10, prompt_words=8, shared_words=0,
        groups=1, idempotent=True, deadline_ms=8000, closes_at=3600,
    ),
    pb.Workload(
        name='holds', team='noor', work='interactive', rate=10,
        service='booking', idempotent=False, prompt_words=2, groups=1,
        tokens_min=1, tokens_max=1, deadline_ms=8000, closes_at=3600,
    ),
)  # fmt: skip


def measure(routers: int, seed: int) -> dict[str, float]:
    """Return store calls, beacons and processor time for one fleet size."""
    fleet = fleet_.Fleet(shape_.FleetShape(routers=routers), seed)
    fleet.start()
    green.sleep_ms(1500)
    before, began, spent = (
        _read_counters(fleet),
        time.time(),
        time.process_time(),
    )
    green.sleep_ms(_IDLE_S * 1000)
    wall, cpu = time.time() - began, time.process_time() - spent
    after = _read_counters(fleet)
    idle = {name: (after[name] - before[name]) / wall for name in after}
    arrivals = arrivals_.draw(LOAD, _LOAD_S, seed)
    driver_.LoadDriver(fleet, oracle_.Oracle(fleet), seed).run(arrivals)
    loaded = _read_counters(fleet)
    figures = {
        'routers': routers,
        'idle_store_calls_per_s': idle['calls'],
        'loaded_store_calls_per_s': (loaded['calls'] - after['calls'])
        / _LOAD_S,
        'beacon_bytes_per_s_per_router': idle['bytes'] / routers,
        'beacons_per_s_per_router': idle['beacons'] / routers,
        'idle_cpu_share_per_router': cpu / wall / routers,
    }
    fleet.stop()
    return {name: round(value, 4) for name, value in figures.items()}


def slope(
    sizes: ty.Sequence[float], values: ty.Sequence[float]
) -> dict[str, float]:
    """Fit a straight line.

    Returns
    -------
    dict
        Its slope, its value at 0 and the standard deviation of the residuals.
    """
    gradient, intercept = numpy.polyfit(sizes, values, 1)
    fitted = numpy.polyval((gradient, intercept), sizes)
    spread = float(numpy.std(numpy.asarray(values) - fitted))
    return {
        'slope': round(float(gradient), 6),
        'at_zero': round(float(intercept), 6),
        'spread': round(spread, 6),
    }


def run(seed: int, folder: str, progress: driver_.Progress) -> list[str]:
    """Measure all fleet sizes, write the report and return the violations."""
    rows = []
    for size in SIZES:
        progress(f'{size} routers')
        rows.append(measure(size, seed))
    figures = [name for name in rows[0] if name != 'routers']
    slopes = {
        name: slope(SIZES, [row[name] for row in rows]) for name in figures
    }
    report_.write(folder, {'rows': rows, 'slopes': slopes})
    worst = max(row['idle_store_calls_per_s'] / row['routers'] for row in rows)
    if worst > _MAX_IDLE_CALLS_PER_S:
        return [f'{worst:.2f} store calls per second and idle router']
    return []


def _read_counters(fleet: fleet_.Fleet) -> dict[str, int]:
    return {
        'calls': sum(router.store.calls for router in fleet.routers),
        'bytes': sum(r.beacons.sent_bytes for r in fleet.routers),
        'beacons': sum(r.beacons.sent for r in fleet.routers),
    }
