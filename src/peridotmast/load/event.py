"""Start of an announced event: planned, fixed and reactive capacity."""

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
"""Time from the start of the run to the start of the event."""
_EVENT_S = 8.0
_TAIL_S = 3.0
"""Time after the event for which capacity is still paid."""
_NOTICE_MS = 800
_STEP_MS = 20.0
_BATCH = 16
_READ_PER_STEP = 64
_BOOT_MS = 1500
_PROMPT_WORDS = 120
_ENGINE_TOKENS_PER_S = _READ_PER_STEP / _STEP_MS * 1000 * 0.45
"""Prompt tokens that one engine reads per second while it generates."""
_PEAK_ENGINES = 4
"""Number of engines that the load of the event needs."""
_TTFT_TARGET_MS = 1300
_MAX_COST_SHARE = 0.7
"""Maximum cost of planned capacity, as a share of that of fixed capacity."""

DOCUMENT = f"""
[model draft-7b]
route = chat
vm_tokens_per_second = {_ENGINE_TOKENS_PER_S:.0f}

[policy]
scaling = {{scaling}}
tokens_per_second = {_ENGINE_TOKENS_PER_S:.0f}
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
    """A run with one way to provide capacity; load and faults are the same."""

    def __init__(self, name: str, scaling: str, engines: int) -> None:
        self.name = name
        shape = shape_.FleetShape(
            routers=3,
            domains=4,
            engines=engines,
            services=0,
            engine_profile=engine.EngineProfile(
                step_ms=_STEP_MS,
                batch_size=_BATCH,
                prefill_tokens_per_step=_READ_PER_STEP,
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
        """Number of paid engines by time, in s from the start of the run."""

    def run(
        self, arrivals: list[arrivals_.Arrival], seed: int
    ) -> dict[str, ty.Any]:
        """Run the load and return the measurements."""
        fleet = self.fleet
        fleet.start()
        green.sleep_ms(3000)
        began = fleet.clock.now()
        event_start = began + int(_LEAD_S * 1000)
        if self.name == 'planned':
            self._declare_event()
        before = fleet.cost()
        oracle = oracle_.Oracle(fleet)
        tasks = [
            green.spawn(self._reclaim_domain),
            green.spawn(self._record_capacity, began),
        ]
        driver_.LoadDriver(fleet, oracle, seed).run(arrivals)
        run_end = began + (_LEAD_S + _EVENT_S + _TAIL_S) * 1000
        green.sleep_ms(max(0, run_end - fleet.clock.now()))
        for task in tasks:
            task.kill()
        cost = fleet.cost() - before
        fleet.stop()
        return {
            **_summarize(oracle.outcomes, event_start),
            'cost': round(cost, 6),
        }

    def _declare_event(self) -> None:
        event = EVENT.format(
            start=self.fleet.clock.wall_time() + int(_LEAD_S * 1000),
            duration=int(_EVENT_S * 1000),
            load=_ENGINE_TOKENS_PER_S * _PEAK_ENGINES,
        )
        self.fleet.write_document(self.fleet.shape.document + event)

    def _reclaim_domain(self) -> None:
        """Reclaim engines of one failure domain 1 s after the event starts.

        It is the domain with the most reclaimable engines; afterwards no
        domain offers reclaimable engines.
        """
        green.sleep_ms((_LEAD_S + 1.0) * 1000)
        domains = [
            guest.record.upstream.failure_domain
            for guest in self.fleet.running_upstreams(shape_.ENGINE_SERVICE)
            if guest.record.reclaimable
        ]
        if domains:
            self.fleet.exhausted_domains.update(self.fleet.domains)
            self.fleet.reclaim(max(domains, key=domains.count), _NOTICE_MS)

    def _record_capacity(self, began: int) -> None:
        while True:
            engines = len(self.fleet.running_upstreams(shape_.ENGINE_SERVICE))
            second = (self.fleet.clock.now() - began) / 1000
            self.capacity.append((second, engines))
            green.sleep_ms(100)


def run(seed: int, folder: str, progress: driver_.Progress) -> list[str]:
    """Run all three, write report and plot, and return the violated limits."""
    arrivals = arrivals_.draw(_workloads(), _LEAD_S + _EVENT_S, seed)
    report: dict[str, ty.Any] = {'ttft_target_ms': _TTFT_TARGET_MS}
    series = {}
    for name, scaling, engines in (
        ('planned', 'planner', 1),
        ('fixed', 'fixed', 2),
        ('reactive', 'reactive', 1),
    ):
        progress(f'{name} capacity')
        trial = _Run(name, scaling, engines)
        report[name] = trial.run(arrivals, seed)
        series[name] = tuple(zip(*trial.capacity))
    share = report['planned']['cost'] / report['fixed']['cost']
    report['cost_share_of_fixed'] = round(share, 3)
    report_.write(folder, report)
    plots.lines(
        os.path.join(folder, 'event.png'),
        'Paid engines around the start of the event',
        series,
        'time in s',
        'engines',
    )
    violations = []
    if not report['planned']['meets_target']:
        violations.append(
            f'planned capacity misses the target: {report["planned"]}'
        )
    if share > _MAX_COST_SHARE:
        violations.append(
            f'planned capacity costs {share:.2f} of fixed capacity'
        )
    return violations


def _workloads() -> list[pb.Workload]:
    rate = _ENGINE_TOKENS_PER_S / _PROMPT_WORDS
    return [
        _workload('base', rate * 0.8, 0.0),
        _workload('parents', rate * (_PEAK_ENGINES - 0.8), _LEAD_S),
    ]


def _workload(name: str, rate: float, opens_at: float) -> pb.Workload:
    return pb.Workload(
        name=name, team='noor', work='interactive', rate=rate,
        tokens_min=8, tokens_max=16, prompt_words=_PROMPT_WORDS,
        shared_words=0, groups=1, idempotent=True, deadline_ms=8000,
        opens_at=opens_at, closes_at=3600,
    )  # fmt: skip


def _summarize(
    outcomes: list[oracle_.Outcome], event_start: int
) -> dict[str, ty.Any]:
    in_event = [o for o in outcomes if o.answer.started_at >= event_start]
    first_second = [
        o for o in in_event if o.answer.started_at < event_start + 1000
    ]
    latencies = report_.latencies(in_event)['first_token_ms']
    first = report_.latencies(first_second)['first_token_ms']
    failed = sum(o.failure is not None for o in in_event)
    return {
        'requests': len(in_event),
        'failed': failed,
        'ttft_p95_ms': latencies['p95'],
        'first_second_ttft_p95_ms': first['p95'],
        'meets_target': not failed
        and latencies['p95'] <= _TTFT_TARGET_MS
        and first['p95'] <= _TTFT_TARGET_MS,
    }
