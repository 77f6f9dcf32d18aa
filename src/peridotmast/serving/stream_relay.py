"""Forwards streams to callers and resumes them when an upstream fails."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import dialect as dialect_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import placement
from peridotmast.serving import reply as reply_
from peridotmast.serving import second_attempts
from peridotmast.serving import sender as sender_
from peridotmast.serving import standby as standby_
from peridotmast.serving import stream as stream_
from peridotmast.serving import stream_resumer
from peridotmast.serving import upstream_view
from peridotmast.serving import version_gate

_PEER_STALL_FACTOR = 3
"""Factor by which a stream through a peer may stall longer: the peer resumes
it first, at another upstream."""

_HEARD_AFTER_MS = 200
"""Upstreams that all fall silent at once have sent their last data within
this time, in ms."""

_GAP_EVENTS = 6
"""Number of events after the first one from which the time between events is
taken: a slow version is noticed long before its streams end."""


class StreamRelay:
    """Forwards the events of streams and resumes interrupted streams.

    Parameters
    ----------
    clock : clock.Clock
        Clock for stall time-outs and deadlines.
    sender : sender.Sender
        Receives the outcomes of attempts.
    places : placement.Placement
        Knows which upstreams have sent data.
    crashes : crash_tracker.CrashTracker
        Tracks requests that crash upstreams.
    versions : version_gate.VersionGate
        Receives the outcomes of streams.
    metrics : metrics.ServingMetrics
        Counts resumed streams.
    decisions : decisions.Decisions
        Records interruptions and resumes of each request.
    resumer : stream_resumer.StreamResumer
        Makes attempts after interrupted ones.
    attempts : second_attempts.SecondAttempts
        Makes attempts beside silent ones.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        sender: sender_.Sender,
        places: placement.Placement,
        crashes: crash_tracker_.CrashTracker,
        versions: version_gate.VersionGate,
        metrics: metrics_.ServingMetrics,
        decisions: decisions_.Decisions,
        resumer: stream_resumer.StreamResumer,
        attempts: second_attempts.SecondAttempts,
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._placement = places
        self._crashes = crashes
        self._versions = versions
        self._metrics = metrics
        self._decisions = decisions
        self._resumer = resumer
        self._second_attempts = attempts
        self._open: list[stream_.Stream] = []

    def streams_at(
        self, view: upstream_view.UpstreamView
    ) -> list[stream_.Stream]:
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
    ) -> ty.Union[stream_.Stream, failures.Failure]:
        """Wait for the first event of a response whose head was read.

        The caller must pass a returned `Stream` to `close`.
        """
        stream = stream_.Stream(exchange, service, sent, self._clock)
        self._open.append(stream)
        failure: ty.Optional[failures.Failure] = failures.unknown('cut_off')
        try:
            failure = self._first_event(stream)
        finally:
            if failure is not None:
                stream.drop_events()
                self._open.remove(stream)
        if failure is not None:
            return failure
        self._start_standby(stream)
        return stream

    def events(self, stream: stream_.Stream) -> ty.Iterator[bytes]:
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

    def close(self, stream: stream_.Stream) -> None:
        """Release the resources of a stream, complete or not."""
        if stream in self._open:
            self._open.remove(stream)
        if stream.standby is not None:
            stream.standby.stop()
        stream.drop_migration()
        stream.drop_events()
        stream.sent.reservation.release()
        if stream.ended:
            self._note_resumed_end(stream)
            self._crashes.note_success(stream.exchange.crash_keys)
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
        self, stream: stream_.Stream
    ) -> ty.Optional[failures.Failure]:
        # Comments begin no response: the upstream may send nothing else.
        while not stream.reader.has_event and not stream.ended:
            failure = self._read(stream)
            if failure is None:
                continue
            migrated = self._resume_at_target(stream)
            if migrated is None:
                self._note_failure(stream, failure)
                return failure
            if isinstance(migrated, failures.Failure):
                # The request ran where it was moved from, whatever the target
                # states about the attempt to resume.
                return failures.unknown(
                    migrated.reason, migrated.detail, migrated.retry_after_ms
                )
        self._sender.note_answering(stream.sent)
        stream.sent.reservation.mark_prefill_ended()
        stream.sent.reservation.view.health.record_success()
        return None

    def _read(self, stream: stream_.Stream) -> ty.Optional[failures.Failure]:
        """Read the next bytes; return why the stream is interrupted."""
        conn, early = stream.sent.conn, stream.sent.early
        fault = stream.find_fault()
        if fault is not None:
            conn.close()
            return fault
        data = (
            early.popleft()
            if early
            else conn.read_some(stream.exchange.deadline)
        )
        if isinstance(data, failures.Failure):
            return data
        if stream.standby is not None:
            stream.standby.note_data()
        stream.sent.reservation.view.note_activity()
        failure = stream.feed(data)
        if failure is not None:
            conn.close()
        return failure

    def _read_more(self, stream: stream_.Stream) -> None:
        failure = first_failure = self._read(stream)
        if failure is None:
            self._note_gap(stream, _GAP_EVENTS)
        while failure is not None:
            self._note_interruption(stream, failure)
            migrated = self._resume_at_target(stream)
            if migrated is None:
                if failure is first_failure:
                    # Later failures belong to attempts to resume at other
                    # upstreams, not to the previous one.
                    self._note_failure(stream, failure)
                migrated = self._take_standby(stream) or self._resume(
                    stream, failure
                )
            failure = (
                migrated if isinstance(migrated, failures.Failure) else None
            )

    def _note_interruption(
        self, stream: stream_.Stream, failure: failures.Failure
    ) -> None:
        """Log an interruption, and whether other upstreams were silent too."""
        name = stream.sent.reservation.view.name
        heard_at = stream.heard_at
        self._decisions.note(
            stream.exchange.id,
            'stream_broke',
            upstream=name,
            last_event=stream.reader.last_id,
            reason=failure.reason,
            detail=failure.detail,
            silent_ms=self._clock.now() - heard_at,
            heard_others=self._placement.count_heard(
                stream.service.name, heard_at + _HEARD_AFTER_MS, name
            ),
        )

    def _note_resumed_end(self, stream: stream_.Stream) -> None:
        """Log which attempt has ended a stream that was interrupted."""
        if not stream.was_resumed:
            return
        self._decisions.note(
            stream.exchange.id,
            'resumed_stream_ended',
            upstream=stream.sent.reservation.view.name,
            status=stream.sent.head.status,
            last_event=stream.reader.last_id,
            new_events=stream.is_answering,
        )

    def _note_failure(
        self, stream: stream_.Stream, failure: failures.Failure
    ) -> None:
        if failure.reason == stream_.END_UNKNOWN:
            # The upstream may have sent all.
            return
        sent = stream.sent
        view = sent.reservation.view
        self._sender.note_failure(
            stream.exchange, view, failure, sent.sent_at, stream.is_answering
        )
        if stream.is_answering:
            route = stream.exchange.route.name
            self._versions.note_end(route, view, sent.sent_at, failed=True)

    def _note_gap(self, stream: stream_.Stream, min_events: int = 1) -> None:
        """Record the mean time between events, once for each attempt."""
        gap_ms = stream.take_gap_ms(min_events)
        if gap_ms is not None:
            sent = stream.sent
            route = stream.exchange.route.name
            self._versions.note_gap(
                route, sent.reservation.view, sent.sent_at, gap_ms
            )

    def _start_standby(self, stream: stream_.Stream) -> None:
        """Search for another attempt whenever the current one is silent."""
        if stream.standby is not None:
            stream.standby.stop()
        stream.standby = None
        if not stream.may_resume():
            return
        stall_ms = (
            stream_resumer.STALL_GAPS * stream.exchange.route.target_gap_ms
        )
        if stream.sent.reservation.view.is_peer:
            stall_ms *= _PEER_STALL_FACTOR
        stream.standby = standby_.Standby(
            lambda: stream.heard_at + stall_ms - self._clock.now(),
            lambda: self._search(stream, stall_ms),
            lambda: stream.sent.conn.cancel(standby_.SILENT),
            lambda sent: self._sender.discard(stream.exchange, sent),
        )

    def _search(
        self, stream: stream_.Stream, stall_ms: int
    ) -> ty.Optional[sender_.Sent]:
        """Resume a silent stream elsewhere, up to its next event."""
        can_resume = stream.may_resume() and stream.has_position
        if not can_resume or stream.is_migrating:
            return None
        silence = second_attempts.Silence(
            stream.exchange,
            stream.service,
            stream.tried | stream.unreached,
            stream.heard_at,
            stall_ms,
            dialect_.ResumePoint(stream.last_event),
            stream.reader.at_last_event(),
            stream.begun,
            not stream.has_all_tokens,
        )
        reservation = self._second_attempts.reserve(silence, may_ask_peer=True)
        if reservation is None:
            return None
        name = reservation.view.name
        stream.tried.add(name)
        stream.runs += 1
        result = self._second_attempts.send(silence, reservation)
        if not result.was_sent:
            stream.runs -= 1
            stream.tried.remove(name)
            stream.unreached.add(name)
        return result.sent

    def _take_standby(
        self, stream: stream_.Stream
    ) -> ty.Optional[sender_.Sent]:
        """Go on with the attempt that was found during a silence, if any."""
        sent = stream.standby.take() if stream.standby is not None else None
        if sent is not None:
            stream.sent.reservation.release()
            self._go_on(stream, sent, dialect_.ResumePoint(stream.last_event))
        return sent

    def _resume_at_target(
        self, stream: stream_.Stream
    ) -> ty.Union[sender_.Sent, failures.Failure, None]:
        """Resume where the run was migrated to; None if it was not."""
        migrated = stream.wait_for_migration()
        if migrated is None:
            return None
        if not stream.has_position:
            # The first event has arrived while the run was migrated.
            migrated.reservation.release()
            return failures.unknown(stream_.NO_POSITION)
        stream.sent.reservation.release()
        resume_point = dialect_.ResumePoint(
            stream.last_event, migrated.kv_location
        )
        result = self._resumer.send(stream, migrated.reservation, resume_point)
        if isinstance(result, sender_.Sent):
            self._go_on(stream, result, resume_point)
        return result

    def _resume(
        self, stream: stream_.Stream, failure: failures.Failure
    ) -> ty.Union[sender_.Sent, failures.Failure]:
        """Resume at another upstream, which recomputes the prefill."""
        result = self._resumer.resume(stream, failure)
        if isinstance(result, sender_.Sent):
            self._go_on(
                stream, result, dialect_.ResumePoint(stream.last_event)
            )
        return result

    def _go_on(
        self,
        stream: stream_.Stream,
        sent: sender_.Sent,
        resume_point: dialect_.ResumePoint,
    ) -> None:
        """Continue a stream from another attempt."""
        stream.continue_from(sent)
        self._start_standby(stream)
        view = sent.reservation.view
        self._metrics.resumed_streams.labels(stream.service.name).inc()
        self._decisions.note(
            stream.exchange.id,
            'stream_goes_on',
            upstream=view.name,
            version=view.version,
            last_event=stream.reader.last_id,
            copy=resume_point.kv_location,
            status=sent.head.status,
            type=sent.head.get('Content-Type')[
                : stream_resumer.MAX_TYPE_CHARS
            ],
        )
