"""Attempts that are made beside one that is silent."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import continuation
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import dialect as dialect_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import peer_sender as peer_sender_
from peridotmast.serving import placement
from peridotmast.serving import retry_budget
from peridotmast.serving import sender as sender_
from peridotmast.wire import connection as connection_
from peridotmast.wire import event_reader
from peridotmast.wire import framing
from peridotmast.wire.overload import stream_hold

_PART_BYTES = 64
"""Memory of a part of a body beside its bytes, in bytes."""

_READY = 'ready'
"""Outcome of an attempt that can replace a silent one."""

_UNRUN_OUTCOMES = frozenset(
    (
        peer_sender_.NO_CONNECTION,
        'deadline',
        dialect_.Verdict.NOT_RUN.value,
        dialect_.Verdict.ELSEWHERE.value,
    )
)
"""Outcomes of an attempt that did not run."""


@dataclasses.dataclass(frozen=True)
class Silence:
    """A request whose current attempt is silent."""

    exchange: exchange_.Exchange
    service: pb.Service
    tried: ty.AbstractSet[str]
    """Names of the upstreams and peers that are not asked again."""
    heard_at: int
    """Time at which the current attempt was last heard from, in ms."""
    patience_ms: int
    """Time after which an attempt counts as silent, in ms."""
    resume_point: ty.Optional[dialect_.ResumePoint]
    """Where the stream goes on; None from its beginning."""
    reader: event_reader.EventReader
    """Reads the events of the attempt, from the last one on that the caller
    has."""
    begun: ty.Optional[connection_.ResponseHead] = None
    """Head of the stream that its caller receives; None before it."""
    needs_event: bool = False
    """Whether an attempt that ends in order without an event is no use."""


@dataclasses.dataclass(frozen=True)
class Result:
    """What came of a second attempt."""

    outcome: str
    sent: ty.Optional[sender_.Sent]
    """The attempt, if it can replace the silent one."""

    @property
    def has_run(self) -> bool:
        """Whether the attempt ran or may have run."""
        return self.outcome not in _UNRUN_OUTCOMES

    @property
    def was_sent(self) -> bool:
        """Whether the request was sent."""
        return self.outcome != peer_sender_.NO_CONNECTION


class SecondAttempts:
    """Makes attempts that may replace silent ones.

    Parameters
    ----------
    clock : clock.Clock
        Clock for time limits.
    sender : sender.Sender
        Sends the attempts.
    places : placement.Placement
        Selects upstreams.
    peers : peer_sender.PeerSender
        Selects peers.
    budget : retry_budget.RetryBudget
        Limits retries.
    crashes : crash_tracker.CrashTracker
        Tracks requests that crash upstreams.
    decisions : decisions.Decisions
        Records the outcome of each attempt.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        sender: sender_.Sender,
        places: placement.Placement,
        peers: peer_sender_.PeerSender,
        budget: retry_budget.RetryBudget,
        crashes: crash_tracker_.CrashTracker,
        decisions: decisions_.Decisions,
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._placement = places
        self._peers = peers
        self._budget = budget
        self._crashes = crashes
        self._decisions = decisions

    def reserve(
        self, silence: Silence, may_ask_peer: bool
    ) -> ty.Optional[placement.Reservation]:
        """Reserve an upstream that is not silent, and take a retry.

        Parameters
        ----------
        may_ask_peer : bool
            Whether a peer is asked if this router has no upstream left.

        Returns
        -------
        Reservation or None
            None if the request can be sent nowhere else now.
        """
        exchange, service = silence.exchange, silence.service
        if self._crashes.retry_after_ms(exchange.crash_keys):
            return None
        if not self._budget.has_left(service.name):
            return None
        silent = self._placement.silent_names(
            service.name, silence.patience_ms // 2
        )
        reservation = self._placement.choose(
            exchange, service, silence.tried | silent
        )
        if reservation is None and may_ask_peer and silent <= silence.tried:
            runs = exchange.route.attempts - 1
            reservation = self._peers.choose(
                exchange, service, silence.tried, runs
            )
        if reservation is not None:
            self._budget.take(service.name, exchange.id)
        return reservation

    def send(
        self, silence: Silence, reservation: placement.Reservation
    ) -> Result:
        """Send the request, and wait for what its caller waits for."""
        exchange = silence.exchange
        sent: ty.Union[sender_.Sent, failures.Failure, None] = None
        outcome = 'cut_off'
        try:
            sent = self._sender.send(
                exchange,
                reservation,
                silence.patience_ms,
                silence.resume_point,
            )
            outcome = self._await_answer(silence, sent)
        finally:
            if not isinstance(sent, sender_.Sent):
                reservation.release()
            elif outcome != _READY:
                self._sender.discard(exchange, sent)
        self._decisions.note(
            exchange.id,
            'standby',
            upstream=reservation.view.name,
            service=silence.service.name,
            outcome=outcome,
            status=sent.head.status if isinstance(sent, sender_.Sent) else 0,
            silent_ms=self._clock.now() - silence.heard_at,
        )
        is_ready = outcome == _READY and isinstance(sent, sender_.Sent)
        return Result(
            outcome, ty.cast(sender_.Sent, sent) if is_ready else None
        )

    def _await_answer(
        self,
        silence: Silence,
        sent: ty.Union[sender_.Sent, failures.Failure],
    ) -> str:
        """Return whether an attempt can replace a silent one, or why not."""
        if isinstance(sent, failures.Failure):
            return sent.reason
        if silence.begun is not None:
            mismatch = continuation.find_mismatch(silence.begun, sent)
            if mismatch is not None:
                return mismatch.reason
        if sent.verdict is not dialect_.Verdict.ANSWER:
            return sent.verdict.value
        if not (silence.exchange.is_stream and sent.head.is_success):
            return _READY
        failure = self._await_event(silence, sent)
        return _READY if failure is None else failure.reason

    def _await_event(
        self, silence: Silence, sent: sender_.Sent
    ) -> ty.Optional[failures.Failure]:
        """Read an attempt up to its first event, or to its stated end.

        What is read is kept in the attempt.
        """
        hold = silence.exchange.caller.begin_hold()
        try:
            return self._read_event(silence, sent, hold)
        finally:
            hold.release()

    def _read_event(
        self,
        silence: Silence,
        sent: sender_.Sent,
        hold: stream_hold.StreamHold,
    ) -> ty.Optional[failures.Failure]:
        reader = silence.reader
        held_bytes = 0
        deadline = min(
            silence.exchange.deadline,
            self._clock.now() + silence.patience_ms,
        )
        position = reader.last_id
        # Where ids are known, an event without one brings the stream no
        # further.
        while reader.last_id == position and not (
            reader.has_event and position < 0
        ):
            data = sent.conn.read_some(deadline)
            if isinstance(data, failures.Failure):
                return data
            sent.reservation.view.note_activity()
            sent.early.append(data)
            if not data:
                is_stated = (
                    sent.head.framing is not framing.Framing.CONNECTION
                    and not reader.is_inside_event
                )
                if is_stated and not silence.needs_event:
                    return None
                return failures.unknown('cut_short')
            reader.feed(data)
            if reader.fault is not None and reader.last_id == position:
                return failures.unknown(reader.fault.value)
            if reader.is_endless:
                return failures.unknown('too_long', 'bytes without an event')
            held_bytes += len(data) + _PART_BYTES
            if not hold.resize(held_bytes):
                return failures.unknown(connection_.NO_MEMORY, 'events')
        return None
