"""Forwards streams to callers and resumes them when an upstream fails."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import dialect as dialect_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import placement
from peridotmast.serving import reply as reply_
from peridotmast.serving import retry_budget
from peridotmast.serving import sender as sender_
from peridotmast.serving import upstream_view
from peridotmast.serving import version_gate
from peridotmast.wire import event_reader

_MIGRATION_WAIT_MS = 1500
"""Time limit for a migration to finish once its stream has stopped, in ms."""

_STALL_GAPS = 4
"""Multiple of the route's target gap after which a stream counts as stalled:
the prefill of a long prompt between two tokens can exceed one target gap."""


_GAP_EVENTS = 6
"""Number of events after the first one from which the time between events is
measured: a slow version is noticed long before its streams end."""


class StreamRelay:
    """Forwards the events of streams and resumes interrupted streams.

    Parameters
    ----------
    clock : clock.Clock
        Clock for stall time-outs and deadlines.
    sender : sender.Sender
        Sends the resume request to another upstream.
    places : placement.Placement
        Selects the upstream at which a stream is resumed.
    budget : retry_budget.RetryBudget
        Limits how often streams are resumed.
    crashes : crash_tracker.CrashTracker
        Tracks requests that crash upstreams.
    versions : version_gate.VersionGate
        Receives the outcomes of streams.
    metrics : metrics.ServingMetrics
        Counts resumed streams.
    decisions : decisions.Decisions
        Records interruptions and resumes of each request.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        sender: sender_.Sender,
        places: placement.Placement,
        budget: retry_budget.RetryBudget,
        crashes: crash_tracker_.CrashTracker,
        versions: version_gate.VersionGate,
        metrics: metrics_.ServingMetrics,
        decisions: decisions_.Decisions,
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._placement = places
        self._budget = budget
        self._crashes = crashes
        self._versions = versions
        self._metrics = metrics
        self._decisions = decisions
        self._open: list[Stream] = []

    def streams_at(self, view: upstream_view.UpstreamView) -> list[Stream]:
        """Return the open streams that one run of an upstream serves."""
        return [s for s in self._open if s.sent.reservation.view is view]

    def busy_views(self) -> list[upstream_view.UpstreamView]:
        """Return the runs of upstreams that serve open streams."""
        return list({s.sent.reservation.view: None for s in self._open})

    def begin(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        sent: sender_.Sent,
        first_event_ms: int,
    ) -> ty.Union[Stream, failures.Failure]:
        """Wait for the first event of a response whose head was read.

        The caller must pass a returned `Stream` to `close`.

        Parameters
        ----------
        first_event_ms : int
            Time limit for the first event, in ms.
        """
        stream = Stream(exchange, service, sent, self._clock)
        self._open.append(stream)
        failure: ty.Optional[failures.Failure] = failures.unknown('cut_off')
        try:
            failure = self._first_event(stream, first_event_ms)
        finally:
            if failure is not None:
                self._open.remove(stream)
        return stream if failure is None else failure

    def events(self, stream: Stream) -> ty.Iterator[bytes]:
        """Yield the bytes of the response, in complete events only.

        Raises
        ------
        BrokenAnswer
            If the stream is interrupted and can't be resumed.
        """
        while True:
            if stream.pending:
                yield stream.take_pending()
            if stream.ended:
                return
            try:
                self._read_more(stream)
            except reply_.BrokenAnswer as exc:
                stream.is_broken = True
                self._metrics.broken_answers.labels(
                    stream.service.name, str(exc)
                ).inc()
                raise

    def close(self, stream: Stream) -> None:
        """Release the resources of a stream, complete or not."""
        if stream in self._open:
            self._open.remove(stream)
        stream.drop_migration()
        stream.sent.reservation.release()
        if stream.ended:
            self._crashes.note_success(stream.exchange.fingerprint)
            self._sender.finish(stream.sent)
            self._note_gap(stream)
            self._versions.note_end(
                stream.exchange.route.name,
                stream.sent.reservation.view,
                stream.sent.sent_at,
                failed=False,
            )
            return
        if not stream.is_broken:
            # The caller has left.
            sent = stream.sent
            self._sender.abandon(
                stream.exchange,
                sent.reservation.view,
                sent.sent_at,
                stream.is_answering,
            )
        stream.sent.conn.close()

    def _first_event(
        self, stream: Stream, first_event_ms: int
    ) -> ty.Optional[failures.Failure]:
        deadline = self._clock.now() + first_event_ms
        while not stream.pending and not stream.ended:
            read_until = min(stream.exchange.deadline, deadline)
            data = stream.sent.conn.read_some(read_until)
            if isinstance(data, failures.Failure):
                migrated = self._resume_at_target(stream)
                if migrated is None:
                    self._note_failure(stream, data)
                    return data
                if isinstance(migrated, failures.Failure):
                    return migrated
                continue
            stream.sent.reservation.view.note_activity()
            stream.feed(data)
        stream.sent.reservation.mark_prefill_ended()
        stream.sent.reservation.view.health.record_success()
        return None

    def _read_more(self, stream: Stream) -> None:
        exchange = stream.exchange
        data = stream.sent.conn.read_some(self._stall_deadline(stream))
        if not isinstance(data, failures.Failure):
            stream.sent.reservation.view.note_activity()
            stream.feed(data)
            self._note_gap(stream, _GAP_EVENTS)
            return
        failure: ty.Optional[failures.Failure] = data
        while failure is not None:
            self._decisions.note(
                exchange.id,
                'stream_broke',
                upstream=stream.sent.reservation.view.name,
                last_event=stream.reader.last_id,
                reason=failure.reason,
                detail=failure.detail,
            )
            migrated = self._resume_at_target(stream)
            if migrated is None:
                if failure is data:
                    # Later failures belong to attempts to resume at other
                    # upstreams, not to the previous one.
                    self._note_failure(stream, failure)
                migrated = self._resume(stream, failure)
            failure = (
                migrated if isinstance(migrated, failures.Failure) else None
            )

    def _note_failure(self, stream: Stream, failure: failures.Failure) -> None:
        sent = stream.sent
        view = sent.reservation.view
        self._sender.note_failure(
            stream.exchange, view, failure, sent.sent_at, stream.is_answering
        )
        if stream.is_answering:
            route = stream.exchange.route.name
            self._versions.note_end(route, view, sent.sent_at, failed=True)

    def _note_gap(self, stream: Stream, min_events: int = 1) -> None:
        """Record the mean time between events, once for each attempt."""
        gap_ms = stream.take_gap_ms(min_events)
        if gap_ms is not None:
            sent = stream.sent
            route = stream.exchange.route.name
            self._versions.note_gap(
                route, sent.reservation.view, sent.sent_at, gap_ms
            )

    def _stall_deadline(self, stream: Stream) -> int:
        """Return the time by which the next bytes must arrive, in ms.

        A stalled stream is resumed at another upstream if possible. A stream
        that can't be resumed is not ended because of a stall, as its upstream
        may be recomputing the prefill.
        """
        exchange = stream.exchange
        if not stream.may_resume():
            return exchange.deadline
        stall_ms = _STALL_GAPS * exchange.route.target_gap_ms
        return min(exchange.deadline, self._clock.now() + stall_ms)

    def _resume_at_target(
        self, stream: Stream
    ) -> ty.Union[sender_.Sent, failures.Failure, None]:
        """Resume where the run was migrated to; None if it was not."""
        migrated = stream.wait_for_migration()
        if migrated is None:
            return None
        stream.sent.reservation.release()
        resume_point = dialect_.ResumePoint(
            max(0, stream.reader.last_id), migrated.kv_location
        )
        return self._send_resume(stream, migrated.reservation, resume_point)

    def _resume(
        self, stream: Stream, failure: failures.Failure
    ) -> ty.Union[sender_.Sent, failures.Failure]:
        """Resume at another upstream, which recomputes the prefill.

        Raises
        ------
        BrokenAnswer
            If the stream may not be resumed or no upstream is available.
        """
        exchange = stream.exchange
        expired = self._clock.now() >= exchange.deadline
        if expired or not stream.may_resume():
            raise reply_.BrokenAnswer(failure.reason)
        if self._crashes.retry_after_ms(exchange.fingerprint):
            raise reply_.BrokenAnswer(crash_tracker_.BLOCK_REASON)
        if not self._budget.take(stream.service.name):
            raise reply_.BrokenAnswer('no_budget')
        stream.sent.reservation.release()
        reservation = self._placement.choose(
            exchange, stream.service, stream.tried
        )
        if reservation is None:
            raise reply_.BrokenAnswer('no_upstream')
        stream.tried.add(reservation.view.name)
        resume_point = dialect_.ResumePoint(max(0, stream.reader.last_id))
        return self._send_resume(stream, reservation, resume_point)

    def _send_resume(
        self,
        stream: Stream,
        reservation: placement.Reservation,
        resume_point: dialect_.ResumePoint,
    ) -> ty.Union[sender_.Sent, failures.Failure]:
        exchange = stream.exchange
        stall_ms = 2 * _STALL_GAPS * exchange.route.target_gap_ms
        result: ty.Union[sender_.Sent, failures.Failure, None] = None
        try:
            result = self._sender.send(
                exchange, reservation, stall_ms, resume_point
            )
        finally:
            if not isinstance(result, sender_.Sent):
                reservation.release()
        if isinstance(result, failures.Failure):
            return result
        if result.verdict is not dialect_.Verdict.ANSWER:
            reservation.release()
            result.conn.close()
            return failures.not_run(result.verdict.value)
        stream.continue_from(result)
        self._metrics.resumed_streams.labels(stream.service.name).inc()
        self._decisions.note(
            exchange.id,
            'stream_goes_on',
            upstream=reservation.view.name,
            last_event=stream.reader.last_id,
            copy=resume_point.kv_location,
        )
        return result


@dataclasses.dataclass(frozen=True)
class MigratedRun:
    """Where a migrated run continues."""

    reservation: placement.Reservation
    kv_location: str
    """Location of the KV cache of the run."""


class Stream:
    """One stream and its progress."""

    def __init__(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        sent: sender_.Sent,
        clock: clock_.Clock,
    ) -> None:
        self.exchange = exchange
        self.service = service
        self.sent = sent
        """The attempt that currently supplies the events."""
        self.reader = event_reader.EventReader()
        self.tried: set[str] = {sent.reservation.view.name}
        """Names of the upstreams chosen to run the stream from its prompt."""
        self.pending = b''
        """Received events that were not forwarded yet."""
        self.ended = False
        """Whether the upstream marked the stream as complete."""
        self.is_answering = False
        """Whether the current attempt has sent a new event."""
        self.is_broken = False
        """Whether the stream was interrupted and could not be resumed."""
        self._clock = clock
        self._first: ty.Optional[tuple[int, int]] = None
        self._gap_start: ty.Optional[tuple[int, int]] = None
        self._is_gap_taken = False
        self._migration: ty.Optional[ty.Any] = None

    def feed(self, data: bytes) -> None:
        """Add received bytes; empty `data` marks the end of the stream."""
        if data:
            last_id = self.reader.last_id
            self.pending += self.reader.feed(data)
            self.is_answering |= self.reader.last_id > last_id
            if self._first is None and self.reader.last_id >= 0:
                self._first = self._clock.now(), self.reader.last_id
            if self._gap_start is None and self.is_answering:
                self._gap_start = self._clock.now(), self.reader.last_id
            return
        self.ended = True
        self.pending += self.reader.buffered

    def take_pending(self) -> bytes:
        """Return the pending events and clear them."""
        pending, self.pending = self.pending, b''
        return pending

    def take_gap_ms(self, min_events: int = 1) -> ty.Optional[float]:
        """Return the mean time between the events of this attempt, in ms.

        It is returned once for each attempt, and None before `min_events` have
        followed the first one.
        """
        if self._gap_start is None or self._is_gap_taken:
            return None
        started_at, first_id = self._gap_start
        event_count = self.reader.last_id - first_id
        if event_count < min_events:
            return None
        self._is_gap_taken = True
        return (self._clock.now() - started_at) / event_count

    def expected_end(self, now: int) -> ty.Optional[int]:
        """Return the estimated end of the stream, in ms; None if unknown.

        It is extrapolated from the mean time per event so far.
        """
        if self._first is None:
            return None
        first_at, first_id = self._first
        event_count = self.reader.last_id - first_id
        if event_count <= 0:
            return None
        ms_per_event = (now - first_at) / event_count
        events = self.exchange.prompt.tokens_out / self.service.event_tokens
        return int(now + max(0.0, events - self.reader.last_id) * ms_per_event)

    def may_resume(self) -> bool:
        """Return whether the route allows a run at one more upstream."""
        route = self.exchange.route
        return route.resumable and len(self.tried) < route.attempts

    def continue_from(self, sent: sender_.Sent) -> None:
        """Continue the stream from another attempt."""
        self.sent = sent
        self.is_answering = False
        self._gap_start = None
        self._is_gap_taken = False
        self.reader.restart()

    @property
    def is_migrating(self) -> bool:
        """Whether the run is being migrated."""
        return self._migration is not None and not self._migration.ready()

    def begin_migration(self) -> None:
        """Mark that the run is about to be stopped and migrated."""
        self._migration = green.Event()

    def end_migration(self, migrated: ty.Optional[MigratedRun]) -> None:
        """Store the result of the migration; None if it failed."""
        migration = self._migration
        if migration is None:
            # No task waits for the result any more: the stream was closed, or
            # the wait for the migration timed out.
            if migrated is not None:
                migrated.reservation.release()
            return
        if not migration.ready():
            migration.send(migrated)

    def wait_for_migration(self) -> ty.Optional[MigratedRun]:
        """Wait for the migration; return its result, None if there is none."""
        migration, migrated = self._migration, None
        if migration is None:
            return None
        with green.Timeout(_MIGRATION_WAIT_MS / 1000, False):
            migrated = migration.wait()
        self._migration = None
        return migrated

    def drop_migration(self) -> None:
        """Abandon a migration because the stream is closed."""
        migration, self._migration = self._migration, None
        if migration is not None and migration.ready():
            migrated = migration.wait()
            if migrated is not None:
                migrated.reservation.release()
