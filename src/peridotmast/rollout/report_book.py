"""What all routers have reported on one roll-out."""

from __future__ import annotations

import collections
import dataclasses
import typing as ty

from peridotmast.rollout import exposure_ledger
from peridotmast.schema import peridotmast_pb2 as pb

RouterRun = exposure_ledger.RouterRun

CellKey = tuple[int, str, str]
"""Time window, route and upstream; the upstream is empty for the versions
that are not rolled out."""

Histogram = collections.Counter[int]
"""Number of values by bucket."""


@dataclasses.dataclass
class Cell:
    """Outcomes of one route in one time window, from all routers."""

    ended: int = 0
    failed: int = 0
    first: Histogram = dataclasses.field(default_factory=collections.Counter)
    gaps: Histogram = dataclasses.field(default_factory=collections.Counter)

    def add(self, cell: pb.EvidenceCell, sign: int) -> None:
        """Add a router's counts, or subtract them if `sign` is -1."""
        self.ended += sign * cell.ended
        self.failed += sign * cell.failed
        for sums, counts in (
            (self.first, cell.first),
            (self.gaps, cell.gaps),
        ):
            for bucket, count in counts.items():
                sums[bucket] += sign * count


class ReportBook:
    """Adds up the reports of all routers.

    A router's counts only grow during one of its runs, so each report replaces
    the earlier ones, and late or repeated reports have no further effect.
    """

    def __init__(self) -> None:
        self._latest: dict[RouterRun, pb.RolloutReport] = {}
        self._cells: dict[RouterRun, dict[CellKey, pb.EvidenceCell]] = {}
        self._counts: dict[str, int] = {'requests': 0, 'exposed': 0}
        self.cells: dict[CellKey, Cell] = {}
        """Outcomes by window, route and upstream."""

    @property
    def requests(self) -> int:
        """Requests that routers have reported for the service."""
        return self._counts['requests']

    @property
    def exposed(self) -> int:
        """Requests that they have reported for the target."""
        return self._counts['exposed']

    def latest(self, run: RouterRun) -> ty.Optional[pb.RolloutReport]:
        """Return the latest report of a run of a router."""
        return self._latest.get(run)

    def runs(self) -> ty.Collection[RouterRun]:
        """Return the runs of routers that have reported."""
        return self._latest.keys()

    def receive(self, run: RouterRun, report: pb.RolloutReport) -> None:
        """Add a report of a run of a router."""
        known = self._latest.get(run)
        if known is not None and report.requests < known.requests:
            # A datagram that was overtaken by a later one.
            return
        for name in self._counts:
            before = getattr(known, name) if known else 0
            self._counts[name] += max(0, getattr(report, name) - before)
        self._latest[run] = report
        cells = self._cells.setdefault(run, {})
        for cell in report.cells:
            self._replace(cells, cell)

    def _replace(
        self, cells: dict[CellKey, pb.EvidenceCell], cell: pb.EvidenceCell
    ) -> None:
        """Replace a router's counts in one cell by larger ones."""
        key = cell.window, cell.route, cell.upstream
        known = cells.get(key)
        if known is not None and _size(cell) <= _size(known):
            return
        total = self.cells.setdefault(key, Cell())
        if known is not None:
            total.add(known, -1)
        total.add(cell, 1)
        cells[key] = cell


def _size(cell: pb.EvidenceCell) -> int:
    return cell.ended + sum(cell.first.values()) + sum(cell.gaps.values())
