"""Comparison of the routing policies under the same load and faults."""

from __future__ import annotations

import os
import typing as ty

from peridotmast.load import arrivals as arrivals_
from peridotmast.load import driver as driver_
from peridotmast.load import plots
from peridotmast.load import report as report_
from peridotmast.load import soak
from peridotmast.load import trial as trial_
from peridotmast.schema import peridotmast_pb2 as pb

SECONDS = 16.0
_NOTICE_MS = 3000
_WARM_UP_S = 3.0

FAULTS = (
    pb.Fault(
        name='first', kind='reclaim_domain', at=4.0, for_ms=_NOTICE_MS,
        target=0,
    ),
    pb.Fault(
        name='second', kind='reclaim_domain', at=10.0, for_ms=_NOTICE_MS,
        target=1,
    ),
)  # fmt: skip

WORKLOADS = (
    pb.Workload(
        name='parents', team='noor', work='interactive', rate=12,
        tokens_min=20, tokens_max=60, prompt_words=20, shared_words=96,
        groups=6, idempotent=True, deadline_ms=20_000, closes_at=3600,
    ),
    pb.Workload(
        name='schedules', team='noor', work='draft', rate=4,
        tokens_min=300, tokens_max=600, prompt_words=120, shared_words=96,
        groups=6, idempotent=True, deadline_ms=40_000, closes_at=3600,
    ),
)  # fmt: skip

POLICIES = ('scored', 'least_loaded', 'round_robin')
"""Routing policies, by their names in the settings."""


def run(seed: int, folder: str, progress: driver_.Progress) -> list[str]:
    """Run all policies, write report and plot, and return the violations."""
    arrivals = arrivals_.draw(WORKLOADS, SECONDS, seed)
    # The first run in a process is slower, so a short run comes first.
    progress('warm-up')
    warm_up = arrivals_.draw(WORKLOADS, _WARM_UP_S, seed)
    trial_.Trial(soak.shape(), warm_up, [], seed).run()
    results: dict[str, ty.Any] = {}
    for policy in POLICIES:
        progress(f'policy {policy}')
        trial = trial_.Trial(soak.shape(policy), arrivals, list(FAULTS), seed)
        results[policy] = trial.run()
    scored, baseline = results['scored'], results['round_robin']
    report_.write(folder, results)
    names = list(POLICIES)
    plots.bars(
        os.path.join(folder, 'compare.png'),
        names,
        {
            'recomputed tokens': [
                results[name]['recomputed_tokens'] for name in names
            ],
            'first token p95, ms': [
                results[name]['first_token_ms']['p95'] for name in names
            ],
        },
    )
    return _find_violations(scored, baseline)


def _find_violations(
    scored: dict[str, ty.Any], baseline: dict[str, ty.Any]
) -> list[str]:
    violations = []
    first, other = scored['first_token_ms'], baseline['first_token_ms']
    if first['p95'] > other['p95']:
        violations.append(
            'first token p95 in ms, scored against round_robin: '
            f'{first["p95"]} > {other["p95"]}'
        )
    return violations
