"""The events of a stream, from upstream to caller, over broken upstreams."""

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
from peridotmast.wire import event_reader

_MOVE_MS = 1500
"""Longest wait for the end of a move whose stream has already stopped."""

_SILENCE_GAPS = 4
"""Pauses within the target after which a stream counts as silent: an engine
that reads a long prompt between two tokens may take more than one."""


class StreamRelay:
    """Passes events on and, where a stream may be resumed, goes on with it.

    Parameters
    ----------
    clock : clock.Clock
        Times the silences.
    sender : sender.Sender
        Sends a stream on to another upstream.
    places : placement.Placement
        Chooses that upstream.
    budget : retry_budget.RetryBudget
        Bounds how often that is done.
    crashes : crash_tracker.CrashTracker
        Tracks requests that crash upstreams.
    metrics : metrics.ServingMetrics
        Counts what breaks and what goes on.
    decisions : decisions.Decisions
        Notes it for each request.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        sender: sender_.Sender,
        places: placement.Placement,
        budget: retry_budget.RetryBudget,
        crashes: crash_tracker_.CrashTracker,
        metrics: metrics_.ServingMetrics,
        decisions: decisions_.Decisions,
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._places = places
        self._budget = budget
        self._crashes = crashes
        self._metrics = metrics
        self._decisions = decisions
        self._open: list[Stream] = []

    def streams_at(self, view: upstream_view.UpstreamView) -> list[Stream]:
        """Return the streams that come from a run of an upstream now."""
        return [s for s in self._open if s.sent.place.view is view]

    def begin(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        sent: sender_.Sent,
        silence_ms: int,
    ) -> ty.Union[Stream, failures.Failure]:
        """Wait for the first event of an answer whose head has come.

        Where it is a `Stream`, `close` must be called.
        """
        stream = Stream(exchange, service, sent, self._clock)
        self._open.append(stream)
        failure: ty.Optional[failures.Failure] = failures.unknown('cut_off')
        try:
            failure = self._first_event(stream, silence_ms)
        finally:
            if failure is not None:
                self._open.remove(stream)
        return stream if failure is None else failure

    def events(self, stream: Stream) -> ty.Iterator[bytes]:
        """Yield the answer's bytes, whole events at a time.

        Raises
        ------
        BrokenAnswer
            If the rest does not come.
        """
        while True:
            if stream.held:
                yield stream.release_held()
            if stream.ended:
                return
            self._read_more(stream)

    def close(self, stream: Stream) -> None:
        """Give back what the stream holds, whether it has ended or not."""
        if stream in self._open:
            self._open.remove(stream)
        stream.give_up_move()
        stream.sent.place.release()
        if stream.ended:
            self._crashes.note_success(stream.exchange.fingerprint)
            self._sender.finish(stream.sent)
        else:
            stream.sent.conn.close()

    def _first_event(
        self, stream: Stream, silence_ms: int
    ) -> ty.Optional[failures.Failure]:
        deadline = self._clock.now() + silence_ms
        while not stream.held and not stream.ended:
            bound = min(stream.exchange.deadline, deadline)
            data = stream.sent.conn.read_some(bound)
            if isinstance(data, failures.Failure):
                moved = self._go_where_moved(stream)
                if moved is None:
                    self._note_failure(stream, data)
                    return data
                if isinstance(moved, failures.Failure):
                    return moved
                continue
            stream.sent.place.view.note_activity()
            stream.take(data)
        stream.sent.place.mark_prompt_read()
        stream.sent.place.view.health.record_success()
        return None

    def _read_more(self, stream: Stream) -> None:
        exchange = stream.exchange
        data = stream.sent.conn.read_some(self._patient_until(stream))
        if not isinstance(data, failures.Failure):
            stream.sent.place.view.note_activity()
            stream.take(data)
            return
        failure: ty.Optional[failures.Failure] = data
        while failure is not None:
            self._decisions.note(
                exchange.id,
                'stream_broke',
                upstream=stream.sent.place.view.name,
                last_event=stream.reader.last_id,
                reason=failure.reason,
                detail=failure.detail,
            )
            moved = self._go_where_moved(stream)
            if moved is None:
                if failure is data:
                    # Later failures are of attempts to resume elsewhere, and
                    # must not be recorded for the previous upstream.
                    self._note_failure(stream, failure)
                moved = self._resume(stream, failure)
            failure = moved if isinstance(moved, failures.Failure) else None

    def _note_failure(self, stream: Stream, failure: failures.Failure) -> None:
        sent = stream.sent
        view = sent.place.view
        self._sender.note_failure(
            stream.exchange, view, failure, sent.at, stream.is_answering
        )

    def _patient_until(self, stream: Stream) -> int:
        """Return until when its upstream may say nothing, in ms.

        Silence is a reason to go on elsewhere, and none to end an answer:
        its upstream may be reading a prompt again.
        """
        exchange = stream.exchange
        if not stream.may_go_on():
            return exchange.deadline
        silence = _SILENCE_GAPS * exchange.route.target_gap_ms
        return min(exchange.deadline, self._clock.now() + silence)

    def _go_where_moved(
        self, stream: Stream
    ) -> ty.Union[sender_.Sent, failures.Failure, None]:
        """Go on with a run that was moved; None where none was."""
        moved = stream.wait_for_move()
        if moved is None:
            return None
        stream.sent.place.release()
        point = dialect_.ResumePoint(max(0, stream.reader.last_id), moved.copy)
        return self._send_on(stream, moved.place, point)

    def _resume(
        self, stream: Stream, failure: failures.Failure
    ) -> ty.Union[sender_.Sent, failures.Failure]:
        """Go on at another upstream, which reads the prompt again.

        Raises
        ------
        BrokenAnswer
            If it may not go on anywhere.
        """
        exchange = stream.exchange
        over = self._clock.now() >= exchange.deadline
        if over or not stream.may_go_on():
            raise reply_.BrokenAnswer(failure.reason)
        if self._crashes.retry_after_ms(exchange.fingerprint):
            raise reply_.BrokenAnswer(crash_tracker_.BLOCK_REASON)
        if not self._budget.take(stream.service.name):
            raise reply_.BrokenAnswer('no_budget')
        stream.sent.place.release()
        place = self._places.choose(exchange, stream.service, stream.tried)
        if place is None:
            raise reply_.BrokenAnswer('no_upstream')
        stream.tried.add(place.view.name)
        point = dialect_.ResumePoint(max(0, stream.reader.last_id))
        return self._send_on(stream, place, point)

    def _send_on(
        self,
        stream: Stream,
        place: placement.Reservation,
        point: dialect_.ResumePoint,
    ) -> ty.Union[sender_.Sent, failures.Failure]:
        exchange = stream.exchange
        silence = 2 * _SILENCE_GAPS * exchange.route.target_gap_ms
        result: ty.Union[sender_.Sent, failures.Failure, None] = None
        try:
            result = self._sender.send(exchange, place, silence, point)
        finally:
            if not isinstance(result, sender_.Sent):
                place.release()
        if isinstance(result, failures.Failure):
            return result
        if result.verdict is not dialect_.Verdict.ANSWER:
            place.release()
            result.conn.close()
            return failures.not_run(result.verdict.value)
        stream.go_on(result)
        self._metrics.resumed_streams.labels(stream.service.name).inc()
        self._decisions.note(
            exchange.id,
            'stream_goes_on',
            upstream=place.view.name,
            last_event=stream.reader.last_id,
            copy=point.copy,
        )
        return result


@dataclasses.dataclass(frozen=True)
class Moved:
    """Where a run that was moved goes on."""

    place: placement.Reservation
    copy: str
    """Where its memory lies."""


class Stream:
    """One stream and how far it has come."""

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
        """The attempt that it comes from now."""
        self.reader = event_reader.EventReader()
        self.tried: set[str] = {sent.place.view.name}
        """Upstreams that it was run at anew."""
        self.held = b''
        """Events that were not passed on yet."""
        self.ended = False
        """Whether the upstream ended it as complete."""
        self.is_answering = False
        """Whether the current attempt has sent a new event."""
        self._clock = clock
        self._first: ty.Optional[tuple[int, int]] = None
        self._move: ty.Optional[ty.Any] = None

    def take(self, data: bytes) -> None:
        """Take in the next bytes; none mean the end."""
        if data:
            last_id = self.reader.last_id
            self.held += self.reader.feed(data)
            self.is_answering |= self.reader.last_id > last_id
            if self._first is None and self.reader.last_id >= 0:
                self._first = self._clock.now(), self.reader.last_id
            return
        self.ended = True
        self.held += self.reader.buffered

    def release_held(self) -> bytes:
        """Return what was held, to be passed on."""
        held, self.held = self.held, b''
        return held

    def expected_end(self, now: int) -> ty.Optional[int]:
        """Return when it ends at the pace so far; None if that is unknown."""
        if self._first is None:
            return None
        at, number = self._first
        passed = self.reader.last_id - number
        if passed <= 0:
            return None
        pace = (now - at) / passed
        events = self.exchange.prompt.tokens_out / self.service.event_tokens
        return int(now + max(0.0, events - self.reader.last_id) * pace)

    def may_go_on(self) -> bool:
        """Return whether its route lets it run at one more upstream."""
        route = self.exchange.route
        return route.resumable and len(self.tried) < route.attempts

    def go_on(self, sent: sender_.Sent) -> None:
        """Take the rest from another attempt."""
        self.sent = sent
        self.is_answering = False
        self.reader.restart()

    def move_begins(self) -> None:
        """Note that its run is about to be stopped and moved."""
        self._move = green.Event()

    def move_ends(self, moved: ty.Optional[Moved]) -> None:
        """Note what came of the move; None where it was not moved."""
        move = self._move
        if move is None:
            # The caller left meanwhile; nobody goes on with it.
            if moved is not None:
                moved.place.release()
            return
        if not move.ready():
            move.send(moved)

    def wait_for_move(self) -> ty.Optional[Moved]:
        """Return where it goes on, once that is known; None if nowhere."""
        move, moved = self._move, None
        if move is None:
            return None
        with green.Timeout(_MOVE_MS / 1000, False):
            moved = move.wait()
        self._move = None
        return moved

    def give_up_move(self) -> None:
        """Go on nowhere: the stream is over."""
        move, self._move = self._move, None
        if move is not None and move.ready():
            moved = move.wait()
            if moved is not None:
                moved.place.release()
