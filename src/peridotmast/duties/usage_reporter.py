"""The duty that reports the usage of each window exactly once."""

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
"""Kind and name of the store object with the counts of the last window."""

_COLLECT_MS = 1500
"""Time from the end of a window until its counts are complete: the other
routers' last counts take a few beacons to arrive, and a request is counted
only at its first event, which may come after the end of the window."""

_MAX_LATE_WINDOWS = 3
"""Number of windows after which a missing report is skipped, because it would
arrive after its due time."""


class UsageSink(ty.Protocol):
    """Destination of usage reports."""

    def report_usage(
        self, window: int, counts: usage_.Counts, fencing: int
    ) -> ty.Optional[failures.Failure]:
        """Send the counts of one window.

        Sending the same counts again has no further effect.
        """


class UsageReporter:
    """Reports the usage of each window, in order and as it was stored.

    Two reports of one window must not differ, and a holder may be killed
    after it has sent a report. The counts are therefore written to the store
    before they are sent. The next holder sends the stored counts again and
    continues with the window after them.

    When the store returns from an older copy, the holder stores its last
    counts again. A record of an earlier era does not show what was reported
    since, so the next holder reports only windows whose reports became due
    after it began.

    Parameters
    ----------
    usage : usage.Usage
        Usage counts of all routers.
    reports : UsageSink
        Destination of the reports.
    store : objects.ObjectStore
        Store that the counts are written to before they are sent.
    window_ms : int
        Length of a window, in ms.
    fleet_now : callable
        Returns ms since 1970 by the fleet's clock.
    checks : invariants.Invariants
        Records a violation if a window is reported twice.
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
        self._stored: ty.Optional[objects.StoredObject] = None
        self._written: ty.Optional[objects.Json] = None
        self._started_at = 0
        self._era = 0
        self._is_current = False
        self._is_send_pending = False
        self._log = logs.get('usage')

    @property
    def state_version(self) -> int:
        """Always 0: the next holder reads all state from the store."""
        return 0

    def start(self, state: ty.Optional[pb.DutiesLeft]) -> None:
        """Discard state from an earlier term as lease holder."""
        self._stored = None
        self._written = None
        self._started_at = self._fleet_now()
        self._is_current = False
        self._is_send_pending = False

    def save(self, state: pb.DutiesLeft) -> None:
        """Do nothing: the last reported window is in the store."""

    def on_saved(self) -> None:
        """Do nothing: no report depends on stored state."""

    def run(self, fencing: int) -> None:
        """Store and send the reports that are due."""
        if self._era != self._store.era.number:
            self._is_current = False
        if not self._is_current and not self._read():
            return
        if self._is_send_pending and not self._send(fencing):
            return
        window = self._next_window()
        ready_at = (window + 1) * self._window_ms + _COLLECT_MS
        if self._fleet_now() >= ready_at and self._write(window):
            self._send(fencing)

    def _read(self) -> bool:
        stored = self._store.read(KIND, NAME)
        if isinstance(stored, failures.Failure):
            return False
        self._era = self._store.era.number
        if self._written and self._is_outdated(stored.spec or {}):
            spec = {**self._written, 'era': self._era}
            return self._store_counts(spec, stored.revision)
        self._stored = stored
        self._is_current = True
        # The holder that stored the counts may have failed before sending.
        self._is_send_pending = stored.spec is not None
        return True

    def _is_outdated(self, spec: objects.Json) -> bool:
        """Return whether the store has come back without the last counts."""
        written = self._written or {}
        is_earlier = _window_of(spec) < _window_of(written)
        return is_earlier or (
            _window_of(spec) == _window_of(written)
            and spec.get('era', 0) != self._era
        )

    def _next_window(self) -> int:
        newest = self._usage.window_now()
        following = (_window_of(self._record()) or self._first_window - 1) + 1
        if self._record().get('era', 0) != self._era:
            following = max(following, self._first_due_window())
        return max(following, newest - _MAX_LATE_WINDOWS)

    def _first_due_window(self) -> int:
        """Return the first window that no earlier holder can have reported."""
        return (self._started_at - _COLLECT_MS) // self._window_ms

    def _record(self) -> objects.Json:
        """Return the counts that were stored last."""
        return (self._stored.spec if self._stored else None) or {}

    def _write(self, window: int) -> bool:
        spec = {
            'window': window,
            'counts': self._usage.total(window),
            'era': self._era,
        }
        previous = _window_of(self._record())
        revision = self._stored.revision if self._stored else 0
        if not self._store_counts(spec, revision):
            return False
        self._checks.check(
            invariants_.Invariant.ONE_REPORT, window > previous, str(window)
        )
        self._is_send_pending = True
        return True

    def _store_counts(self, spec: objects.Json, revision: int) -> bool:
        result = self._store.write(KIND, NAME, spec, revision)
        if isinstance(result, failures.Failure):
            # The write may still take effect, so the store is read again
            # before the next write.
            self._is_current = False
            self._log.info(
                'usage_write_failed',
                window=spec['window'],
                reason=result.reason,
            )
            return False
        self._stored = objects.StoredObject(NAME, result.revision, spec)
        self._written = spec
        self._is_current = True
        return True

    def _send(self, fencing: int) -> bool:
        spec = self._record()
        window, counts = int(spec['window']), spec['counts']
        failure = self._reports.report_usage(window, counts, fencing)
        self._is_send_pending = failure is not None and not _is_late(
            window, self._usage.window_now()
        )
        self._log.info(
            'usage_report',
            window=window,
            requests=sum(counts.values()),
            fencing=fencing,
            outcome='sent' if failure is None else failure.reason,
        )
        return not self._is_send_pending


def _window_of(spec: objects.Json) -> int:
    """Return the window of stored counts; 0 if there are none."""
    return int(spec.get('window') or 0)


def _is_late(window: int, newest: int) -> bool:
    return window < newest - _MAX_LATE_WINDOWS
