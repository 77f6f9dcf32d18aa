"""Store calls and control traffic against the number of routers."""

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
_MOST_CALLS = 0.6
"""Calls a second and router that are allowed without news."""

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
    """Return calls, control bytes and processor time at one size."""
    fleet = fleet_.Fleet(shape_.FleetShape(routers=routers), seed)
    fleet.start()
    green.sleep_ms(1500)
    before, began, spent = _counts(fleet), time.time(), time.process_time()
    green.sleep_ms(_IDLE_S * 1000)
    wall, cpu = time.time() - began, time.process_time() - spent
    after = _counts(fleet)
    idle = {name: (after[name] - before[name]) / wall for name in after}
    arrivals = arrivals_.draw(LOAD, _LOAD_S, seed)
    driver_.LoadDriver(fleet, oracle_.Oracle(fleet), seed).run(arrivals)
    loaded = _counts(fleet)
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
    """Return slope, value at 0 and spread of a straight line's fit."""
    rise, start = numpy.polyfit(sizes, values, 1)
    fitted = numpy.polyval((rise, start), sizes)
    spread = float(numpy.std(numpy.asarray(values) - fitted))
    return {
        'slope': round(float(rise), 6),
        'at_zero': round(float(start), 6),
        'spread': round(spread, 6),
    }


def run(seed: int, folder: str, progress: driver_.Progress) -> list[str]:
    """Measure all sizes and write the table with its slopes."""
    rows = []
    for size in SIZES:
        progress(f'{size} routers')
        rows.append(measure(size, seed))
    figures = [name for name in rows[0] if name != 'routers']
    slopes = {
        name: slope(SIZES, [row[name] for row in rows]) for name in figures
    }
    report_.write(folder, {'rows': rows, 'slopes': slopes})
    most = max(row['idle_store_calls_per_s'] / row['routers'] for row in rows)
    if most > _MOST_CALLS:
        return [f'{most:.2f} store calls a second and router without news']
    return []


def _counts(fleet: fleet_.Fleet) -> dict[str, int]:
    return {
        'calls': sum(router.store.calls for router in fleet.routers),
        'bytes': sum(r.beacons.sent_bytes for r in fleet.routers),
        'beacons': sum(r.beacons.sent for r in fleet.routers),
    }
