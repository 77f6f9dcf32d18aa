"""Measurements of a router's tables: upstreams, members and beacons."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import members as members_
from peridotmast.load import profiling
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import exchange as exchange_
from peridotmast.serving.limits import brittleness
from peridotmast.serving.limits import slot_shares
from peridotmast.serving.limits import upstream_limits
from peridotmast.serving import placement
from peridotmast.serving import policies
from peridotmast.serving import upstreams as upstreams_
from peridotmast.serving import version_gate

Rows = list[dict[str, float]]
"""One row for each size, with the size and the measured values."""

_RECORD_COUNTS = (1000, 2000, 4000, 5700)
_MEMBER_COUNTS = (80, 160, 330)
_ENGINE_COUNTS = (8, 32, 128)
_BEACON_REPEATS = 200
_PLACEMENT_REPEATS = 30
_LOADED_UPSTREAMS = 20
"""Number of upstreams at which the simulated peer has running requests."""


def make_record(number: int) -> pb.UpstreamRecord:
    """Return an upstream record of realistic size."""
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


def upstream_records(seed: int) -> Rows:
    """Measure the upstream table by the number of records."""
    service = pb.Service(
        name='draft-pool', engine=True, slots=32, memory_tokens=600_000
    )
    rows = []
    for count in _RECORD_COUNTS:
        records = [make_record(number) for number in range(count)]
        allocated, table = profiling.measure_allocation(
            lambda: _make_table(records)
        )
        update = make_record(0)
        update.revision = count + 1
        update.state = pb.UPSTREAM_STATE_LEAVING
        clock = clock_.SystemClock()
        placements = placement.Placement(
            table,
            policies.ScoredPolicy('region-1-fd-1'),
            'edge-1',
            upstream_limits.UpstreamLimits(clock, 'edge-1'),
            brittleness.Brittleness(
                clock, 'edge-1', slot_shares.SlotShares(clock, 'edge-1')
            ),
            version_gate.VersionGate(clock, 'edge-1', True),
        )
        _choose_place(placements, service)
        steady_us = profiling.measure_cpu_us(
            lambda: _choose_place(placements, service), _PLACEMENT_REPEATS
        )
        merge_us = profiling.measure_cpu_us(lambda: table.merge(update))
        rows.append(
            {
                'upstreams': float(count),
                'merge_us': merge_us,
                'first_after_change_us': profiling.measure_cpu_us(
                    lambda: _choose_place(placements, service)
                ),
                'placement_us': steady_us,
                'beacon_us': profiling.measure_cpu_us(
                    lambda: _apply_loads(table), 50
                ),
                'held_bytes': allocated,
                'reply_bytes': float(
                    pb.UpstreamsReply(upstreams=records).ByteSize()
                ),
            }
        )
    return rows


def _apply_loads(table: upstreams_.UpstreamTable) -> None:
    """Apply the loads that a peer reports."""
    loads = [
        pb.UpstreamLoad(upstream=f'i-{number:010x}', running=3)
        for number in range(_LOADED_UPSTREAMS)
    ]
    table.set_peer_loads('edge-2', loads)


def _make_table(
    records: ty.Sequence[pb.UpstreamRecord],
) -> upstreams_.UpstreamTable:
    table = upstreams_.UpstreamTable(clock_.SystemClock())
    table.merge_all(records)
    return table


def _choose_place(
    placements: placement.Placement, service: pb.Service
) -> None:
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
        arrived_at=0,
        deadline=0,
        caller=ty.cast(ty.Any, None),
        prompt=exchange_.Prompt('m', 10_500, 300, parts),
    )
    place = placements.choose(exchange, service)
    if place is not None:
        place.release()


def _make_member(number: int) -> pb.Member:
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


def _make_members(count: int) -> members_.Members:
    members = members_.Members(_make_member(0), clock_.SystemClock(), 1250)
    for number in range(1, count):
        members.receive(_make_member(number))
    return members


def memberships(seed: int) -> Rows:
    """Measure the member list by the number of members."""
    rows = []
    for count in _MEMBER_COUNTS:
        allocated, members = profiling.measure_allocation(
            lambda: _make_members(count)
        )
        rows.append(
            {
                'members': float(count),
                'hear_us': profiling.measure_cpu_us(
                    lambda: members.receive(_make_member(1)), 50
                ),
                'tick_us': profiling.measure_cpu_us(members.tick, 20),
                'resolve_us': profiling.measure_cpu_us(members.serving, 50),
                'held_bytes': allocated,
            }
        )
    return rows


def beacons(seed: int) -> Rows:
    """Measure a beacon by the number of upstreams with running requests."""
    rows = []
    for count in _ENGINE_COUNTS:
        beacon = pb.Beacon(
            member=_make_member(1),
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
                'pack_us': profiling.measure_cpu_us(
                    beacon.SerializeToString, _BEACON_REPEATS
                ),
                'unpack_us': profiling.measure_cpu_us(
                    lambda: pb.Beacon.FromString(data), _BEACON_REPEATS
                ),
            }
        )
    return rows
