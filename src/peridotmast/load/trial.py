"""One run of a fleet under load and faults, and its results."""

from __future__ import annotations

import collections
import dataclasses
import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.load import arrivals as arrivals_
from peridotmast.load import driver as driver_
from peridotmast.load import faults as faults_
from peridotmast.load import oracle as oracle_
from peridotmast.load import report as report_
from peridotmast.schema import peridotmast_pb2 as pb


def discard_progress(line: str) -> None:
    """Ignore a progress message."""


@dataclasses.dataclass
class Trial:
    """The parameters of a run, and after the run its results."""

    shape: shape_.FleetShape
    arrivals: list[arrivals_.Arrival]
    fault_schedule: list[pb.Fault]
    seed: int
    replace_ms: int = 1200
    make_fleet: ty.Callable[..., fleet_.Fleet] = fleet_.Fleet
    """Creates the fleet from a shape and a seed."""
    verdict: oracle_.Verdict = dataclasses.field(
        default_factory=oracle_.Verdict
    )
    """Guarantee violations and other counts; empty before the run."""
    outcomes: list[oracle_.Outcome] = dataclasses.field(default_factory=list)
    """Outcomes of all requests; empty before the run."""

    def run(
        self, progress: driver_.Progress = discard_progress
    ) -> dict[str, ty.Any]:
        """Run the fleet under load and faults, and return the report."""
        kinds = {
            faults_.FaultKind(fault.kind) for fault in self.fault_schedule
        }
        proxied = not kinds.isdisjoint(faults_.LINK_MODES)
        shape = dataclasses.replace(self.shape, proxied=proxied)
        fleet = self.make_fleet(shape, self.seed)
        try:
            fleet.start()
            oracle = oracle_.Oracle(fleet)
            faults = faults_.FaultDriver(fleet, self.replace_ms)
            driver = driver_.LoadDriver(fleet, oracle, self.seed)
            fault_task = green.spawn(faults.run, self.fault_schedule)
            driver.run(self.arrivals, progress)
            fault_task.wait()
            faults.wait()
            self.verdict = oracle.judge(
                faults.notice_times,
                faults.drain_spans,
                faults.thaw_times,
                faults.crash_times,
                faults.resume_times,
                faults.limited_engines,
                faults.kill_all_times,
            )
            overexposed = faults.rollouts.count_overexposed()
            self.verdict.overexposed_versions = overexposed
            self.outcomes = oracle.outcomes
            return self._report(fleet, oracle, faults, driver)
        finally:
            fleet.stop()

    def _report(
        self,
        fleet: fleet_.Fleet,
        oracle: oracle_.Oracle,
        faults: faults_.FaultDriver,
        driver: driver_.LoadDriver,
    ) -> dict[str, ty.Any]:
        return {
            **dataclasses.asdict(self.verdict),
            **report_.latencies(oracle.outcomes),
            'faults': dict(faults.counts),
            'crashed_engines': len(faults.crash_times),
            'link_faults': dict(faults.link_counts),
            'broken_by_proxy': collections.Counter(
                fleet.links.drop_reasons.values()
            ),
            'operator_conflicts': faults.operator_conflicts,
            'cost': round(fleet.cost(), 6),
            'store_calls': fleet.store_calls(),
            'team_runs': {
                team: dataclasses.asdict(found)
                for team, found in oracle.team_runs.items()
            },
            'digest': arrivals_.digest(self.arrivals, self.fault_schedule),
            'late_ms': driver.late_ms,
            'lost': oracle.problems[:50],
        }
