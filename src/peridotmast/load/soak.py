"""A long randomized run with all kinds of faults."""

from __future__ import annotations

import dataclasses
import functools
import os
import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import process_fleet
from peridotmast.embedded import shape as shape_
from peridotmast.load import arrivals as arrivals_
from peridotmast.load import driver as driver_
from peridotmast.load import faults as faults_
from peridotmast.load import report as report_
from peridotmast.load import rollout_fault
from peridotmast.load import trial as trial_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import engine

_DRAFT_DEADLINE_MS = 25_000

_CONFIG = f"""\
{shape_.CONFIG}
[team crowd]
keys = key-crowd
rate = 2000
burst = 600
default_tokens = 200
"""
"""Configuration with a team that asks for eight times its limit."""

WORKLOADS = (
    pb.Workload(
        name='counter', team='kalnins', work='interactive', rate=11,
        tokens_min=10, tokens_max=50, prompt_words=20, shared_words=64,
        groups=4, idempotent=True, deadline_ms=15_000, closes_at=3600,
    ),
    pb.Workload(
        name='schedules', team='noor', work='draft', rate=2.5,
        tokens_min=100, tokens_max=260, prompt_words=60, shared_words=64,
        groups=4, idempotent=True, deadline_ms=_DRAFT_DEADLINE_MS,
        closes_at=3600,
    ),
    pb.Workload(
        name='tags', team='kalnins', work='standard', rate=2,
        tokens_min=5, tokens_max=25, prompt_words=20, shared_words=16,
        groups=2, idempotent=False, deadline_ms=10_000,
        closes_at=3600,
    ),
    pb.Workload(
        name='holds', team='noor', work='interactive', rate=6,
        service='booking', idempotent=False,
        prompt_words=4, shared_words=0, groups=1, tokens_min=1,
        tokens_max=1, deadline_ms=10_000, closes_at=3600,
    ),
    pb.Workload(
        name='pages', team='crowd', work='interactive', rate=80,
        service='booking', idempotent=True,
        prompt_words=4, shared_words=0, groups=1, tokens_min=1,
        tokens_max=1, deadline_ms=500, opens_at=2, closes_at=3600,
    ),
)  # fmt: skip


def shape(policy: str = 'scored') -> shape_.FleetShape:
    """Return the fleet of soaks and of policy comparisons."""
    return shape_.FleetShape(
        routers=4,
        domains=4,
        engines=2,
        engine_profile=engine.EngineProfile(step_ms=10, batch_size=24),
        config=_CONFIG,
        router={'policy': policy},
        bounds={
            'usage_window_s': 2.0,
            'lease_ms': 1000,
            'expose_share': rollout_fault.EXPOSE_SHARE,
            'expose_slack': rollout_fault.EXPOSE_SLACK,
        },
        crash_body=faults_.CRASH_PROMPT.encode(),
    )


def process_shape() -> shape_.FleetShape:
    """Return the fleet of a soak with processes, which scales its engines."""
    document = shape_.DOCUMENT.replace('fixed', 'planner')
    return dataclasses.replace(shape(), document=document)


def run(
    seconds: float,
    seed: int,
    folder: str,
    progress: driver_.Progress,
    processes: bool = False,
) -> list[str]:
    """Run, write the report, and return the violated guarantees.

    Parameters
    ----------
    processes : bool
        Whether each router is a process, so that routers can be frozen and
        all be killed at once. Their logs are kept in the folder.
    """
    make_fleet: ty.Callable[..., fleet_.Fleet] = fleet_.Fleet
    if processes:
        logs = os.path.join(folder, 'routers')
        make_fleet = functools.partial(process_fleet.ProcessFleet, folder=logs)
    trial = trial_.Trial(
        process_shape() if processes else shape(),
        arrivals_.draw(WORKLOADS, seconds, seed),
        faults_.draw(
            seconds,
            seed,
            fault_kinds=faults_.PROCESS_FAULT_KINDS
            if processes
            else faults_.EMBEDDED_FAULT_KINDS,
        ),
        seed,
        make_fleet=make_fleet,
    )
    report_.write(folder, trial.run(progress))
    return trial.verdict.violated_guarantees()


def reproduction_command(
    seconds: float, seed: int, processes: bool = False
) -> str:
    """Return the command line that repeats a run."""
    line = f'peridotmast-load soak --seconds {seconds:g} --seed {seed}'
    return f'{line} --out OUT{" --processes" * processes}'
