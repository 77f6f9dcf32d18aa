"""Experiments that an INI file describes: fleet, workloads and faults."""

from __future__ import annotations

import os
import typing as ty

from peridotmast.embedded import shape as shape_
from peridotmast import findings as findings_
from peridotmast import ini
from peridotmast.load import arrivals as arrivals_
from peridotmast.load import driver as driver_
from peridotmast.load import faults as faults_
from peridotmast.load import oracle as oracle_
from peridotmast.load import page
from peridotmast.load import plots
from peridotmast.load import report as report_
from peridotmast.load import trial as trial_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import engine

_WORK_KINDS = ('interactive', 'standard', 'draft')
_SERVICES = ('', 'booking')


def load(path: str) -> tuple[pb.ExperimentFile, findings_.Findings]:
    """Read the experiment at `path` and return it with the findings."""
    experiment, findings = ini.load_file(path, pb.ExperimentFile)
    kinds = [kind.value for kind in faults_.FaultKind]
    for fault in experiment.faults:
        if fault.kind and fault.kind not in kinds:
            text = (
                f'[fault {fault.name}] kind: must be one of {", ".join(kinds)}'
            )
            findings.add(path, text)
    for workload in experiment.workloads:
        section = f'[workload {workload.name}]'
        if workload.work not in _WORK_KINDS:
            findings.add(
                path,
                f'{section} work: must be one of {", ".join(_WORK_KINDS)}',
            )
        if workload.tokens_max < workload.tokens_min:
            findings.add(path, f'{section} tokens_max is below tokens_min')
        if workload.service not in _SERVICES:
            findings.add(
                path, f'{section} service: the stand-ins provide only booking'
            )
    if not experiment.workloads and not findings:
        findings.add(path, 'section [workload NAME] is missing')
    return experiment, findings


def run(
    experiment: pb.ExperimentFile,
    seed: int,
    folder: str,
    progress: driver_.Progress,
) -> list[str]:
    """Run, write report, plots and page, and return the violations."""
    seconds = experiment.run.seconds
    arrivals = arrivals_.draw(experiment.workloads, seconds, seed)
    faults = sorted(experiment.faults, key=lambda fault: fault.at)
    trial = trial_.Trial(
        _fleet_shape(experiment),
        arrivals,
        faults,
        seed,
        experiment.fleet.replace_ms,
    )
    report = trial.run(progress)
    _add_targets(report, experiment)
    report['workloads'] = _by_workload(trial.outcomes)
    report_.write(folder, report)
    _plot_first_tokens(folder, trial, faults)
    page.write(folder, report)
    violations = trial.verdict.violated_guarantees()
    return violations + (
        [] if report['meets_target'] else ['latency target missed']
    )


def _fleet_shape(experiment: pb.ExperimentFile) -> shape_.FleetShape:
    cfg = experiment.fleet
    return shape_.FleetShape(
        routers=cfg.routers,
        domains=cfg.domains,
        engines=cfg.engines,
        engine_profile=engine.EngineProfile(
            step_ms=cfg.step_ms, batch_size=cfg.batch
        ),
    )


def _add_targets(
    report: dict[str, ty.Any], experiment: pb.ExperimentFile
) -> None:
    targets = experiment.run
    meets = (
        report['first_token_ms']['p95'] <= targets.ttft_target_ms
        and report['between_tokens_ms']['p95'] <= targets.tpot_target_ms
    )
    report['targets'] = {
        'ttft_ms': targets.ttft_target_ms,
        'tpot_ms': targets.tpot_target_ms,
    }
    report['meets_target'] = meets
    report['cost_at_target'] = report['cost'] if meets else None
    tokens = report['generated_tokens'] - report['recomputed_tokens']
    report['cost_a_million_tokens'] = (
        round(report['cost'] / tokens * 1e6, 4) if meets and tokens else None
    )


def _by_workload(
    outcomes: list[oracle_.Outcome],
) -> dict[str, dict[str, ty.Any]]:
    names = sorted({outcome.arrival.workload for outcome in outcomes})
    result = {}
    for name in names:
        own = [o for o in outcomes if o.arrival.workload == name]
        result[name] = {
            'requests': len(own),
            'failed': sum(o.failure is not None for o in own),
            **report_.latencies(own, own[0].arrival.work),
        }
    return result


def _plot_first_tokens(
    folder: str, trial: trial_.Trial, faults: ty.Sequence[pb.Fault]
) -> None:
    """Plot first-token times over the run, one line for each kind of work."""
    series = {}
    answers = [o for o in trial.outcomes if o.answer.arrivals]
    start = min((o.answer.started_at for o in answers), default=0)
    for work in _WORK_KINDS:
        points = sorted(
            (
                (o.answer.started_at - start) / 1000,
                float(o.answer.arrivals[0] - o.answer.started_at),
            )
            for o in answers
            if o.arrival.work == work
        )
        if points:
            series[work] = tuple(zip(*points))
    for fault in faults:
        series[fault.kind] = ((fault.at, fault.at), (0.0, 50.0))
    plots.lines(
        os.path.join(folder, 'first_token.png'),
        'First token in ms; short bars mark faults',
        series,
        'seconds',
        'ms',
    )
