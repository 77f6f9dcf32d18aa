"""Tracking and blocking of requests that crash upstreams."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import ids
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_attribution
from peridotmast.serving import crash_keys
from peridotmast.serving import crash_suspect
from peridotmast.serving import part_clearances
from peridotmast.serving import upstream_view

BLOCK_REASON = 'crashes_upstreams'
"""Failure reason of blocked requests, whether refused or cancelled."""

MAX_RETRIES = 2
"""Retries allowed for a blocked request. All routers together may send it one
time more, so up to 3 times after its last crash, if the lease of the duties
passes to a router that has not yet received the previous holder's update."""

RETRY_DELAY_MS = 600_000
"""Time after the last crash before a blocked request is retried."""

_CONFIRMATION_MS = 3000
"""Time after a broken connection within which an upstream that has not crashed
is expected to answer another request, in ms. That answer shows that only the
connection has failed."""

_CONFIRMATION_RETRY_MS = 1000
"""Retry time given to callers within `_CONFIRMATION_MS` of the last crash, in
ms: the crash may turn out to be only a broken connection. The same for a
request of which one part is blocked that may be harmless: the holder of the
duties soon finds out."""

RETENTION_MS = 3_600_000
"""Time after the last crash or refusal of a request until it is no longer
tracked, in ms."""

MAX_SUSPECTS = 1024
"""Maximum number of tracked requests and parts, about 600 bytes each."""

_RETAINED_SHARE = 0.75
"""Fraction of `MAX_SUSPECTS` that is kept by an eviction."""

_MAX_CRASHES = 16
"""Maximum number of crashes recorded per request."""

_UPDATE_MS = 5000
_MAX_UPDATES = 32
"""Time for which a changed request is included in beacons, in ms, and maximum
number of requests in one beacon. The time spans as many beacons as may be lost
in a row; 32 requests take less than 1.5 kB compressed."""

_MAX_LOGGED_PARTS = 16
"""Maximum number of parts of a prompt in one log line."""

CRASH_REASONS = frozenset(
    ('broke_off', 'cut_short', 'upstream_restarted', 'upstream_lost')
)
"""Failure reasons that indicate a crash regardless of the upstream's state."""

_ENDED_STATES = frozenset((upstream_view.GONE, upstream_view.LAPSED))

_NEVER = part_clearances.NEVER

_Crash = crash_suspect.Crash
_CrashesByRun = crash_suspect.CrashesByRun
_Suspect = crash_suspect.Suspect


class CrashTracker:
    """Counts the upstreams that each request crashes, across all routers.

    A request that has crashed `crash_suspect.BLOCK_THRESHOLD` upstreams is
    refused by every router that knows of the crashes. Routers exchange the
    crashes of a request as a set of runs of upstreams and merge these sets by
    union, so duplicate, late or relayed updates have no further effect. A
    broken connection counts as a crash until the same run of the upstream
    answers a request that was sent after the connection broke. A complete
    answer at any router discards the earlier crashes of the request.

    The parts of a prompt that other requests share are tracked like requests,
    since a part may crash each upstream that answers a prompt with it. A
    complete answer at any router clears the parts of its prompt for a while,
    so that of the requests that run at a crashed upstream only the parts that
    no sound request has are left.

    A crash also interrupts the other requests running at the upstream, which
    may then be resent to the same upstreams as the request that causes the
    crashes. Therefore, a crash does not count for a request that was being
    answered if it is attributed to another request: one that the upstream was
    not answering yet, and that has at most one crash fewer.

    So that a request blocked by mistake does not remain blocked indefinitely,
    the router that holds the lease of the fleet's duties retries blocked
    requests, but rarely.

    Parameters
    ----------
    clock : clock.Clock
        Times the crashes.
    router : str
        Name of this router.
    """

    def __init__(self, clock: clock_.Clock, router: str) -> None:
        self._clock = clock
        self._log = logs.get('crashes', router=router)
        self._suspects: dict[ids.Fingerprint, _Suspect] = {}
        self._clearances = part_clearances.PartClearances(clock)
        self._last_answered: dict[str, int] = {}
        """Send time of the latest answered request, in ms, by run of an
        upstream; only runs with a recorded crash."""
        self.changes = 0
        """Number of times that the set of blocked requests or the number of
        their retries has changed."""
        self.relays_updates: ty.Callable[[], bool] = lambda: False
        """Returns whether this router relays crash updates between peers."""
        self.may_retry: ty.Callable[[], bool] = lambda: False
        """Returns whether this router may retry a blocked request."""
        self.notify_peers: ty.Callable[[], None] = lambda: None
        """Called when a crash update must be sent to peers at once, without
        waiting for the next beacon."""
        self.on_block: ty.Callable[[ids.Fingerprint], None] = lambda f: None
        """Called when a request becomes blocked."""

    def __len__(self) -> int:
        """Return the number of tracked requests."""
        return len(self._suspects)

    def note_failure(
        self,
        keys: crash_keys.CrashKeys,
        view: upstream_view.UpstreamView,
        failure: failures.Failure,
        sent_at: int,
        was_answering: bool = False,
    ) -> None:
        """Record an attempt that did not receive a complete answer.

        Parameters
        ----------
        sent_at : int
            Time at which the attempt was sent, in ms.
        was_answering : bool, optional
            Whether the upstream had sent an event of the answer.
        """
        has_ended = view.record.state in _ENDED_STATES
        is_crash = failure.reason in CRASH_REASONS or (
            failure.reason == 'silent' and has_ended
        )
        if not is_crash:
            return
        now = self._clock.now()
        crash = _Crash(now, sent_at, was_answering, view.failure_domain)
        suspects = [
            self._ensure_suspect(key, now)
            for key in keys.all()
            if not self._clearances.is_cleared(key)
        ]
        for suspect in suspects:
            if self._add_crash(suspect, view.run, crash):
                suspect.changed_at = now
        self._log.info(
            'crash_recorded',
            fingerprint=keys.request,
            parts=' '.join(
                f'{suspect.key}={len(suspect.crashes)}'
                for suspect in suspects[1 : 1 + _MAX_LOGGED_PARTS]
            ),
            upstream=view.name,
            born=view.born,
            crashes=len(suspects[0].crashes),
            reason=failure.reason,
            was_answering=was_answering,
        )
        for suspect in suspects:
            self._update_block(suspect)
        if any(len(suspect.crashes) > 1 for suspect in suspects):
            self.notify_peers()

    def note_response(
        self, view: upstream_view.UpstreamView, sent_at: int
    ) -> None:
        """Record that an upstream answers a request.

        The run of the upstream cannot have crashed before the request was
        sent.

        Parameters
        ----------
        sent_at : int
            Time at which the request was sent, in ms.
        """
        if not self._last_answered:
            return
        known = self._last_answered.get(view.run)
        if known is not None and sent_at > known:
            self._last_answered[view.run] = sent_at

    def note_success(self, keys: crash_keys.CrashKeys) -> None:
        """Record a complete answer, which discards earlier crashes."""
        for part in keys.parts:
            self._clearances.note(part)
        if self._suspects:
            for key in keys.all():
                self._discard_crashes(key)

    def retry_after_ms(self, keys: crash_keys.CrashKeys) -> int:
        """Return how long a request is refused, in ms; 0 if it may be sent.

        Returning 0 for a blocked request uses up one of its retries.
        """
        blocked = self._blocked_suspects(keys)
        if not blocked:
            return 0
        now = self._clock.now()
        for suspect in blocked:
            suspect.seen_at = now
        wait_ms = max(self._wait_ms(suspect, keys) for suspect in blocked)
        if wait_ms:
            return wait_ms
        for suspect in blocked:
            suspect.retries += 1
            suspect.changed_at = now
            self._log.info('crash_retry', fingerprint=suspect.key)
        self.changes += 1
        self.notify_peers()
        return 0

    def blocked_key(self, keys: crash_keys.CrashKeys) -> str:
        """Return the request or part for which a request is refused, if so."""
        blocked = self._blocked_suspects(keys)
        return blocked[0].key if blocked else ''

    def updates_for_peers(self) -> list[pb.CrashSuspect]:
        """Return the blocked or recently changed requests, for peers."""
        if not self._suspects:
            return []
        cutoff = self._clock.now() - _UPDATE_MS
        selected = [
            suspect
            for suspect in self._suspects.values()
            if suspect.is_blocked or suspect.changed_at > cutoff
        ]
        selected.sort(key=lambda s: (s.urgency, s.changed_at), reverse=True)
        now = self._clock.now()
        return [suspect.to_message(now) for suspect in selected[:_MAX_UPDATES]]

    def blocked_requests(self) -> list[pb.CrashSuspect]:
        """Return the blocked requests."""
        return [
            suspect.to_message(self._clock.now())
            for suspect in self._suspects.values()
            if self._update_block(suspect)
        ]

    def merge_updates(self, updates: ty.Iterable[pb.CrashSuspect]) -> None:
        """Merge the tracked requests that another router has sent."""
        for message in updates:
            self._merge(message)

    def tick(self) -> None:
        """Remove requests whose retention period has passed."""
        if not self._suspects:
            self._last_answered.clear()
            return
        cutoff = self._clock.now() - RETENTION_MS
        expired = [f for f, s in self._suspects.items() if s.seen_at < cutoff]
        self._remove(expired)

    def _merge(self, message: pb.CrashSuspect) -> None:
        now = self._clock.now()
        key = ids.Fingerprint(message.fingerprint)
        suspect = self._ensure_suspect(key, now - message.idle_ms)
        before = self._merged_state(suspect)
        for crash in message.crashes:
            self._add_crash(
                suspect, crash.run, _Crash.from_message(crash, now)
            )
        answered_at = _NEVER
        if message.HasField('answered_ago_ms'):
            answered_at = now - message.answered_ago_ms
        suspect.answered_at = max(
            suspect.answered_at,
            answered_at,
            self._clearances.answered_at(key),
        )
        suspect.retries = max(suspect.retries, message.retries)
        is_ahead = (
            len(suspect.crashes) > len(message.crashes)
            or suspect.retries > message.retries
            or _discounts_more(suspect, answered_at)
        )
        is_changed = self._merged_state(suspect) != before
        if is_changed and (is_ahead or self.relays_updates()):
            suspect.changed_at = now
        self._update_block(suspect)
        if is_changed and is_ahead:
            self.notify_peers()

    def _merged_state(self, suspect: _Suspect) -> tuple[int, ...]:
        """Return the values of which a merge must change at least one."""
        return (
            len(suspect.crashes),
            sum(c.was_answering for c in suspect.crashes.values()),
            suspect.retries,
            len(self._valid_crashes(suspect)),
        )

    def _blocked_suspects(self, keys: crash_keys.CrashKeys) -> list[_Suspect]:
        if not self._suspects:
            return []
        found = [
            suspect
            for key in keys.all()
            if (suspect := self._suspects.get(key)) is not None
        ]
        return [suspect for suspect in found if self._update_block(suspect)]

    def _wait_ms(self, suspect: _Suspect, keys: crash_keys.CrashKeys) -> int:
        """Return how long a blocked suspect must not be sent, in ms."""
        since_crash_ms = self._clock.now() - suspect.last_crash_at
        if since_crash_ms < _CONFIRMATION_MS:
            return _CONFIRMATION_RETRY_MS
        is_ambiguous = not suspect.retries and (
            crash_attribution.is_ambiguous(
                suspect,
                self._valid_crashes(suspect),
                keys,
                self._suspects.values(),
            )
        )
        if is_ambiguous:
            return 0 if self.may_retry() else _CONFIRMATION_RETRY_MS
        remaining_ms = RETRY_DELAY_MS - since_crash_ms
        if remaining_ms > 0:
            return remaining_ms
        if suspect.retries >= MAX_RETRIES or not self.may_retry():
            return RETRY_DELAY_MS
        return 0

    def _discard_crashes(self, key: ids.Fingerprint) -> None:
        """Discard the crashes before a complete answer, which comes now."""
        suspect = self._suspects.get(key)
        if suspect is None:
            return
        before = suspect.count_losses(self._valid_crashes(suspect))
        suspect.answered_at = now = self._clock.now()
        if before or not suspect.is_part:
            suspect.changed_at = now
        self._update_block(suspect)
        if before > 1:
            self._log.info('crashes_discarded', fingerprint=key, count=before)
            self.notify_peers()

    def _ensure_suspect(
        self, fingerprint: ids.Fingerprint, seen_at: int
    ) -> _Suspect:
        """Return the entry of a request, and create it if missing."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = _Suspect(fingerprint, seen_at=seen_at)
            self._suspects[fingerprint] = suspect
            self._evict()
        suspect.seen_at = max(suspect.seen_at, seen_at)
        return suspect

    def _add_crash(self, suspect: _Suspect, run: str, crash: _Crash) -> bool:
        """Add a crash, and return whether it was new.

        If the crash of a run is reported twice, the earlier report is kept,
        as its time is closer to the actual crash. A discounted report is
        replaced by a later report.
        """
        known = suspect.crashes.get(run)
        if known is None and len(suspect.crashes) >= _MAX_CRASHES:
            return False
        self._last_answered.setdefault(run, _NEVER)
        if known is None or self._is_discounted(suspect, run, known):
            suspect.crashes[run] = max(known or crash, crash)
            return suspect.crashes[run] != known
        if not self._is_discounted(suspect, run, crash):
            suspect.crashes[run] = known.merged(crash)
        return False

    def _is_discounted(
        self, suspect: _Suspect, run: str, crash: _Crash
    ) -> bool:
        """Return whether a crash does not count because of a later answer.

        Either the same run of the upstream has answered a request that was
        sent later, or this request has received a complete answer later.
        """
        return suspect.is_answered_after(
            crash, suspect.answered_at
        ) or crash.at < self._last_answered.get(run, _NEVER)

    def _valid_crashes(self, suspect: _Suspect) -> _CrashesByRun:
        """Return the crashes that count despite later answers."""
        return {
            run: crash
            for run, crash in suspect.crashes.items()
            if not self._is_discounted(suspect, run, crash)
        }

    def _has_reached_threshold(self, suspect: _Suspect) -> bool:
        crashes = self._valid_crashes(suspect)
        if not suspect.has_enough(crashes):
            # The common case, decided without a scan of the other requests.
            return False
        return suspect.has_enough(
            crash_attribution.exclude_attributed(
                suspect, crashes, self._suspects.values(), self._valid_crashes
            )
        )

    def _update_block(self, suspect: _Suspect) -> bool:
        """Return whether a request is blocked; log it if that has changed."""
        is_blocked = self._has_reached_threshold(suspect)
        if is_blocked != suspect.is_blocked:
            suspect.is_blocked = is_blocked
            self.changes += 1
            self._log.info(
                'request_blocked' if is_blocked else 'request_unblocked',
                fingerprint=suspect.key,
                crashes=' '.join(suspect.crashes),
            )
            if is_blocked:
                self.on_block(suspect.key)
        return is_blocked

    def _evict(self) -> None:
        """Remove the oldest requests if there are more than `MAX_SUSPECTS`.

        Blocked requests are removed only after all others.
        """
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        order = sorted(
            self._suspects.values(), key=lambda s: (s.urgency[:2], s.seen_at)
        )
        retained = int(MAX_SUSPECTS * _RETAINED_SHARE)
        self._remove([suspect.key for suspect in order[:-retained]])

    def _remove(self, fingerprints: ty.Iterable[ids.Fingerprint]) -> None:
        removed = [self._suspects.pop(f) for f in fingerprints]
        if removed:
            runs = {r for s in self._suspects.values() for r in s.crashes}
            self._last_answered = {
                run: at
                for run, at in self._last_answered.items()
                if run in runs
            }


def _discounts_more(suspect: _Suspect, answered_at: int) -> bool:
    """Return whether some crash counts with another time of an answer only."""
    return any(
        suspect.is_answered_after(crash, suspect.answered_at)
        and not suspect.is_answered_after(crash, answered_at)
        for crash in suspect.crashes.values()
    )
