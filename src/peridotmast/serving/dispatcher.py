"""Places a request, sends it, retries it and returns its response."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import ids
from peridotmast import invariants as invariants_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving.attempts import attempt_log
from peridotmast.serving.attempts import request_state
from peridotmast.serving.attempts import standby_search
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import demand as demand_
from peridotmast.serving import dialect as dialect_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import peer_sender as peer_sender_
from peridotmast.serving import placement
from peridotmast.serving import reachability
from peridotmast.serving import reply as reply_
from peridotmast.serving import retry_budget
from peridotmast.serving import second_attempts
from peridotmast.serving import sender as sender_
from peridotmast.serving.speeds import speeds as speeds_
from peridotmast.serving import stream_relay
from peridotmast.serving import stream_versions as stream_versions_
from peridotmast.serving import usage as usage_
from peridotmast.serving import version_gate
from peridotmast import tracing

_MAX_BODY_BYTES = 1 << 20
"""Largest response body that is buffered, in bytes. A response that is not a
stream is read completely before it is forwarded, so that a request with a
truncated response can be retried or reported as failed."""

_REFUSAL_BODY_MS = 200
"""Time limit for the rest of a refusal, in ms. Its body is not used: it is
read to reuse the connection, and the request does not wait for more of it."""

_RETRY_MS = 500
"""Retry time sent to the caller if no upstream accepted the request, in ms."""

_MAX_CONNECT_FAILURES = 2
"""Number of upstreams that a request fails to connect to before it is offered
to a peer: a connection that hangs takes a large part of a short time limit."""

_FINAL_REASONS = frozenset(
    (
        peer_sender_.NO_ROOM,
        peer_sender_.NO_UPSTREAM,
        peer_sender_.NO_VERSION,
        'upstream_limit',
        'deadline',
        crash_tracker_.BLOCK_REASON,
    )
)
"""Failure reasons after which a request is not retried."""

Verdict = dialect_.Verdict


class Dispatcher:
    """Sends each request to upstreams until it has one final result.

    A non-idempotent request is retried only if it is known not to have run:
    nothing was sent, or the upstream stated that it did not run the request.

    Parameters
    ----------
    clock : clock.Clock
        Clock for deadlines and time-outs.
    sender : sender.Sender
        Sends single attempts.
    places : placement.Placement
        Selects upstreams.
    reach : reachability.Reachability
        Knows which upstreams can't be connected to.
    peers : peer_sender.PeerSender
        Selects the peer of a request whose upstreams can't be reached.
    relay : stream_relay.StreamRelay
        Forwards streams.
    budget : retry_budget.RetryBudget
        Limits retries.
    crashes : crash_tracker.CrashTracker
        Tracks requests that crash upstreams.
    usage : usage.Usage
        Counts the requests that upstreams started, by team.
    demand : demand.Demand
        Receives measured prefill times.
    versions : version_gate.VersionGate
        Receives the outcomes of attempts.
    stream_versions : stream_versions.StreamVersions
        Knows at which versions streams began.
    metrics : metrics.ServingMetrics
        Counts attempts.
    decisions : decisions.Decisions
        Records the outcome of each attempt.
    tracer : tracing.Tracing
        Opens a span for each attempt.
    checks : invariants.Invariants
        Checks invariants at run time.
    attempts : second_attempts.SecondAttempts
        Makes attempts beside silent ones.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        sender: sender_.Sender,
        places: placement.Placement,
        reach: reachability.Reachability,
        peers: peer_sender_.PeerSender,
        relay: stream_relay.StreamRelay,
        budget: retry_budget.RetryBudget,
        crashes: crash_tracker_.CrashTracker,
        usage: usage_.Usage,
        demand: demand_.Demand,
        speeds: speeds_.Speeds,
        versions: version_gate.VersionGate,
        stream_versions: stream_versions_.StreamVersions,
        metrics: metrics_.ServingMetrics,
        decisions: decisions_.Decisions,
        tracer: tracing.Tracing,
        checks: invariants_.Invariants,
        attempts: second_attempts.SecondAttempts,
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._placement = places
        self._reach = reach
        self._peers = peers
        self._relay = relay
        self._budget = budget
        self._crashes = crashes
        self._usage = usage
        self._demand = demand
        self._speeds = speeds
        self._versions = versions
        self._stream_versions = stream_versions
        self._metrics = metrics
        self._log = attempt_log.AttemptLog(clock, metrics, decisions)
        self._tracer = tracer
        self._invariants = checks
        self._standbys = standby_search.StandbySearch(
            clock, sender, attempts, self._check_invariants
        )

    def answer(
        self, exchange: exchange_.Exchange, service: pb.Service
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        """Return the response of an upstream of `service`, or a failure.

        Returns
        -------
        Reply or Failure
            A failure of kind NOT_RUN guarantees that no upstream ran the
            request or will run it; any other kind guarantees nothing.
        """
        if not exchange.forwarded_by:
            self._budget.count_request(service.name)
        if exchange.is_stream and exchange.resumes is not None:
            version = self._stream_versions.find(exchange, service.name)
            if isinstance(version, failures.Failure):
                return version
            exchange.version = version
        state = request_state.RequestState(exchange, service)
        while True:
            result = self._attempt(state)
            if isinstance(result, reply_.Reply):
                return result
            if state.replacement is not None:
                continue
            if not self._may_retry(state, result):
                return state.fallback or self._final_failure(state, result)

    def _attempt(
        self, state: request_state.RequestState
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        exchange = state.exchange
        replacement, state.replacement = state.replacement, None
        reservation = (
            self._begin_attempt(state)
            if replacement is None
            else replacement.reservation
        )
        if isinstance(reservation, failures.Failure):
            return reservation
        span = self._tracer.start(
            'router.attempt',
            exchange.traceparent,
            upstream=reservation.view.name,
        )
        began_at = self._clock.now()
        result: ty.Union[reply_.Reply, failures.Failure, None] = None
        try:
            result = self._send(state, reservation, replacement)
        finally:
            self._standbys.end(state, result)
            is_streaming = isinstance(result, reply_.Reply) and not isinstance(
                result.body, bytes
            )
            if not is_streaming:
                reservation.release()
            span.end()
            self._log.note(state, reservation, result, began_at)
        return result

    def _begin_attempt(
        self, state: request_state.RequestState
    ) -> ty.Union[placement.Reservation, failures.Failure]:
        """Reserve where the request is sent next."""
        exchange = state.exchange
        retry_after_ms = self._crashes.retry_after_ms(exchange.crash_keys)
        if retry_after_ms:
            return failures.not_run(
                crash_tracker_.BLOCK_REASON,
                self._crashes.blocked_key(exchange.crash_keys),
                retry_after_ms,
            )
        reservation = self._reserve(state)
        if reservation is None:
            return self._placement_failure(state)
        state.tried.add(reservation.view.name)
        self._check_invariants(state, reservation)
        return reservation

    def _reserve(
        self, state: request_state.RequestState
    ) -> ty.Optional[placement.Reservation]:
        """Reserve an upstream, or a peer if this router can't reach one."""
        exchange, service = state.exchange, state.service
        if self._must_ask_peer(state):
            peer = self._choose_peer(state)
            if peer is not None:
                return peer
        reservation = self._placement.choose(exchange, service, state.tried)
        if reservation is not None:
            return reservation
        if self._reach.has_unreachable(service.name):
            return self._choose_peer(state)
        peers = self._placement.peers_with_room(service.name, exchange.version)
        return self._choose_peer(state, peers) if peers else None

    def _choose_peer(
        self,
        state: request_state.RequestState,
        among: ty.Optional[ty.Collection[str]] = None,
    ) -> ty.Optional[placement.Reservation]:
        # One attempt remains for this router, in case the peer is lost.
        is_last = state.runs + 1 >= state.exchange.route.attempts
        runs = state.runs if is_last else state.runs + 1
        return self._peers.choose(
            state.exchange, state.service, state.tried, runs, among
        )

    def _must_ask_peer(self, state: request_state.RequestState) -> bool:
        """Return whether a request has waited enough for connections."""
        if not state.connect_failures:
            return False
        return (
            state.connect_failures >= _MAX_CONNECT_FAILURES
            or self._reach.is_mostly_unreachable(state.service.name)
        )

    def _placement_failure(
        self, state: request_state.RequestState
    ) -> failures.Failure:
        """Return why no upstream was selected, with a retry time."""
        exchange, name = state.exchange, state.service.name
        wait_ms = self._placement.wait_ms(name, state.tried, exchange.version)
        if wait_ms:
            return failures.not_run(
                peer_sender_.NO_ROOM
                if self._may_have_room_elsewhere(state)
                else 'upstream_limit',
                '',
                wait_ms,
            )
        reason = peer_sender_.NO_UPSTREAM
        if self._placement.lacks_version(exchange, name):
            reason = peer_sender_.NO_VERSION
        if exchange.forwarded_by and state.was_sent:
            # The peer must not offer the request to another router.
            reason = 'upstream_refused'
        return failures.not_run(reason, '', _RETRY_MS)

    def _may_have_room_elsewhere(
        self, state: request_state.RequestState
    ) -> bool:
        """Return whether the sender of a request may ask another peer."""
        exchange, name = state.exchange, state.service.name
        return bool(
            exchange.forwarded_by
            and not state.was_sent
            and self._placement.peers_with_room(name, exchange.version)
        )

    def _check_invariants(
        self,
        state: request_state.RequestState,
        reservation: placement.Reservation,
    ) -> None:
        """Check the invariants that must hold before a request is sent."""
        self._invariants.check(
            invariants_.Invariant.NO_WORK_TO_LEAVING,
            reservation.view.is_available,
            reservation.view.name,
        )
        self._invariants.check(
            invariants_.Invariant.ONE_RUN,
            state.exchange.may_repeat or not state.runs,
            state.exchange.id,
        )

    def _send(
        self,
        state: request_state.RequestState,
        reservation: placement.Reservation,
        replacement: ty.Optional[sender_.Sent],
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        exchange = state.exchange
        sent_at = self._clock.now()
        self._standbys.start(state, reservation)
        try:
            sent = replacement or self._sender.send(
                exchange,
                reservation,
                exchange.deadline - sent_at,
                state.resume_point,
            )
        except BaseException:
            # The upstream may run a request that its caller no longer awaits.
            if not exchange.is_stream:
                self._count_started(state, sent_at)
            raise
        if isinstance(sent, failures.Failure):
            self._note_unsent(state, reservation, sent)
            if sent.kind is failures.FailureKind.OUTCOME_UNKNOWN:
                state.runs += 1
                self._count_unanswered(state, sent, sent_at)
                self._note_end(state, reservation, sent_at, failed=True)
            return sent
        state.was_sent = True
        state.heard_at = self._clock.now()
        if reservation.view.is_peer:
            state.note_peer_runs()
        if sent.verdict in (Verdict.NOT_RUN, Verdict.ELSEWHERE):
            return self._handle_not_run(exchange, sent)
        state.runs += 1
        state.accepted_by.add(reservation.view.name)
        is_streaming = (
            exchange.is_stream
            and sent.verdict is Verdict.ANSWER
            and sent.head.is_success
        )
        if not is_streaming:
            self._standbys.end(state, None)
            self._count_started(state, sent.sent_at)
        if sent.verdict is Verdict.GARBLED:
            self._note_end(state, reservation, sent_at, failed=True)
            sent.conn.close()
            reservation.view.health.record_failure()
            return failures.unknown('garbled', str(sent.head.status))
        try:
            if is_streaming:
                return self._begin_stream(state, sent)
            return self._read_response(state, sent)
        except BaseException:
            self._sender.abandon(exchange, sent.reservation.view, sent.sent_at)
            sent.conn.close()
            raise

    def _note_unsent(
        self,
        state: request_state.RequestState,
        reservation: placement.Reservation,
        failure: failures.Failure,
    ) -> None:
        """Record what a failure to send leaves for further attempts."""
        if failure.reason == peer_sender_.NO_CONNECTION:
            state.connect_failures += not reservation.view.is_peer
            return
        state.was_sent = True
        if not reservation.view.is_peer:
            return
        is_unknown = failure.kind is failures.FailureKind.OUTCOME_UNKNOWN
        state.is_final = not is_unknown
        if is_unknown:
            state.note_peer_runs()

    def _count_started(
        self, state: request_state.RequestState, started_at: int
    ) -> None:
        """Count a request as started, at most once over all attempts."""
        if not state.counted and not state.exchange.forwarded_by:
            state.counted = True
            ago_ms = self._clock.now() - started_at
            team, cost = state.exchange.team, state.exchange.cost
            self._usage.count_started(team, ago_ms)
            if team:
                self._metrics.team_tokens.labels(team).inc(cost)

    def _count_unanswered(
        self,
        state: request_state.RequestState,
        failure: failures.Failure,
        sent_at: int,
    ) -> None:
        """Count a request without a response as started when it was sent.

        A stream that timed out without an event is not counted: its request
        may still have been queued at the engine, and counts as started with
        its first token.
        """
        if not state.exchange.is_stream or failure.reason != 'silent':
            self._count_started(state, sent_at)

    def _handle_not_run(
        self, exchange: exchange_.Exchange, sent: sender_.Sent
    ) -> failures.Failure:
        if sent.verdict is Verdict.ELSEWHERE:
            sent.reservation.view.health.record_failure()
            sent.conn.close()
            return failures.not_run('address_reused', '', _RETRY_MS)
        deadline = min(exchange.deadline, self._clock.now() + _REFUSAL_BODY_MS)
        body = sent.conn.read_all(deadline, _MAX_BODY_BYTES)
        if isinstance(body, failures.Failure):
            sent.reservation.view.health.record_failure()
        else:
            self._sender.finish(sent)
            sent.reservation.view.health.record_error()
        return failures.not_run('upstream_refused', '', _RETRY_MS)

    def _begin_stream(
        self, state: request_state.RequestState, sent: sender_.Sent
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        stream = self._relay.begin(state.exchange, state.service, sent)
        if isinstance(stream, failures.Failure):
            sent.conn.close()
            self._count_unanswered(state, stream, sent.sent_at)
            self._note_end(state, sent.reservation, sent.sent_at, failed=True)
            return stream
        self._note_prefill(state, sent)
        # A request starts at an engine when its first token is generated.
        self._count_started(state, self._clock.now())
        self._note_version(state, stream.sent.version)
        stream.tried |= state.accepted_by
        stream.runs = state.runs
        return reply_.Reply(
            sent.head,
            self._relay.events(stream),
            sent.reservation.view.name,
            lambda: self._relay.close(stream),
        )

    def _note_version(
        self, state: request_state.RequestState, version: ids.SoftwareVersion
    ) -> None:
        """Pin a stream to the version of its first event."""
        exchange = state.exchange
        if exchange.version is None:
            exchange.version = version
        if not exchange.forwarded_by:
            self._stream_versions.begin(
                exchange, state.service.name, exchange.version
            )

    def _note_prefill(
        self, state: request_state.RequestState, sent: sender_.Sent
    ) -> None:
        """Record the prefill time of an engine that had no other prefill."""
        reservation, prompt = sent.reservation, state.exchange.prompt
        if reservation.view.is_peer:
            return
        tokens = prompt.tokens_in
        if reservation.selection.is_home:
            tokens -= sum(part.tokens for part in prompt.shared)
        took_ms = self._clock.now() - sent.sent_at
        self._versions.note_first(
            state.exchange.route.name,
            reservation.view,
            sent.sent_at,
            took_ms,
            tokens,
        )
        is_alone = not reservation.selection.unread
        if not is_alone or not self._versions.is_in_use(reservation.view):
            return
        service = state.service.name
        if self._speeds.is_enabled and (
            rate := self._demand.prefill_rate(service)
        ):
            overhead_ms = self._demand.prefill_overhead_ms(service)
            self._speeds.add_prefill(
                reservation.view, tokens, tokens / rate, took_ms - overhead_ms
            )
        self._demand.note_prefill(service, tokens, took_ms)

    def _read_response(
        self, state: request_state.RequestState, sent: sender_.Sent
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        view = sent.reservation.view
        deadline = state.exchange.deadline
        caller = state.exchange.caller
        body = sent.conn.read_all(
            deadline,
            _MAX_BODY_BYTES,
            reserve=lambda size: caller.reserve_answer(size, deadline),
        )
        if isinstance(body, failures.Failure):
            sent.conn.close()
            self._sender.note_failure(state.exchange, view, body, sent.sent_at)
            self._note_end(state, sent.reservation, sent.sent_at, failed=True)
            return body
        self._sender.finish(sent)
        reply = reply_.Reply(sent.head, body, view.name)
        failed = sent.verdict is Verdict.FAILED
        self._note_end(state, sent.reservation, sent.sent_at, failed)
        if failed:
            view.health.record_error()
            if sent.head.status not in dialect_.NOT_RUN_STATUSES:
                state.fallback = reply
            return failures.unknown('answered_badly', str(sent.head.status))
        view.health.record_success()
        self._crashes.note_success(state.exchange.crash_keys)
        took_ms = self._clock.now() - sent.sent_at
        route = state.exchange.route.name
        self._versions.note_first(route, view, sent.sent_at, took_ms, 0)
        return reply

    def _note_end(
        self,
        state: request_state.RequestState,
        reservation: placement.Reservation,
        sent_at: int,
        failed: bool,
    ) -> None:
        """Record the outcome of an attempt as evidence on a version."""
        route = state.exchange.route.name
        self._versions.note_end(route, reservation.view, sent_at, failed)

    def _may_retry(
        self, state: request_state.RequestState, failure: failures.Failure
    ) -> bool:
        exchange = state.exchange
        if state.is_final or self._clock.now() >= exchange.deadline:
            return False
        if failure.reason in _FINAL_REASONS:
            return False
        if failure.kind is failures.FailureKind.NOT_RUN:
            not_sent = failure.reason == peer_sender_.NO_CONNECTION
            return not_sent or self._budget.take(
                state.service.name, exchange.id
            )
        if not exchange.may_repeat or state.runs >= exchange.route.attempts:
            return False
        return self._budget.take(state.service.name, exchange.id)

    def _final_failure(
        self, state: request_state.RequestState, failure: failures.Failure
    ) -> failures.Failure:
        """Return the failure for the caller.

        If an earlier attempt may have run, the outcome is unknown whatever
        the failure of the last attempt guarantees. The retry time is kept.
        """
        if state.runs > state.earlier_runs:
            return failures.unknown(
                failure.reason, failure.detail, failure.retry_after_ms
            )
        return failure
