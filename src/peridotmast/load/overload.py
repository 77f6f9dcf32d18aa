"""Load of three times the fleet's capacity: goodput, latency, refusals."""

from __future__ import annotations

import resource
import typing as ty

from peridotmast.embedded import shape as shape_
from peridotmast.load import arrivals as arrivals_
from peridotmast.load import driver as driver_
from peridotmast.load import report as report_
from peridotmast.load import trial as trial_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import engine

SECONDS = 20.0
_STEP_MS = 20.0
_BATCH = 8
_DOMAINS = 2
_TOKENS = 40
_STRIDE = engine.EngineProfile().tokens_per_event
_TTFT_TARGET_MS = 1300
_INTERACTIVE_SHARE = 0.5
_DRAFT_SHARE = 2.5
"""Load of each kind of work as a share of the capacity."""
_MIN_GOODPUT_SHARE = 0.9


def capacity() -> float:
    """Return the generated tokens per second that the engines can reach."""
    return _DOMAINS * _BATCH / _STEP_MS * 1000


def run(seed: int, folder: str, progress: driver_.Progress) -> list[str]:
    """Run, write the report, and return the violations."""
    requests_per_s = capacity() / _TOKENS
    workloads = [
        _workload(
            'counter', 'interactive', requests_per_s * _INTERACTIVE_SHARE, 8000
        ),
        _workload('drafts', 'draft', requests_per_s * _DRAFT_SHARE, 6000),
    ]
    arrivals = arrivals_.draw(workloads, SECONDS, seed)
    shape = shape_.FleetShape(
        routers=2,
        domains=_DOMAINS,
        engine_profile=engine.EngineProfile(
            step_ms=_STEP_MS, batch_size=_BATCH
        ),
    )
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    trial = trial_.Trial(shape, arrivals, [], seed)
    report = trial.run(progress)
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    report['memory_growth_mb'] = round((after - before) / 1024, 1)
    report['capacity_tokens_per_second'] = capacity()
    report['goodput_share'] = round(_goodput(trial) / capacity(), 3)
    report_.write(folder, report)
    return _find_violations(report, trial)


def _workload(
    name: str, work: str, rate: float, deadline_ms: int
) -> pb.Workload:
    return pb.Workload(
        name=name, team='kalnins', work=work, rate=rate, tokens_min=_TOKENS,
        tokens_max=_TOKENS, prompt_words=16, shared_words=32, groups=2,
        idempotent=True, deadline_ms=deadline_ms, closes_at=3600,
    )  # fmt: skip


def _goodput(trial: trial_.Trial) -> float:
    """Return the tokens per second of complete answers.

    The first 3 s are left out.
    """
    start = min(o.answer.started_at for o in trial.outcomes)
    first, last = start + 3000, start + SECONDS * 1000
    tokens = sum(
        _STRIDE * sum(first <= at < last for at in outcome.answer.arrivals)
        for outcome in trial.outcomes
        if outcome.answer.complete
    )
    return tokens / (last - first) * 1000


def _find_violations(
    report: dict[str, ty.Any], trial: trial_.Trial
) -> list[str]:
    violations = trial.verdict.violated_guarantees()
    if report['goodput_share'] < _MIN_GOODPUT_SHARE:
        violations.append(
            f'goodput as a share of capacity: {report["goodput_share"]}'
        )
    if report['first_token_ms']['p95'] > _TTFT_TARGET_MS:
        violations.append(f'first token in ms: {report["first_token_ms"]}')
    return violations
