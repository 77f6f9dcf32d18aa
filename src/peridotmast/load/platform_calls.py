"""Platform calls a second against the number of routers."""

from __future__ import annotations

import time
import typing as ty

import numpy

from peridotmast.embedded import fleet as fleet_
from peridotmast import green
from peridotmast.load import arrivals as arrivals_
from peridotmast.load import driver as driver_
from peridotmast.load import oracle as oracle_
from peridotmast.load import report as report_
from peridotmast.schema import peridotmast_pb2 as pb

SIZES = (4, 8, 16, 32)
_IDLE_S = 6.0
_LOAD_S = 4.0

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
    shape = fleet_.FleetShape(routers=routers, controllers=1)
    fleet = fleet_.Fleet(shape, seed)
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
        'idle_reads_per_s': idle['read'],
        'idle_writes_per_s': idle['write'],
        'idle_watches_per_s': idle['watch'],
        'loaded_writes_per_s': (loaded['write'] - after['write']) / _LOAD_S,
        'loaded_reads_per_s': (loaded['read'] - after['read']) / _LOAD_S,
        'control_bytes_per_s_per_router': idle['bytes'] / routers,
        'control_messages_per_s_per_router': idle['messages'] / routers,
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
    names = [name for name in rows[0] if name != 'routers']
    slopes = {
        name: slope(SIZES, [row[name] for row in rows]) for name in names
    }
    report_.write(folder, {'rows': rows, 'slopes': slopes})
    # A watch lasts 10 s, so two watchers make few calls however many ask.
    most = max(row['idle_watches_per_s'] for row in rows)
    return ['watches grow with routers'] if most > 1.0 else []


def _counts(fleet: fleet_.Fleet) -> dict[str, int]:
    return {
        **{name: fleet.objects.counts[name] for name in ('read', 'write')},
        'watch': fleet.objects.counts['watch'],
        'bytes': sum(r.gossip.sent_bytes for r in fleet.routers),
        'messages': sum(r.gossip.messages for r in fleet.routers),
    }
