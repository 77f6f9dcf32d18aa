"""The way of a request: taken on, placed, sent, tried again, answered."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import invariants as invariants_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import demand as demand_
from peridotmast.serving import dialect as dialect_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import placement
from peridotmast.serving import reply as reply_
from peridotmast.serving import retry_budget
from peridotmast.serving import sender as sender_
from peridotmast.serving import stream_relay
from peridotmast.serving import usage as usage_
from peridotmast import tracing

_WHOLE_BYTES = 1 << 20
"""Answers up to this length are read to their end before they are passed
on, so that one that breaks off can be asked for again, or told as such."""

_RETRY_MS = 500
"""What a caller is told to wait where no upstream could take its request."""

_LAST_TRY_SHARE = 0.5
"""Part of the time left that an attempt may be silent where another one may
follow it."""

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses by which a caller is told that its request never runs. One that an
upstream gave without saying that it did not run the request is not passed
on."""

_FINAL_REASONS = frozenset(
    (
        'no_upstream',
        'upstream_limit',
        'deadline',
        crash_tracker_.BLOCK_REASON,
    )
)
"""Failure reasons after which a request is not retried."""

Verdict = dialect_.Verdict


class Dispatcher:
    """Takes requests on and sees to it that each gets one answer.

    A request that may run only once is sent again only where it is known
    not to have run: nothing was sent, or the upstream says so.

    Parameters
    ----------
    clock : clock.Clock
        Times everything.
    sender : sender.Sender
        Makes attempts.
    places : placement.Placement
        Chooses upstreams.
    relay : stream_relay.StreamRelay
        Passes streams on.
    budget : retry_budget.RetryBudget
        Bounds repeats.
    crashes : crash_tracker.CrashTracker
        Tracks requests that crash upstreams.
    usage : usage.Usage
        Counts what upstreams began.
    demand : demand.Demand
        Told how fast engines read.
    metrics : metrics.ServingMetrics
        Counts attempts.
    decisions : decisions.Decisions
        Notes what came of each.
    tracer : tracing.Tracing
        Opens a span for each attempt.
    checks : invariants.Invariants
        Promises that are checked on the way.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        sender: sender_.Sender,
        places: placement.Placement,
        relay: stream_relay.StreamRelay,
        budget: retry_budget.RetryBudget,
        crashes: crash_tracker_.CrashTracker,
        usage: usage_.Usage,
        demand: demand_.Demand,
        metrics: metrics_.ServingMetrics,
        decisions: decisions_.Decisions,
        tracer: tracing.Tracing,
        checks: invariants_.Invariants,
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._places = places
        self._relay = relay
        self._budget = budget
        self._crashes = crashes
        self._usage = usage
        self._demand = demand
        self._metrics = metrics
        self._decisions = decisions
        self._tracer = tracer
        self._checks = checks

    def answer(
        self, exchange: exchange_.Exchange, service: pb.Service
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        """Return the answer of an upstream of `service`, or why none is.

        Returns
        -------
        Reply or Failure
            A failure of kind NOT_RUN is a promise; any other promises
            nothing.
        """
        self._budget.count_request(service.name)
        work = _Work(exchange, service)
        while True:
            result = self._attempt(work)
            if isinstance(result, reply_.Reply):
                return result
            if not self._may_try_again(work, result):
                return work.fallback or self._closing(work, result)

    def _attempt(
        self, work: _Work
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        exchange = work.exchange
        retry_after_ms = self._crashes.retry_after_ms(exchange.fingerprint)
        if retry_after_ms:
            return failures.not_run(
                crash_tracker_.BLOCK_REASON, '', retry_after_ms
            )
        place = self._places.choose(exchange, work.service, work.tried)
        if place is None:
            return self._placement_failure(work)
        work.tried.add(place.view.name)
        self._check(work, place)
        span = self._tracer.start(
            'router.attempt',
            exchange.traceparent,
            upstream=place.view.name,
        )
        result: ty.Union[reply_.Reply, failures.Failure, None] = None
        try:
            result = self._send(work, place)
        finally:
            streaming = isinstance(result, reply_.Reply) and not isinstance(
                result.body, bytes
            )
            if not streaming:
                place.release()
            span.end()
            self._log_attempt(work, place, result)
        return result

    def _placement_failure(self, work: _Work) -> failures.Failure:
        """Return why no upstream was chosen, with a retry time."""
        wait_ms = self._places.wait_ms(work.service.name, work.tried)
        if wait_ms:
            return failures.not_run('upstream_limit', '', wait_ms)
        return failures.not_run('no_upstream', '', _RETRY_MS)

    def _check(self, work: _Work, place: placement.Reservation) -> None:
        """Check what must hold before anything is sent."""
        self._checks.check(
            invariants_.Invariant.NO_WORK_TO_LEAVING,
            place.view.is_available,
            place.view.name,
        )
        self._checks.check(
            invariants_.Invariant.ONE_RUN,
            work.exchange.may_repeat or not work.runs,
            work.exchange.id,
        )

    def _send(
        self, work: _Work, place: placement.Reservation
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        exchange = work.exchange
        silence = self._silence_ms(work)
        sent_at = self._clock.now()
        sent = self._sender.send(exchange, place, silence)
        if isinstance(sent, failures.Failure):
            if sent.kind is failures.FailureKind.OUTCOME_UNKNOWN:
                work.runs += 1
                self._count_lost(work, sent, sent_at)
            return sent
        if sent.verdict in (Verdict.NOT_RUN, Verdict.ELSEWHERE):
            return self._not_run(exchange, sent)
        work.runs += 1
        work.ran_at.add(place.view.name)
        streams = exchange.is_stream and sent.verdict is Verdict.ANSWER
        if not streams:
            self._count(work, sent.at)
        if sent.verdict is Verdict.GARBLED:
            sent.conn.close()
            place.view.health.record_failure()
            return failures.unknown('garbled', str(sent.head.status))
        if streams:
            return self._stream(work, sent, silence)
        return self._whole(work, sent)

    def _count(self, work: _Work, began_at: int) -> None:
        """Count a request that an upstream began, once in all."""
        if not work.counted:
            work.counted = True
            ago = self._clock.now() - began_at
            self._usage.count_started(work.exchange.team, ago)

    def _count_lost(
        self, work: _Work, failure: failures.Failure, sent_at: int
    ) -> None:
        """Count a request whose answer was lost, as begun when it was sent.

        One whose stream stayed silent may have waited at the engine all the
        while: it begins with its first token.
        """
        if not work.exchange.is_stream or failure.reason != 'silent':
            self._count(work, sent_at)

    def _not_run(
        self, exchange: exchange_.Exchange, sent: sender_.Sent
    ) -> failures.Failure:
        if sent.verdict is Verdict.ELSEWHERE:
            sent.place.view.health.record_failure()
            sent.conn.close()
            return failures.not_run('address_reused', '', _RETRY_MS)
        rest = sent.conn.read_all(exchange.deadline, _WHOLE_BYTES)
        if not isinstance(rest, failures.Failure):
            self._sender.finish(sent)
        sent.place.view.health.record_error()
        return failures.not_run('upstream_refused', '', _RETRY_MS)

    def _stream(
        self, work: _Work, sent: sender_.Sent, silence_ms: int
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        stream = self._relay.begin(
            work.exchange, work.service, sent, silence_ms
        )
        if isinstance(stream, failures.Failure):
            sent.conn.close()
            self._count_lost(work, stream, sent.at)
            return stream
        self._note_reading(work, sent)
        # An engine begins a request with its first token.
        self._count(work, self._clock.now())
        stream.tried |= work.ran_at
        return reply_.Reply(
            sent.head,
            self._relay.events(stream),
            sent.place.view.name,
            lambda: self._relay.close(stream),
        )

    def _note_reading(self, work: _Work, sent: sender_.Sent) -> None:
        """Note how long an engine took that had nothing else to read."""
        place, prompt = sent.place, work.exchange.prompt
        if place.selection.unread:
            return
        tokens = prompt.tokens_in
        if place.selection.is_home:
            tokens -= sum(part.tokens for part in prompt.shared)
        took = self._clock.now() - sent.at
        self._demand.note_prefill(work.service.name, tokens, took)

    def _whole(
        self, work: _Work, sent: sender_.Sent
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        view = sent.place.view
        deadline = work.exchange.deadline
        body = sent.conn.read_all(deadline, _WHOLE_BYTES)
        if isinstance(body, failures.Failure):
            sent.conn.close()
            self._sender.note_failure(work.exchange, view, body, sent.at)
            return body
        self._sender.finish(sent)
        reply = reply_.Reply(sent.head, body, view.name)
        if sent.verdict is Verdict.FAILED:
            view.health.record_error()
            if sent.head.status not in NOT_RUN_STATUSES:
                work.fallback = reply
            return failures.unknown('answered_badly', str(sent.head.status))
        view.health.record_success()
        self._crashes.note_success(work.exchange.fingerprint)
        return reply

    def _may_try_again(self, work: _Work, failure: failures.Failure) -> bool:
        exchange = work.exchange
        if self._clock.now() >= exchange.deadline:
            return False
        if failure.reason in _FINAL_REASONS:
            return False
        if failure.kind is failures.FailureKind.NOT_RUN:
            never_sent = failure.reason == 'no_connection'
            return never_sent or self._budget.take(work.service.name)
        if not exchange.may_repeat or work.runs >= exchange.route.attempts:
            return False
        return self._budget.take(work.service.name)

    def _silence_ms(self, work: _Work) -> int:
        """Return how long the next attempt may be silent, in ms."""
        exchange = work.exchange
        left = exchange.deadline - self._clock.now()
        if not exchange.may_repeat:
            return left
        if work.runs + 1 >= exchange.route.attempts:
            return left
        usual = 2 * exchange.route.target_ms
        return max(1, min(usual, int(left * _LAST_TRY_SHARE)))

    def _closing(
        self, work: _Work, failure: failures.Failure
    ) -> failures.Failure:
        """Return what the caller is told: a promise only where it holds.

        A request that may run again has still run; it is told when to come
        back all the same.
        """
        if work.runs and failure.kind is failures.FailureKind.NOT_RUN:
            return failures.unknown(
                failure.reason, failure.detail, failure.retry_after_ms
            )
        return failure

    def _log_attempt(
        self, work: _Work, place: placement.Reservation, result: ty.Any
    ) -> None:
        failed = isinstance(result, failures.Failure)
        outcome = 'caller_left'
        if result is not None:
            outcome = result.reason if failed else str(result.head.status)
        self._metrics.attempts.labels(work.service.name, outcome).inc()
        self._decisions.note(
            work.exchange.id,
            'attempt',
            route=work.exchange.route.name,
            fingerprint=work.exchange.fingerprint,
            upstream=place.view.name,
            born=place.view.born,
            number=len(work.tried),
            revision=place.view.record.revision,
            among=place.selection.compared,
            home=place.selection.is_home,
            tokens=work.exchange.prompt.tokens_in,
            shared=sum(p.tokens for p in work.exchange.prompt.shared),
            running=place.selection.running,
            unread=place.selection.unread,
            slots=place.view.slots,
            outcome=outcome,
            detail=result.detail if failed else '',
        )


class _Work:
    """What has been done for one request so far."""

    def __init__(
        self, exchange: exchange_.Exchange, service: pb.Service
    ) -> None:
        self.exchange = exchange
        self.service = service
        self.tried: set[str] = set()
        self.ran_at: set[str] = set()
        """Upstreams that took it."""
        self.runs = 0
        """Attempts that ran, or may have."""
        self.counted = False
        """Whether it is counted for usage."""
        self.fallback: ty.Optional[reply_.Reply] = None
        """A failure that an upstream answered with, if nothing better
        comes."""
