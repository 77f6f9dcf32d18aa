"""Every slope that docs/CAPACITY.md is worked out from."""

from __future__ import annotations

import gc
import json
import os
import resource
import time
import tracemalloc
import typing as ty

import prometheus_client

from peridotmast import clock as clock_
from peridotmast.coordination import members as members_
from peridotmast.duties import capacity_plan
from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import green
from peridotmast.load import driver as driver_
from peridotmast.load import overhead
from peridotmast.load import platform_calls
from peridotmast.load import plots
from peridotmast.load import report as report_
from peridotmast.platform import config_codec
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import placement
from peridotmast.serving import route_table
from peridotmast.serving import upstreams as upstreams_
from peridotmast.standin import engine
from peridotmast.wire import calls

Rows = list[dict[str, float]]

_NODES = (4, 8, 16, 24)
_RECORDS = (1000, 2000, 4000, 5700)
_MEMBERS = (80, 160, 330)
_ROUTES = (16, 128, 512)
_ENGINES = (8, 32, 128)
_STREAMS = (25, 50, 100)
_WATCH_S = 5.0
_PROCESS_S = 15.0
_BEACONS = 200
_PLACEMENTS = 30
_WORKED_AT = 20


def run(
    seed: int, folder: str, progress: driver_.Progress, router: str = ''
) -> list[str]:
    """Measure everything and write rows and straight-line fits.

    Parameters
    ----------
    router : str
        HTTP address of a router that runs as a process of its own, whose
        idle processor time and memory are read from its metrics.
    """
    measured: dict[str, ty.Any] = {}
    if router:
        progress('process')
        measured['process'] = _process(router)
    for name, func, size in _MEASURES:
        progress(name)
        gc.collect()
        rows = func(seed)
        measured[name] = {'rows': rows, 'fits': _fits(rows, size)}
    report_.write(folder, measured)
    _plot(folder, measured['routers']['rows'])
    return []


def _plot(folder: str, nodes: Rows) -> None:
    plots.lines(
        os.path.join(folder, 'slopes.png'),
        'One process with N routers and the stand-ins, idle',
        {
            'processor, % of a core': (
                [row['routers'] for row in nodes],
                [row['cpu_share'] * 100 for row in nodes],
            ),
        },
        'routers',
        '%',
    )


def _process(address: str) -> dict[str, float]:
    """Return an idle router's share of a core, and its memory in MB."""
    first = _process_metrics(address)
    green.sleep_ms(_PROCESS_S * 1000)
    last = _process_metrics(address)
    spent = (
        last['process_cpu_seconds_total'] - first['process_cpu_seconds_total']
    )
    return {
        'cpu_share': round(spent / _PROCESS_S, 5),
        'resident_mb': round(last['process_resident_memory_bytes'] / 2**20, 1),
    }


def _process_metrics(address: str) -> dict[str, float]:
    reply = calls.HttpCalls().call('GET', address, '/metrics')
    if isinstance(reply, failures.Failure):
        raise OSError(f'{address}: {reply.reason}')
    pairs = (line.split(' ') for line in reply.body.decode().splitlines())
    return {
        pair[0]: float(pair[1])
        for pair in pairs
        if len(pair) == 2 and pair[0].startswith('process_')
    }


def _fits(rows: Rows, size: str) -> dict[str, dict[str, float]]:
    sizes = [row[size] for row in rows]
    return {
        name: platform_calls.slope(sizes, [row[name] for row in rows])
        for name in rows[0]
        if name != size
    }


def _timed(func: ty.Callable[[], ty.Any], times: int = 1) -> float:
    """Return the processor time of one call, in us."""
    began = time.process_time()
    for _ in range(times):
        func()
    return (time.process_time() - began) / times * 1e6


def _held(make: ty.Callable[[], ty.Any]) -> tuple[float, ty.Any]:
    """Return the bytes that what `make` returns holds, and that."""
    tracemalloc.start()
    made = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size), made


# ------------------------------------------------------------------- routers


def _routers(seed: int) -> Rows:
    """Idle routers in one process: processor, beacons, memory."""
    return [_idle_routers(count, seed) for count in _NODES]


def _idle_routers(count: int, seed: int) -> dict[str, float]:
    fleet = fleet_.Fleet(shape_.FleetShape(routers=count), seed)
    fleet.start()
    green.sleep_ms(1500)
    resident = _resident_mb()
    began, spent = time.time(), time.process_time()
    payload = sum(router.beacons.sent_bytes for router in fleet.routers)
    sent = sum(router.beacons.sent for router in fleet.routers)
    store_calls = sum(router.store.calls for router in fleet.routers)
    green.sleep_ms(_WATCH_S * 1000)
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


def _streams(seed: int) -> Rows:
    """Streams through one router: processor time an event, memory."""
    rows = []
    for count in _STREAMS:
        shape = shape_.FleetShape(
            routers=1,
            domains=2,
            services=0,
            times=engine.EngineTimes(step_ms=25, batch=64),
            chat=False,
        )
        fleet = fleet_.Fleet(shape, seed)
        fleet.start()
        before = _resident_mb()
        routed = overhead.measure(fleet, count, routed=True)
        held = _resident_mb() - before
        direct = overhead.measure(fleet, count, routed=False)
        fleet.stop()
        rows.append(
            {
                'streams': float(count),
                'router_us_an_event': routed.us_an_event - direct.us_an_event,
                'memory_growth_mb': round(held, 2),
            }
        )
    return rows


# ----------------------------------------------------------- what routers hold


def record_of(number: int) -> pb.UpstreamRecord:
    """Return an upstream's record as large as a real one."""
    return pb.UpstreamRecord(
        upstream=pb.Upstream(
            name=f'i-{number:010x}',
            address=f'10.{number // 60000}.{number // 250}.{number % 250}:80',
            failure_domain=f'region-1-fd-{number % 5}',
            service='draft-pool',
            slots=32,
        ),
        state=pb.UPSTREAM_STATE_LIVE,
        revision=number + 1,
        reclaimable=True,
    )


def _upstream_records(seed: int) -> Rows:
    service = pb.Service(
        name='draft-pool', engine=True, slots=32, memory_tokens=600_000
    )
    rows = []
    for count in _RECORDS:
        records = [record_of(number) for number in range(count)]
        held, table = _held(lambda: _table_of(records))
        news = record_of(0)
        news.revision = count + 1
        news.state = pb.UPSTREAM_STATE_LEAVING
        places = placement.Placement(
            table, placement.ScoredPolicy('region-1-fd-1'), 'edge-1'
        )
        _place(places, service)
        steady_us = _timed(lambda: _place(places, service), _PLACEMENTS)
        merge_us = _timed(lambda: table.merge(news))
        rows.append(
            {
                'upstreams': float(count),
                'merge_us': merge_us,
                'first_after_change_us': _timed(
                    lambda: _place(places, service)
                ),
                'placement_us': steady_us,
                'beacon_us': _timed(lambda: _take_loads(table), 50),
                'held_bytes': held,
                'reply_bytes': float(
                    pb.UpstreamsReply(upstreams=records).ByteSize()
                ),
            }
        )
    return rows


def _take_loads(table: upstreams_.UpstreamTable) -> None:
    """Take in what a peer with work at some upstreams tells."""
    loads = [
        pb.UpstreamLoad(upstream=f'i-{number:010x}', running=3)
        for number in range(_WORKED_AT)
    ]
    table.take_loads('edge-2', loads)


def _table_of(
    records: ty.Sequence[pb.UpstreamRecord],
) -> upstreams_.UpstreamTable:
    table = upstreams_.UpstreamTable(clock_.SystemClock())
    table.merge_all(records)
    return table


def _place(places: placement.Placement, service: pb.Service) -> None:
    parts = (
        exchange_.PromptPart('a1', 500),
        exchange_.PromptPart('b2', 4000),
        exchange_.PromptPart('c3', 6000),
    )
    exchange = exchange_.Exchange(
        id='1',
        method='POST',
        target='/x',
        headers=[],
        body=b'',
        route=pb.Route(name='chat', kind=pb.STREAMING),
        team='kalnins',
        priority=0,
        urgency=4,
        entered=0,
        ends_at=0,
        caller=ty.cast(ty.Any, None),
        prompt=exchange_.Prompt('m', 10_500, 300, parts),
    )
    place = places.choose(exchange, service)
    if place is not None:
        place.release()


def _member(number: int) -> pb.Member:
    host = f'10.0.{number // 250}.{number % 250}'
    return pb.Member(
        name=f'edge-region-1-{number}',
        incarnation=1_796_000_000_000,
        revision=3,
        address=f'{host}:8700',
        peer_address=f'{host}:8701',
        beacon_address=f'{host}:7600',
        failure_domain=f'region-1-fd-{number % 5}',
        region='region-1',
        state=pb.MEMBER_STATE_ALIVE,
        ready=True,
    )


def _members_of(count: int) -> members_.Members:
    members = members_.Members(_member(0), clock_.SystemClock(), 1250)
    for number in range(1, count):
        members.hear(_member(number))
    return members


def _memberships(seed: int) -> Rows:
    rows = []
    for count in _MEMBERS:
        held, members = _held(lambda: _members_of(count))
        rows.append(
            {
                'members': float(count),
                'hear_us': _timed(lambda: members.hear(_member(1)), 50),
                'tick_us': _timed(members.tick, 20),
                'resolve_us': _timed(members.serving, 50),
                'held_bytes': held,
            }
        )
    return rows


def _beacons(seed: int) -> Rows:
    """One beacon by the upstreams that its router has work at."""
    rows = []
    for count in _ENGINES:
        beacon = pb.Beacon(
            member=_member(1),
            config_version=1000,
            upstreams_revision=100_000,
            wall_ms=1_796_000_000_000,
            own=pb.Totals(
                spends=[
                    pb.TeamSpend(team=f'team-{n}', tokens=10**9)
                    for n in range(5)
                ],
                loads=[
                    pb.UpstreamLoad(
                        upstream=f'i-{n:010x}',
                        running=3,
                        unread=900,
                        memory=9000,
                    )
                    for n in range(count)
                ],
            ),
        )
        data = beacon.SerializeToString()
        rows.append(
            {
                'upstreams': float(count),
                'bytes': float(len(data)),
                'pack_us': _timed(beacon.SerializeToString, _BEACONS),
                'unpack_us': _timed(
                    lambda: pb.Beacon.FromString(data), _BEACONS
                ),
            }
        )
    return rows


# -------------------------------------------------------------- configuration


def _configurations(seed: int) -> Rows:
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
                'read_us': _timed(
                    lambda: config_codec.read_config(document), 3
                ),
                'table_us': _timed(lambda: route_table.RouteTable(config), 3),
                'route_us': _timed(
                    lambda: table.route('peridot.example', '/route7/a/b'), 100
                ),
            }
        )
    return rows


def _plans(seed: int) -> Rows:
    rows = []
    for count in (8, 64, 512):
        market = capacity_plan.Market(
            {f'fd-{n}': 1.0 + n / 10 for n in range(5)}, 0.22, 1, count
        )
        rows.append(
            {
                'engines': float(count),
                'plan_us': _timed(
                    lambda: capacity_plan.cheapest_mix(market, count)
                ),
            }
        )
    return rows


def _metrics(seed: int) -> Rows:
    """A scrape of the metrics, against the number of series."""
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
                'scrape_us': _timed(
                    lambda: prometheus_client.generate_latest(registry), 5
                ),
            }
        )
    return rows


_Measure = tuple[str, ty.Callable[[int], Rows], str]

_MEASURES: tuple[_Measure, ...] = (
    ('upstream_records', _upstream_records, 'upstreams'),
    ('memberships', _memberships, 'members'),
    ('beacons', _beacons, 'upstreams'),
    ('configurations', _configurations, 'routes'),
    ('plans', _plans, 'engines'),
    ('metrics', _metrics, 'series'),
    ('routers', _routers, 'routers'),
    ('streams', _streams, 'streams'),
)
