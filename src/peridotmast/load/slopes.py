"""Every slope that docs/CAPACITY.md is worked out from."""

from __future__ import annotations

import gc
import os
import resource
import time
import tracemalloc
import typing as ty

import prometheus_client

from peridotmast import clock as clock_
from peridotmast.controller import planner
from peridotmast.coordination import claims as claims_
from peridotmast.coordination import config_feed
from peridotmast.coordination import membership as membership_
from peridotmast.embedded import fleet as fleet_
from peridotmast import failures
from peridotmast import green
from peridotmast import http_client
from peridotmast import ids
from peridotmast import ini
from peridotmast.load import driver as driver_
from peridotmast.load import overhead
from peridotmast.load import platform_calls
from peridotmast.load import plots
from peridotmast.load import report as report_
from peridotmast.platform import cloud as cloud_
from peridotmast.router import call as call_
from peridotmast.router import ledger as ledger_
from peridotmast.router import once as once_
from peridotmast.router import policy as policy_
from peridotmast.router import upstreams as upstreams_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import engine

Rows = list[dict[str, float]]

_NODES = (4, 8, 16, 24)
_RECORDS = (1000, 2000, 4000, 5700)
_MEMBERS = (80, 160, 330)
_TEAMS = (5, 50, 200)
_CLAIMS = (500, 2000, 8000)
_ENTRIES = (1000, 4000, 16000)
_VMS = (200, 1000, 4000)
_STREAMS = (25, 50, 100)
_WATCH_S = 5.0
_PROCESS_S = 15.0


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
    nodes = measured['routers']['rows']
    _plot(folder, nodes)
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
    reply = http_client.HttpClient().call('GET', address, '/metrics')
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
    """Idle routers in one process: processor, loopback bytes, memory."""
    return [_idle_routers(count, seed) for count in _NODES]


def _idle_routers(count: int, seed: int) -> dict[str, float]:
    fleet = fleet_.Fleet(fleet_.FleetShape(routers=count), seed)
    fleet.start()
    green.sleep_ms(1500)
    resident = _resident_mb()
    began, spent, sent = time.time(), time.process_time(), _loopback_bytes()
    payload = sum(router.gossip.sent_bytes for router in fleet.routers)
    green.sleep_ms(_WATCH_S * 1000)
    wall = time.time() - began
    row = {
        'routers': float(count),
        'cpu_share': (time.process_time() - spent) / wall,
        'loopback_bytes_per_s': (_loopback_bytes() - sent) / wall,
        'gossip_payload_bytes_per_s': (
            sum(router.gossip.sent_bytes for router in fleet.routers) - payload
        )
        / wall,
        'resident_mb': resident,
    }
    fleet.stop()
    return row


def _loopback_bytes() -> int:
    """Return the bytes that passed the loopback device so far."""
    with open('/proc/net/dev', encoding='ascii') as file:
        line = next(line for line in file if line.strip().startswith('lo:'))
    return int(line.split()[1])


def _resident_mb() -> float:
    with open('/proc/self/statm', encoding='ascii') as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / 2**20


def _streams(seed: int) -> Rows:
    """Streams through one router: processor time a token, memory."""
    rows = []
    for count in _STREAMS:
        shape = fleet_.FleetShape(
            routers=1,
            controllers=0,
            domains=2,
            services=0,
            times=engine.EngineTimes(step_ms=50, batch=64),
        )
        fleet = fleet_.Fleet(shape, seed)
        fleet.start()
        before = _resident_mb()
        routed = overhead._measure(fleet, count, routed=True)
        held = _resident_mb() - before
        direct = overhead._measure(fleet, count, routed=False)
        fleet.stop()
        rows.append(
            {
                'streams': float(count),
                'router_us_a_token': routed.us_a_token - direct.us_a_token,
                'memory_growth_mb': round(held, 2),
            }
        )
    return rows


# ----------------------------------------------------------- what routers hold


def record_of(number: int) -> pb.UpstreamRecord:
    """Return an upstream's record as large as a real one."""
    return pb.UpstreamRecord(
        upstream=pb.Upstream(
            name=f'opening-region-1-fd-{number % 5}-r{number}.g1',
            address=f'10.{number // 60000}.{number // 250}.{number % 250}:80',
            failure_domain=f'region-1-fd-{number % 5}',
            kind='engine',
            checks_fencing=True,
            price=1.25,
            slots=32,
        ),
        state=pb.UPSTREAM_STATE_LIVE,
        reclaimable=True,
    )


def _upstream_records(seed: int) -> Rows:
    rows = []
    for count in _RECORDS:
        records = [record_of(number) for number in range(count)]
        table = upstreams_.UpstreamTable(clock_.SystemClock(), 'r', 40)
        merge_us = _timed(lambda: list(map(table.merge, records)))

        def change() -> None:
            table._subset = None
            table.usable('engine')

        choose_us = _timed(change)
        held, _ = _held(lambda: _table_of(records))
        request = pb.SyncRequest(
            rumors=[pb.Rumor(upstream=record) for record in records]
        )
        rows.append(
            {
                'upstreams': float(count),
                'merge_us': merge_us,
                'choose_subset_us': choose_us,
                'routing_us': _timed(lambda: _route(table), 20),
                'held_bytes': held,
                'sync_bytes': float(request.ByteSize()),
            }
        )
    return rows


def _table_of(records: list[pb.UpstreamRecord]) -> ty.Any:
    table = upstreams_.UpstreamTable(clock_.SystemClock(), 'r', 40)
    for record in records:
        copy = pb.UpstreamRecord()
        copy.CopyFrom(record)
        table.merge(copy)
    return table


def _route(table: upstreams_.UpstreamTable) -> ty.Any:
    call = call_.Call(
        key=ids.RequestKey('t/1'),
        request_id='1',
        team='t',
        work=pb.WORK_INTERACTIVE,
        idempotent=True,
        deadline=0,
        digest=b'',
        body={},
        model='m',
        prompt='word ' * 64,
    )
    usable = table.usable('engine')
    return policy_.ScoredPolicy('fd-1').choose(call, usable)


def _member(number: int) -> pb.Member:
    return pb.Member(
        name=f'router-{number}',
        incarnation=1_796_000_000_000,
        address=f'10.0.{number // 250}.{number % 250}:8700',
        peer_address=f'10.0.{number // 250}.{number % 250}:8701',
        failure_domain=f'region-1-fd-{number % 5}',
        region='region-1',
        state=pb.MEMBER_STATE_ALIVE,
    )


def _members_of(count: int) -> membership_.Membership:
    clock = clock_.SystemClock()
    members = membership_.Membership(_member(0), clock, 3000)
    for number in range(1, count):
        members.merge(_member(number))
    return members


def _memberships(seed: int) -> Rows:
    rows = []
    for count in _MEMBERS:
        held, members = _held(lambda: _members_of(count))
        rumors = [pb.Rumor(member=member) for member in members.all()]
        rows.append(
            {
                'members': float(count),
                'join_us': _timed(lambda: _members_of(count)),
                'expire_us': _timed(members.expire, 20),
                'resolve_us': _timed(members.serving, 50),
                'held_bytes': held,
                'sync_bytes': float(pb.SyncRequest(rumors=rumors).ByteSize()),
            }
        )
    return rows


def _ledgers(seed: int) -> Rows:
    def make(count: int) -> ledger_.Ledger:
        ledger = ledger_.Ledger(clock_.SystemClock(), 600_000, 1 << 20)
        for number in range(count):
            key = ids.RequestKey(f'noor/e17.{number:032x}')
            entry = ledger.begin(key, b'123456789012', False, 0)
            entry.answer = '{"call": "hold", "payload": "seat 12345"}'
            ledger.end(entry, ledger_.DONE)
        return ledger

    return [
        {'entries': float(n), 'held_bytes': _held(lambda: make(n))[0]}
        for n in _ENTRIES
    ]


# -------------------------------------------------------------- configuration


def _configurations(seed: int) -> Rows:
    rows = []
    for count in _TEAMS:
        teams = ''.join(
            f'[team team-{n}]\nrate = 50\nburst = 100\nweight = 2\n'
            for n in range(count)
        )
        document = fleet_.CONFIG + teams
        value = pb.ConfigObject(document=document).SerializeToString()
        rows.append(
            {
                'teams': float(count),
                'document_bytes': float(len(value)),
                'read_us': _timed(
                    lambda: ini.load_text(document, pb.Config), 3
                ),
                'check_us': _timed(lambda: config_feed.check(document), 3),
            }
        )
    return rows


def _claim_buckets(seed: int) -> Rows:
    rows = []
    for count in _CLAIMS:
        bucket = pb.ClaimBucket(epoch=17)
        for number in range(count):
            bucket.claims.add(
                key=f'noor/e17.{number:032x}',
                owner='router-123.1796000000000',
                nonce=f'router-123.1796000000000:{number}',
                digest=b'123456789012',
                epoch=17,
            )
        value = bucket.SerializeToString()
        store = claims_.ClaimStore(
            ty.cast(ty.Any, None), ids.Owner('router-1.1'), 16
        )

        def write() -> None:
            fresh = pb.ClaimBucket.FromString(value)
            wanted = claims_._Wanted(
                pb.Claim(key='noor/new', nonce='n'), 17, None
            )
            store._add(fresh, [wanted], set())

        rows.append(
            {
                'claims': float(count),
                'bucket_bytes': float(len(value)),
                'write_us': _timed(write, 3),
            }
        )
    return rows


def _tickets(seed: int) -> Rows:
    """What a ticket costs: no call of the platform at all."""
    clock = clock_.SystemClock()
    ledger = ledger_.Ledger(clock, 600_000, 1 << 20)
    members = _members_of(10)
    guard = once_.OnceGuard(
        ids.Owner('router-0.1796000000000'),
        ledger,
        ty.cast(ty.Any, None),
        members,
    )
    return [
        {
            'tickets': float(count),
            'total_us': _timed(
                lambda: [guard.issue_ticket() for _ in range(count)]
            ),
        }
        for count in _ENTRIES
    ]


# ---------------------------------------------------------------- controller


def _plans(seed: int) -> Rows:
    domains = {f'fd-{n}': 1.0 + n / 10 for n in range(5)}
    prices = cloud_.Prices(domains, 3.0)
    rows = []
    for count in _VMS:
        mix = planner.cheapest_mix('e', 'm', count, prices)
        rows.append(
            {
                'vms': float(count),
                'plan_us': _timed(
                    lambda: planner.cheapest_mix('e', 'm', count, prices)
                ),
                'state_bytes': float(
                    pb.ControllerState(
                        slots=[
                            pb.ControllerState.Slot(
                                name=slot.name, generation=1
                            )
                            for slot in mix.slots
                        ]
                    ).ByteSize()
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
    ('ledgers', _ledgers, 'entries'),
    ('configurations', _configurations, 'teams'),
    ('claim_buckets', _claim_buckets, 'claims'),
    ('tickets', _tickets, 'tickets'),
    ('plans', _plans, 'vms'),
    ('metrics', _metrics, 'series'),
    ('routers', _routers, 'routers'),
    ('streams', _streams, 'streams'),
)
