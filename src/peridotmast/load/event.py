"""A live event's opening: the planner, a fixed fleet, a reactive one."""

from __future__ import annotations

import os
import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.load import arrivals as arrivals_
from peridotmast.load import driver as driver_
from peridotmast.load import oracle as oracle_
from peridotmast.load import plots
from peridotmast.load import report as report_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import engine

_LEAD_S = 7.0
_OPEN_S = 8.0
_TAIL_S = 3.0
_NOTICE_MS = 800
_STEP_MS = 20.0
_BATCH = 16
_READ_PER_STEP = 64
_BOOT_MS = 1500
_PROMPT_WORDS = 120
_ENGINE_TOKENS = _READ_PER_STEP / _STEP_MS * 1000 * 0.45
"""Prompt tokens a second that one engine reads beside its streams."""
_PEAK = 4
"""Engines that carry the event."""
_TTFT_TARGET_MS = 1300
_MOST_COST = 0.7

DOCUMENT = f"""
[model draft-7b]
route = chat
vm_tokens_per_second = {_ENGINE_TOKENS:.0f}

[policy]
scaling = {{scaling}}
tokens_per_second = {_ENGINE_TOKENS:.0f}
headroom = 1.0
warmup_ms = 500
margin_ms = 1000
linger_ms = 500
"""

EVENT = """
[event opening]
start_ms = {start}
duration_ms = {duration}
tokens_per_second = {load:.0f}
model = draft-7b
"""


class _Run:
    """One way of holding capacity, under the same load and loss."""

    def __init__(self, name: str, scaling: str, engines: int) -> None:
        self.name = name
        shape = shape_.FleetShape(
            routers=3,
            domains=4,
            engines=engines,
            services=0,
            times=engine.EngineTimes(
                step_ms=_STEP_MS,
                batch=_BATCH,
                read_per_step=_READ_PER_STEP,
                boot_ms=_BOOT_MS,
            ),
            config=shape_.CONFIG.replace(
                'boot_ms = 300', f'boot_ms = {_BOOT_MS}'
            ),
            document=DOCUMENT.format(scaling=scaling),
            bounds={'lease_ms': 1000},
        )
        self.fleet = fleet_.Fleet(shape, 1)
        self.capacity: list[tuple[float, float]] = []
        """Engines that are paid for, by second of the run."""

    def play(
        self, arrivals: list[arrivals_.Arrival], seed: int
    ) -> dict[str, ty.Any]:
        """Play the opening and return its figures."""
        fleet = self.fleet
        fleet.start()
        green.sleep_ms(3000)
        began = fleet.clock.now()
        opens = began + int(_LEAD_S * 1000)
        if self.name == 'planned':
            self._declare()
        before = fleet.cost()
        oracle = oracle_.Oracle(fleet)
        tasks = [
            green.spawn(self._lose_domain),
            green.spawn(self._watch, began),
        ]
        driver_.LoadDriver(fleet, oracle, seed).run(arrivals)
        ends = began + (_LEAD_S + _OPEN_S + _TAIL_S) * 1000
        green.sleep_ms(max(0, ends - fleet.clock.now()))
        for task in tasks:
            task.kill()
        cost = fleet.cost() - before
        fleet.stop()
        return {**_figures(oracle.outcomes, opens), 'cost': round(cost, 6)}

    def _declare(self) -> None:
        event = EVENT.format(
            start=self.fleet.clock.wall_time() + int(_LEAD_S * 1000),
            duration=int(_OPEN_S * 1000),
            load=_ENGINE_TOKENS * _PEAK,
        )
        self.fleet.write_document(self.fleet.shape.document + event)

    def _lose_domain(self) -> None:
        """Take a failure domain's reclaimable engines after the opening."""
        green.sleep_ms((_LEAD_S + 1.0) * 1000)
        taken = [
            guest.record.upstream.failure_domain
            for guest in self.fleet.running(shape_.ENGINES)
            if guest.record.reclaimable
        ]
        if taken:
            self.fleet.dry.update(self.fleet.domains)
            self.fleet.reclaim(max(taken, key=taken.count), _NOTICE_MS)

    def _watch(self, began: int) -> None:
        while True:
            count = len(self.fleet.running(shape_.ENGINES))
            second = (self.fleet.clock.now() - began) / 1000
            self.capacity.append((second, count))
            green.sleep_ms(100)


def run(seed: int, folder: str, progress: driver_.Progress) -> list[str]:
    """Run the three, write report and plot, return what fell short."""
    arrivals = arrivals_.draw(_workloads(), _LEAD_S + _OPEN_S, seed)
    report: dict[str, ty.Any] = {'ttft_target_ms': _TTFT_TARGET_MS}
    series = {}
    for name, scaling, engines in (
        ('planned', 'planner', 1),
        ('fixed', 'fixed', 2),
        ('reactive', 'reactive', 1),
    ):
        progress(f'{name} capacity')
        trial = _Run(name, scaling, engines)
        report[name] = trial.play(arrivals, seed)
        series[name] = tuple(zip(*trial.capacity))
    share = report['planned']['cost'] / report['fixed']['cost']
    report['cost_share_of_fixed'] = round(share, 3)
    report_.write(folder, report)
    plots.lines(
        os.path.join(folder, 'event.png'),
        'Engines paid for around the opening',
        series,
        'seconds of the run',
        'engines',
    )
    found = []
    if not report['planned']['meets_target']:
        found.append(f'target: {report["planned"]}')
    if share > _MOST_COST:
        found.append(f'cost is {share:.2f} of the fixed one')
    return found


def _workloads() -> list[pb.Workload]:
    rate = _ENGINE_TOKENS / _PROMPT_WORDS
    return [
        _workload('base', rate * 0.8, 0.0),
        _workload('parents', rate * (_PEAK - 0.8), _LEAD_S),
    ]


def _workload(name: str, rate: float, opens: float) -> pb.Workload:
    return pb.Workload(
        name=name, team='noor', work='interactive', rate=rate,
        tokens_min=8, tokens_max=16, prompt_words=_PROMPT_WORDS,
        shared_words=0, groups=1, idempotent=True, deadline_ms=8000,
        opens_at=opens, closes_at=3600,
    )  # fmt: skip


def _figures(outcomes: list[oracle_.Outcome], opens: int) -> dict[str, ty.Any]:
    opened = [o for o in outcomes if o.answer.started_at >= opens]
    early = [o for o in opened if o.answer.started_at < opens + 1000]
    whole = report_.latencies(opened)['first_token_ms']
    first = report_.latencies(early)['first_token_ms']
    failed = sum(o.failure is not None for o in opened)
    return {
        'requests': len(opened),
        'failed': failed,
        'ttft_p95_ms': whole['p95'],
        'first_second_ttft_p95_ms': first['p95'],
        'meets_target': not failed
        and whole['p95'] <= _TTFT_TARGET_MS
        and first['p95'] <= _TTFT_TARGET_MS,
    }
