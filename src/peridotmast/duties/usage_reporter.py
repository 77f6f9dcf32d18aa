"""The duty to report each window's usage once, whoever holds it."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import invariants as invariants_
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import usage as usage_

KIND = 'peridotmast-duties'
NAME = 'usage'

_SETTLE_MS = 1500
"""Time after a window's end in which the routers' last counts arrive: a few
beacons, and requests whose first event is late."""

_STALE_WINDOWS = 3
"""Windows after which a report is not made up for any more: it would come
after its due time."""


class UsageSink(ty.Protocol):
    """Where usage is reported to."""

    def report_usage(
        self, window: int, counts: usage_.Counts, fencing: int
    ) -> ty.Optional[failures.Failure]:
        """Send one window's counts; the same ones again do no harm."""


class UsageReporter:
    """Reports windows in order, each with the counts that were written down.

    Two reports of one window must not differ, and a holder may die after
    it has sent one. So the counts are written to the store before they are
    sent; the next holder sends what it finds there, and goes on after it.

    Parameters
    ----------
    usage : usage.Usage
        The counts.
    reports : UsageSink
        Where they go.
    store : objects.ObjectStore
        Where they are written down first.
    window_ms : int
        Length of a window.
    fleet_now : callable
        Returns ms since 1970 by the fleet's clock.
    checks : invariants.Invariants
        Where a second report of a window would be seen.
    """

    def __init__(
        self,
        usage: usage_.Usage,
        reports: UsageSink,
        store: objects.ObjectStore,
        window_ms: int,
        fleet_now: ty.Callable[[], int],
        checks: invariants_.Invariants,
    ) -> None:
        self._usage = usage
        self._reports = reports
        self._store = store
        self._window_ms = window_ms
        self._fleet_now = fleet_now
        self._checks = checks
        self._first_window = usage.window_now()
        self._written: ty.Optional[objects.StoredObject] = None
        self._sure = False
        self._unsent = False
        self._log = logs.get('usage')

    @property
    def state_version(self) -> int:
        """None that the next holder can't read in the store."""
        return 0

    def start(self, left: ty.Optional[pb.DutiesLeft]) -> None:
        """Forget what an earlier time as holder has left."""
        self._written = None
        self._sure = False
        self._unsent = False

    def save(self, left: pb.DutiesLeft) -> None:
        """Leave nothing: what was reported is in the store."""

    def run(self, fencing: int) -> None:
        """Write down and send what is due."""
        if not self._sure and not self._read():
            return
        if self._unsent and not self._send(fencing):
            return
        window = self._next_window()
        ready_at = (window + 1) * self._window_ms + _SETTLE_MS
        if self._fleet_now() >= ready_at and self._write(window):
            self._send(fencing)

    def _read(self) -> bool:
        stored = self._store.read(KIND, NAME)
        if isinstance(stored, failures.Failure):
            return False
        self._written = stored
        self._sure = True
        # The one who wrote it may not have come to send it.
        self._unsent = stored.spec is not None
        return True

    def _next_window(self) -> int:
        newest = self._usage.window_now()
        spec = (self._written.spec if self._written else None) or {}
        after = int(spec.get('window') or self._first_window - 1) + 1
        return max(after, newest - _STALE_WINDOWS)

    def _write(self, window: int) -> bool:
        spec = {'window': window, 'counts': self._usage.total(window)}
        revision = self._written.revision if self._written else 0
        result = self._store.write(KIND, NAME, spec, revision)
        if isinstance(result, failures.Failure):
            # What is there now decides, also where this write comes late.
            self._sure = False
            self._log.info(
                'usage_unwritten', window=window, reason=result.reason
            )
            return False
        written = (self._written.spec if self._written else None) or {}
        self._checks.check(
            invariants_.Invariant.ONE_REPORT,
            window > int(written.get('window') or 0),
            str(window),
        )
        self._written = objects.StoredObject(NAME, result.revision, spec)
        self._unsent = True
        return True

    def _send(self, fencing: int) -> bool:
        spec = (self._written.spec if self._written else None) or {}
        window, counts = int(spec['window']), spec['counts']
        failure = self._reports.report_usage(window, counts, fencing)
        self._unsent = failure is not None and not _is_late(
            window, self._usage.window_now()
        )
        self._log.info(
            'usage_report',
            window=window,
            requests=sum(counts.values()),
            fencing=fencing,
            outcome='sent' if failure is None else failure.reason,
        )
        return not self._unsent


def _is_late(window: int, newest: int) -> bool:
    return window < newest - _STALE_WINDOWS
