"""A live event's opening: this planner, a fixed fleet, a reactive scaler."""

from __future__ import annotations

import dataclasses
import os
import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast import green
from peridotmast.load import arrivals as arrivals_
from peridotmast.load import driver as driver_
from peridotmast.load import oracle as oracle_
from peridotmast.load import plots
from peridotmast.load import reactive
from peridotmast.load import report as report_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import engine

SCALE = 60
"""Seconds of the plan for each second of the run: a minute is a second."""

_LEAD_S = 4.0
_OPEN_S = 7.0
_TAIL_S = 2.5
_NOTICE_MS = 500
_STEP_MS = 40.0
_BATCH = 12
_TOKENS = 40
_VM_TOKENS = _BATCH / _STEP_MS * 1000
_PEAK_VMS = 4
_BASE_VMS = 1
_UTILISATION = 0.7
_TTFT_TARGET_MS = 1300
_TPOT_TARGET_MS = 52
_MOST_COST = 0.6
_BOOT_MS = 90_000 // SCALE

CONFIG = f"""
[team noor]
rate = 1000
burst = 1000

[model draft-7b]
vm_tokens_per_second = {_VM_TOKENS * _UTILISATION:.0f}
weight_bytes = 1000000000

[policy]
managed = true
base_tokens_per_second = {_VM_TOKENS * _UTILISATION * _BASE_VMS:.0f}
headroom = 1.0
boot_ms = {_BOOT_MS}
weight_bytes_per_second = 20e9
warmup_ms = {20_000 // SCALE}
margin_ms = {30_000 // SCALE}
linger_ms = {30_000 // SCALE}
refused_ms = {60_000 // SCALE}
"""

EVENT = """
[event opening]
start_ms = {start}
duration_ms = {duration}
tokens_per_second = {load:.0f}
model = draft-7b
"""


@dataclasses.dataclass
class Run:
    """One way of holding capacity, under the same load and loss."""

    name: str
    seed: int
    fleet: fleet_.Fleet
    outcomes: list[oracle_.Outcome] = dataclasses.field(default_factory=list)
    capacity: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    """VMs that are paid for, by second of the run."""
    opened: int = 0
    """When the event opened, in ms of the fleet's clock."""
    spent: float = 0.0
    """Cost of the run, in price units."""


def run(seed: int, folder: str, progress: driver_.Progress) -> list[str]:
    """Run the three, write the report and the plot, return what fell short."""
    arrivals = arrivals_.draw(_workloads(), _LEAD_S + _OPEN_S, seed)
    report: dict[str, ty.Any] = {
        'scale': f'1 s of the run stands for {SCALE} s',
        'ttft_target_ms': _TTFT_TARGET_MS,
        'tpot_target_ms': _TPOT_TARGET_MS,
        'digest': arrivals_.digest(arrivals, []),
        'cost': {},
    }
    series = {}
    for name, prepare in (
        ('planned', _planned),
        ('fixed', _fixed),
        ('reactive', _reactive),
    ):
        progress(f'{name} capacity')
        done = _run_one(name, seed, prepare, arrivals)
        figures = _figures(done)
        report['cost'][name] = figures.pop('cost')
        report[name] = figures
        xs, ys = zip(*done.capacity)
        series[name] = (xs, ys)
    planned = report['planned']
    report['ttft_p95_ms'] = planned['ttft_p95_ms']
    report['tpot_p95_ms'] = planned['tpot_p95_ms']
    share = report['cost']['planned'] / report['cost']['fixed']
    report['cost_share_of_fixed'] = round(share, 3)
    report_.write(folder, report)
    plots.lines(
        os.path.join(folder, 'event.png'),
        'VMs paid for around the opening',
        series,
        f'seconds of the run (1 s = {SCALE} s)',
        'VMs',
    )
    return _short(report, share)


def _workloads() -> list[pb.Workload]:
    load = _VM_TOKENS * _UTILISATION
    return [
        _workload('base', load * _BASE_VMS / _TOKENS, 0.0),
        _workload('parents', load * _PEAK_VMS / _TOKENS, _LEAD_S),
    ]


def _workload(name: str, rate: float, opens: float) -> pb.Workload:
    return pb.Workload(
        name=name, team='noor', work='interactive', rate=rate,
        tokens_min=_TOKENS, tokens_max=_TOKENS, prompt_words=16,
        shared_words=48, groups=3, idempotent=True, deadline_ms=8000,
        opens_at=opens, closes_at=3600,
    )  # fmt: skip


def _run_one(
    name: str,
    seed: int,
    prepare: ty.Callable[[], tuple[fleet_.Fleet, ty.Any]],
    arrivals: list[arrivals_.Arrival],
) -> Run:
    fleet, scaler = prepare()
    oracle = oracle_.Oracle(fleet)
    done = Run(name, seed, fleet, oracle.outcomes)
    began = fleet.clock.now()
    cost_before = fleet.cloud.cost()
    done.opened = began + int(_LEAD_S * 1000)
    tasks = [
        green.spawn(_lose_domain, fleet),
        green.spawn(_watch_capacity, done, began),
    ]
    driver_.LoadDriver(fleet, oracle, seed).run(arrivals)
    ends = began + (_LEAD_S + _OPEN_S + _TAIL_S) * 1000
    green.sleep_ms(max(0, ends - fleet.clock.now()))
    for task in tasks:
        task.kill()
    if scaler is not None:
        scaler.stop()
    done.capacity.append((_LEAD_S + _OPEN_S + _TAIL_S, _paid(fleet)))
    done.spent = fleet.cloud.cost() - cost_before
    fleet.stop()
    return done


def _lose_domain(fleet: fleet_.Fleet) -> None:
    """Take the first failure domain's reclaimable VMs at the opening."""
    green.sleep_ms(_LEAD_S * 1000 - _NOTICE_MS / 2)
    names = fleet.cloud.in_domain(fleet.domains[0], 'engine')
    firm = [n for n in names if not fleet.cloud.vms[n].reclaimable]
    fleet.cloud.reclaim(set(names) - set(firm), _NOTICE_MS)


def _watch_capacity(done: Run, began: int) -> None:
    while True:
        at = (done.fleet.clock.now() - began) / 1000
        done.capacity.append((at, _paid(done.fleet)))
        green.sleep_ms(100)


def _paid(fleet: fleet_.Fleet) -> float:
    return sum(not vm.ended_ms for vm in fleet.cloud.vms.values())


def _shape(config: str, controllers: int) -> fleet_.FleetShape:
    return fleet_.FleetShape(
        routers=3,
        domains=4,
        engines=0,
        services=0,
        controllers=controllers,
        times=engine.EngineTimes(step_ms=_STEP_MS, batch=_BATCH),
        config=config,
        boot_ms=_BOOT_MS,
        controller={'tick_ms': 100, 'lease_ms': 1500, 'guard_ms': 300},
        router={'probe_interval_ms': 200, 'suspect_ms': 800},
    )


def _planned() -> tuple[fleet_.Fleet, ty.Any]:
    """The planner: the event is declared, the base runs already."""
    fleet = fleet_.Fleet(_shape(CONFIG, 0), 1)
    fleet.start()
    fleet.shape.controller['router'] = fleet.routers[0].peer_address
    fleet.add_controller('controller-1')
    fleet.add_controller('controller-2')
    _wait_for_engines(fleet, _BASE_VMS)
    event = EVENT.format(
        start=fleet.clock.wall() + int(_LEAD_S * 1000),
        duration=int(_OPEN_S * 1000),
        load=_VM_TOKENS * _UTILISATION * _PEAK_VMS,
    )
    fleet.commit(CONFIG + event)
    return fleet, None


def _fixed() -> tuple[fleet_.Fleet, ty.Any]:
    """Capacity for the peak, on demand, all the time."""
    fleet = fleet_.Fleet(_shape(CONFIG.replace('true', 'false'), 0), 1)
    for number in range(_PEAK_VMS + _BASE_VMS):
        domain = fleet.domains[number % len(fleet.domains)]
        fleet.add_engine(domain, reclaimable=False)
    fleet.start()
    return fleet, None


def _reactive() -> tuple[fleet_.Fleet, ty.Any]:
    """A scaler that follows the load it sees, on reclaimable VMs."""
    fleet = fleet_.Fleet(_shape(CONFIG.replace('true', 'false'), 0), 1)
    for number in range(_BASE_VMS + 1):
        fleet.add_engine(fleet.domains[number % len(fleet.domains)])
    fleet.start()
    scaler = reactive.ReactiveScaler(fleet, _UTILISATION, _BASE_VMS + 1)
    scaler.start()
    return fleet, scaler


def _wait_for_engines(fleet: fleet_.Fleet, count: int) -> None:
    fleet.wait_until(
        lambda: (
            all(
                len(router.table.usable('engine')) >= count
                for router in fleet.routers
            )
            and all('draft-7b' in e.models for e in fleet.engines())
        ),
        20_000,
    )


def _figures(done: Run) -> dict[str, ty.Any]:
    opened = _asked_between(done, done.opened, 1 << 62)
    first_second = _asked_between(done, done.opened, done.opened + 1000)
    whole = report_.latencies(opened)
    first = report_.latencies(first_second)
    failed = sum(o.failure is not None for o in opened)
    return {
        'requests': len(opened),
        'failed': failed,
        'ttft_p95_ms': whole['first_token_ms']['p95'],
        'tpot_p95_ms': whole['between_tokens_ms']['p95'],
        'first_second_ttft_p95_ms': first['first_token_ms']['p95'],
        'first_second_tpot_p95_ms': first['between_tokens_ms']['p95'],
        'meets_target': not failed and _meets(whole) and _meets(first),
        'recomputed_tokens': fleet_.recomputed_tokens(done.fleet),
        'cost': round(done.spent, 6),
    }


def _asked_between(done: Run, first: int, end: int) -> list[oracle_.Outcome]:
    return [
        outcome
        for outcome in done.outcomes
        if outcome.answer is not None and first <= outcome.answer.began < end
    ]


def _meets(latencies: dict[str, dict[str, float]]) -> bool:
    return (
        latencies['first_token_ms']['p95'] <= _TTFT_TARGET_MS
        and latencies['between_tokens_ms']['p95'] <= _TPOT_TARGET_MS
    )


def _short(report: dict[str, ty.Any], share: float) -> list[str]:
    found = []
    if not report['planned']['meets_target']:
        found.append(f'target: {report["planned"]}')
    if share > _MOST_COST:
        found.append(f'cost is {share:.2f} of the fixed one')
    return found
