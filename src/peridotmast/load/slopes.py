"""Measurements of the cost per unit of load, for docs/CAPACITY.md."""

from __future__ import annotations

import gc
import json
import os
import resource
import time
import typing as ty

import prometheus_client

from peridotmast.duties import capacity_plan
from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import green
from peridotmast.load import driver as driver_
from peridotmast.load import overhead
from peridotmast.load import platform_calls
from peridotmast.load import plots
from peridotmast.load import profiling
from peridotmast.load import report as report_
from peridotmast.load import state_slopes
from peridotmast.platform import config_codec
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import route_table
from peridotmast.standin import engine
from peridotmast.wire import http_client

Rows = list[dict[str, float]]
"""One row for each size, with the size and the measured values."""

_NODES = (4, 8, 16, 24)
_ROUTES = (16, 128, 512)
_STREAMS = (25, 50, 100)
_IDLE_S = 5.0
_PROCESS_WATCH_S = 15.0


def run(
    seed: int, folder: str, progress: driver_.Progress, router: str = ''
) -> list[str]:
    """Measure everything and write the measurements with straight-line fits.

    Parameters
    ----------
    router : str
        HTTP address of an idle router in another process; its processor
        time and memory are read from its metrics.
    """
    report: dict[str, ty.Any] = {}
    if router:
        progress('process')
        report['process'] = _measure_process(router)
    for name, func, size in _MEASUREMENTS:
        progress(name)
        gc.collect()
        rows = func(seed)
        report[name] = {'rows': rows, 'fits': _fit_lines(rows, size)}
    report_.write(folder, report)
    _plot(folder, report['routers']['rows'])
    return []


def _plot(folder: str, nodes: Rows) -> None:
    plots.lines(
        os.path.join(folder, 'slopes.png'),
        'One idle process with N routers and the stand-ins',
        {
            'processor, % of a core': (
                [row['routers'] for row in nodes],
                [row['cpu_share'] * 100 for row in nodes],
            ),
        },
        'routers',
        '%',
    )


def _measure_process(address: str) -> dict[str, float]:
    """Return the share of a core and the memory in MB of an idle router."""
    first = _read_process_metrics(address)
    green.sleep_ms(_PROCESS_WATCH_S * 1000)
    last = _read_process_metrics(address)
    spent = (
        last['process_cpu_seconds_total'] - first['process_cpu_seconds_total']
    )
    return {
        'cpu_share': round(spent / _PROCESS_WATCH_S, 5),
        'resident_mb': round(last['process_resident_memory_bytes'] / 2**20, 1),
    }


def _read_process_metrics(address: str) -> dict[str, float]:
    reply = http_client.HttpClient().request('GET', address, '/metrics')
    if isinstance(reply, failures.Failure):
        raise OSError(f'{address}: {reply.reason}')
    pairs = (line.split(' ') for line in reply.body.decode().splitlines())
    return {
        pair[0]: float(pair[1])
        for pair in pairs
        if len(pair) == 2 and pair[0].startswith('process_')
    }


def _fit_lines(rows: Rows, size: str) -> dict[str, dict[str, float]]:
    sizes = [row[size] for row in rows]
    return {
        name: platform_calls.slope(sizes, [row[name] for row in rows])
        for name in rows[0]
        if name != size
    }


def _measure_routers(seed: int) -> Rows:
    """Measure processor time, beacons and memory of idle routers."""
    return [_measure_idle_routers(count, seed) for count in _NODES]


def _measure_idle_routers(count: int, seed: int) -> dict[str, float]:
    fleet = fleet_.Fleet(shape_.FleetShape(routers=count), seed)
    fleet.start()
    green.sleep_ms(1500)
    resident = _resident_mb()
    began, spent = time.time(), time.process_time()
    payload = sum(router.beacons.sent_bytes for router in fleet.routers)
    sent = sum(router.beacons.sent for router in fleet.routers)
    store_calls = sum(router.store.calls for router in fleet.routers)
    green.sleep_ms(_IDLE_S * 1000)
    wall = time.time() - began
    row = {
        'routers': float(count),
        'cpu_share': (time.process_time() - spent) / wall,
        'beacon_bytes_per_s': (
            sum(router.beacons.sent_bytes for router in fleet.routers)
            - payload
        )
        / wall,
        'beacons_per_s': (sum(r.beacons.sent for r in fleet.routers) - sent)
        / wall,
        'store_calls_per_s': (
            sum(r.store.calls for r in fleet.routers) - store_calls
        )
        / wall,
        'resident_mb': resident,
    }
    fleet.stop()
    return row


def _resident_mb() -> float:
    with open('/proc/self/statm', encoding='ascii') as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / 2**20


def _measure_streams(seed: int) -> Rows:
    """Measure processor time per event and memory of streams."""
    rows = []
    for count in _STREAMS:
        shape = shape_.FleetShape(
            routers=1,
            domains=2,
            services=0,
            engine_profile=engine.EngineProfile(step_ms=25, batch_size=64),
            chat=False,
        )
        fleet = fleet_.Fleet(shape, seed)
        fleet.start()
        before = _resident_mb()
        routed = overhead.measure(fleet, count, routed=True)
        growth = _resident_mb() - before
        direct = overhead.measure(fleet, count, routed=False)
        fleet.stop()
        rows.append(
            {
                'streams': float(count),
                'router_us_an_event': routed.us_an_event - direct.us_an_event,
                'memory_growth_mb': round(growth, 2),
            }
        )
    return rows


def _measure_configurations(seed: int) -> Rows:
    rows = []
    for count in _ROUTES:
        config = pb.Config(
            routes=[
                pb.Route(
                    name=f'r-{n}',
                    host='peridot.example',
                    prefix=f'/route{n}/',
                    kind=pb.STREAMING,
                    timeout_ms=15_000,
                    target_ms=1200,
                    attempts=2,
                    services=['draft-pool'],
                )
                for n in range(count)
            ],
            teams=[pb.Team(name=f't-{n}', keys=[f'k-{n}']) for n in range(16)],
        )
        document = config_codec.write_config(config, 1)
        table = route_table.RouteTable(config)
        rows.append(
            {
                'routes': float(count),
                'document_bytes': float(len(json.dumps(document))),
                'read_us': profiling.measure_cpu_us(
                    lambda: config_codec.read_config(document), 3
                ),
                'table_us': profiling.measure_cpu_us(
                    lambda: route_table.RouteTable(config), 3
                ),
                'route_us': profiling.measure_cpu_us(
                    lambda: table.route('peridot.example', '/route7/a/b'), 100
                ),
            }
        )
    return rows


def _measure_plans(seed: int) -> Rows:
    rows = []
    for count in (8, 64, 512):
        market = capacity_plan.Market(
            {f'fd-{n}': 1.0 + n / 10 for n in range(5)}, 0.22, 1, count
        )
        rows.append(
            {
                'engines': float(count),
                'plan_us': profiling.measure_cpu_us(
                    lambda: capacity_plan.cheapest_mix(market, count)
                ),
            }
        )
    return rows


def _measure_metrics(seed: int) -> Rows:
    """Measure a scrape of metrics by the number of series."""
    rows = []
    for count in (5, 50, 200):
        registry = prometheus_client.CollectorRegistry()
        counter = prometheus_client.Counter(
            'c', 'c', ['team'], registry=registry
        )
        for number in range(count):
            counter.labels(f'team-{number}').inc()
        rows.append(
            {
                'series': float(count),
                'scrape_us': profiling.measure_cpu_us(
                    lambda: prometheus_client.generate_latest(registry), 5
                ),
            }
        )
    return rows


_Measurement = tuple[str, ty.Callable[[int], Rows], str]

_MEASUREMENTS: tuple[_Measurement, ...] = (
    ('upstream_records', state_slopes.upstream_records, 'upstreams'),
    ('memberships', state_slopes.memberships, 'members'),
    ('beacons', state_slopes.beacons, 'upstreams'),
    ('configurations', _measure_configurations, 'routes'),
    ('plans', _measure_plans, 'engines'),
    ('metrics', _measure_metrics, 'series'),
    ('routers', _measure_routers, 'routers'),
    ('streams', _measure_streams, 'streams'),
)
"""Name of each measurement, its function, and the column with the size."""
