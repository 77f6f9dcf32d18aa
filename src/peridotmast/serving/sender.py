"""One attempt: sends a request to an upstream and reads the response head."""

from __future__ import annotations

import collections
import dataclasses
import functools
import typing as ty
import weakref

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import ids
from peridotmast.serving import abandoned_attempts
from peridotmast.serving import crash_keys as crash_keys_
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import dialect as dialect_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving.limits import brittleness as brittleness_
from peridotmast.serving.limits import left_behind
from peridotmast.serving.limits import upstream_limits as upstream_limits_
from peridotmast.serving import peer_sender as peer_sender_
from peridotmast.serving import placement
from peridotmast.serving import reachability
from peridotmast.serving import upstream_view
from peridotmast.wire import connection as connection_
from peridotmast.wire import pool as pool_

_MAX_FOREIGN_RESPONSES = 3
"""Maximum number of responses to other requests that one attempt skips."""

_MAX_FOREIGN_BYTES = 1 << 20
"""Largest body of a response to another request that is read and discarded, in
bytes."""

Verdict = dialect_.Verdict

_UNATTRIBUTED = frozenset(
    (Verdict.FOREIGN, Verdict.ELSEWHERE, Verdict.GARBLED)
)
"""Verdicts on responses that may come from another upstream."""


_OWN_REASONS = frozenset((crash_tracker_.BLOCK_REASON, connection_.NO_MEMORY))
"""Reasons for which this router ends an attempt, so that the upstream has not
failed."""


@dataclasses.dataclass
class _Attempt:
    """An attempt in progress."""

    keys: crash_keys_.CrashKeys
    is_answering: bool = False
    """Whether an event of the answer has come."""


_AttemptMap = weakref.WeakKeyDictionary[connection_.Connection, _Attempt]


@dataclasses.dataclass
class Sent:
    """An attempt whose response head has been read."""

    reservation: placement.Reservation
    conn: connection_.Connection
    head: connection_.ResponseHead
    verdict: Verdict
    sent_at: int
    """Time at which the request was sent, in ms."""
    version: ids.SoftwareVersion
    """Software version of the upstream that answers."""
    early: collections.deque[bytes] = dataclasses.field(
        default_factory=collections.deque
    )
    """Parts of the body that were read before the response is used."""


class Sender:
    """Sends requests over pooled connections and matches the responses.

    Parameters
    ----------
    clock : clock.Clock
        Clock for deadlines.
    pool : pool_.ConnectionPool
        Pool of connections to upstreams.
    dialect : dialect.Dialect
        Encodes requests and interprets response heads.
    decisions : decisions.Decisions
        Records responses that belong to other requests.
    crashes : crash_tracker.CrashTracker
        Records failed attempts and responses of upstreams.
    limits : upstream_limits.UpstreamLimits
        Records the limits that upstreams state.
    brittleness : brittleness.Brittleness
        Records how many refusals upstreams bear.
    reach : reachability.Reachability
        Records which upstreams could be connected to.
    peers : peer_sender.PeerSender
        Forwards requests to peers.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        pool: pool_.ConnectionPool,
        dialect: dialect_.Dialect,
        decisions: decisions_.Decisions,
        crashes: crash_tracker_.CrashTracker,
        limits: upstream_limits_.UpstreamLimits,
        brittleness: brittleness_.Brittleness,
        reach: reachability.Reachability,
        peers: peer_sender_.PeerSender,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._dialect = dialect
        self._decisions = decisions
        self._crashes = crashes
        self._limits = limits
        self._brittleness = brittleness
        self._left_behind = left_behind.LeftBehind(clock)
        self._reach = reach
        self._peers = peers
        self.on_leaving: ty.Callable[[upstream_view.UpstreamView], None] = (
            lambda view: None
        )
        """Called with an upstream whose answer states that it is leaving."""
        self._abandoned = abandoned_attempts.AbandonedAttempts(clock)
        self._attempts: weakref.WeakKeyDictionary[
            upstream_view.UpstreamView, _AttemptMap
        ] = weakref.WeakKeyDictionary()

    def send(
        self,
        exchange: exchange_.Exchange,
        reservation: placement.Reservation,
        head_timeout_ms: int,
        resume: ty.Optional[dialect_.ResumePoint] = None,
    ) -> ty.Union[Sent, failures.Failure]:
        """Send the request and wait for the response head.

        Parameters
        ----------
        head_timeout_ms : int
            Time limit for the response head, in ms.

        Returns
        -------
        Sent or Failure
            The kind of the failure states whether the request may have
            run.
        """
        view = reservation.view
        if view.is_peer:
            return self._forward(exchange, reservation, resume)
        conn = self._pool.acquire(view.address)
        if isinstance(conn, failures.Failure):
            self._reach.note_failure(view, conn)
            return conn
        if view.is_unreachable and not conn.requests:
            self._reach.note_connected(view)
        attempts = self._attempts.setdefault(view, weakref.WeakKeyDictionary())
        attempts[conn] = _Attempt(exchange.crash_keys)
        conn.keep_unanswered = (
            functools.partial(self._left_behind.keep, view, exchange.deadline)
            if self._brittleness.limit(view)
            else None
        )
        reservation.conn = conn
        sent: ty.Union[Sent, failures.Failure, None] = None
        sent_at = self._clock.now()
        try:
            sent = self._attempt(
                exchange, reservation, conn, head_timeout_ms, resume
            )
        except BaseException:
            self.abandon(exchange, view, sent_at)
            raise
        finally:
            if not isinstance(sent, Sent):
                conn.close()
        if isinstance(sent, failures.Failure):
            self.note_failure(exchange, view, sent, sent_at)
        return sent

    def note_failure(
        self,
        exchange: exchange_.Exchange,
        view: upstream_view.UpstreamView,
        failure: failures.Failure,
        sent_at: int,
        was_answering: bool = False,
    ) -> None:
        """Record that a response did not arrive or was incomplete.

        Parameters
        ----------
        sent_at : int
            Time at which the request was sent, in ms.
        was_answering : bool, optional
            Whether the upstream had sent an event of the response.
        """
        if failure.reason in _OWN_REASONS:
            return
        view.health.record_failure()
        if view.is_peer:
            return
        self._crashes.note_failure(
            exchange.crash_keys, view, failure, sent_at, was_answering
        )
        if failure.reason in crash_tracker_.CRASH_REASONS:
            self._attribute_to_abandoned(view, failure)
        elif failure.reason == 'silent':
            self._abandoned.add(
                exchange.crash_keys, view, sent_at, was_answering
            )

    def abandon(
        self,
        exchange: exchange_.Exchange,
        view: upstream_view.UpstreamView,
        sent_at: int,
        was_answering: bool = False,
    ) -> None:
        """Keep an attempt whose caller has left until its upstream answers.

        Parameters
        ----------
        sent_at : int
            Time at which the request was sent, in ms.
        was_answering : bool, optional
            Whether the upstream had sent an event of the response.
        """
        view.health.release_probe()
        if view.is_peer:
            return
        self._abandoned.add(exchange.crash_keys, view, sent_at, was_answering)

    def discard(self, exchange: exchange_.Exchange, sent: Sent) -> None:
        """Cancel an attempt whose response is not used."""
        self.abandon(exchange, sent.reservation.view, sent.sent_at)
        sent.conn.close()
        sent.reservation.release()

    def on_upstream_change(self, view: upstream_view.UpstreamView) -> None:
        """Decide on the abandoned attempts of an upstream that has ended.

        The loss of an upstream that announced its stop is not a crash.
        """
        if view.record.state == upstream_view.LEAVING:
            self._abandoned.take(view)
        elif view.record.state == upstream_view.GONE:
            self._attribute_to_abandoned(
                view, failures.unknown('upstream_lost')
            )

    def tick(self) -> None:
        """Drop the abandoned attempts that no longer matter."""
        self._abandoned.tick()

    def finish(self, sent: Sent) -> None:
        """Return the connection of a complete response to the pool."""
        if sent.reservation.view.is_peer:
            self._peers.finish(sent.reservation.view, sent.conn)
            return
        attempts = self._attempts.get(sent.reservation.view)
        if attempts is not None:
            attempts.pop(sent.conn, None)
        self._pool.release(sent.reservation.view.address, sent.conn)

    def abort_run(self, view: upstream_view.UpstreamView) -> None:
        """Cancel all attempts in progress at a run of an upstream.

        Another run has started at the same address, so the requests sent to
        this run are lost even if their connections still look open.
        """
        self._pool.close_idle(view.address)
        for conn in list(self._attempts.pop(view, ())):
            conn.cancel('upstream_restarted')
        self._attribute_to_abandoned(
            view, failures.unknown('upstream_restarted')
        )

    def note_answering(self, sent: Sent) -> None:
        """Record that an event of the answer has come."""
        attempts = self._attempts.get(sent.reservation.view)
        if attempts is not None and sent.conn in attempts:
            attempts[sent.conn].is_answering = True

    def cancel_attempts(self, key: ids.Fingerprint) -> None:
        """Cancel the attempts in progress of a request or with a part.

        An attempt queued at an upstream would crash it once it runs. With a
        part, answers that have begun go on: a part that crashes upstreams
        does so as they begin to answer.
        """
        is_part = crash_keys_.is_part(key)
        for attempts in self._attempts.values():
            for conn, attempt in list(attempts.items()):
                is_kept = is_part and attempt.is_answering
                if key in attempt.keys.all() and not is_kept:
                    conn.cancel(crash_tracker_.BLOCK_REASON)

    def _forward(
        self,
        exchange: exchange_.Exchange,
        reservation: placement.Reservation,
        resume: ty.Optional[dialect_.ResumePoint],
    ) -> ty.Union[Sent, failures.Failure]:
        """Send the request through a peer."""
        sent = self._peers.send(exchange, reservation, resume)
        if isinstance(sent, failures.Failure):
            return sent
        return Sent(
            reservation,
            sent.conn,
            sent.head,
            sent.verdict,
            sent.sent_at,
            sent.version,
        )

    def _attempt(
        self,
        exchange: exchange_.Exchange,
        reservation: placement.Reservation,
        conn: connection_.Connection,
        head_timeout_ms: int,
        resume: ty.Optional[dialect_.ResumePoint],
    ) -> ty.Union[Sent, failures.Failure]:
        now = self._clock.now()
        left_ms = exchange.deadline - now
        if left_ms <= 0:
            return failures.not_run(
                'deadline', 'deadline passed before sending'
            )
        headers = self._dialect.headers(
            exchange, reservation.view, left_ms, resume
        )
        deadline = min(exchange.deadline, now + head_timeout_ms)
        reservation.view.health.record_sent()
        failure = conn.send(
            exchange.method, exchange.target, headers, exchange.body, deadline
        )
        if failure is not None:
            return failure
        for skipped in range(_MAX_FOREIGN_RESPONSES):
            head = conn.read_head(exchange.method, deadline)
            if isinstance(head, failures.Failure):
                return head
            reservation.view.note_activity()
            verdict = self._dialect.verdict(
                exchange,
                head,
                reservation.view.name,
                may_be_stale=conn.requests > 1 or skipped > 0,
            )
            if verdict not in _UNATTRIBUTED:
                self._crashes.note_response(reservation.view, now)
                self._abandoned.note_response(reservation.view, now)
                self._note_limit(exchange, reservation.view, head, now)
                self._note_leaving(exchange, reservation.view, head)
                self._note_rest(exchange, reservation.view, head)
                self._note_brittle(
                    exchange, reservation.view, head, verdict, now
                )
            if verdict is not Verdict.FOREIGN:
                version = ids.SoftwareVersion(reservation.view.version)
                return Sent(reservation, conn, head, verdict, now, version)
            self._decisions.note(
                exchange.id,
                'foreign_answer',
                upstream=reservation.view.name,
                status=head.status,
            )
            body = conn.read_all(deadline, _MAX_FOREIGN_BYTES)
            if isinstance(body, failures.Failure):
                return body
        return failures.unknown(
            'foreign_answers', 'no response matched the request'
        )

    def _attribute_to_abandoned(
        self, view: upstream_view.UpstreamView, failure: failures.Failure
    ) -> None:
        """Record a possible crash for the abandoned attempts at a run."""
        for attempt in self._abandoned.take(view):
            self._crashes.note_failure(
                attempt.keys,
                view,
                failure,
                attempt.sent_at,
                attempt.was_answering,
            )

    def _note_leaving(
        self,
        exchange: exchange_.Exchange,
        view: upstream_view.UpstreamView,
        head: connection_.ResponseHead,
    ) -> None:
        """Record that an upstream states that it is leaving."""
        if view.is_available and self._dialect.is_leaving(head):
            self._decisions.note(
                exchange.id,
                'answer_states_leaving',
                upstream=view.name,
                born=view.born,
                revision=view.record.revision,
            )
            self.on_leaving(view)

    def _note_rest(
        self,
        exchange: exchange_.Exchange,
        view: upstream_view.UpstreamView,
        head: connection_.ResponseHead,
    ) -> None:
        """Record for how long an upstream asks for no more requests."""
        rest_ms = self._dialect.rest_ms(head)
        if isinstance(rest_ms, failures.Failure):
            self._decisions.note(
                exchange.id,
                rest_ms.reason,
                upstream=view.name,
                rest=rest_ms.detail,
            )
        elif rest_ms:
            view.note_rest(rest_ms)
            self._decisions.note(
                exchange.id,
                'upstream_rests',
                upstream=view.name,
                born=view.born,
                ms=view.rest_ms(),
            )

    def _note_brittle(
        self,
        exchange: exchange_.Exchange,
        view: upstream_view.UpstreamView,
        head: connection_.ResponseHead,
        verdict: Verdict,
        sent_at: int,
    ) -> None:
        """Record how many refusals a second an upstream bears."""
        limit = self._dialect.brittle_limit(head)
        refused = verdict is Verdict.NOT_RUN
        if isinstance(limit, failures.Failure):
            self._decisions.note(
                exchange.id,
                limit.reason,
                upstream=view.name,
                limit=limit.detail,
            )
            return
        if limit != view.brittle_limit or (limit and refused):
            self._decisions.note(
                exchange.id,
                'upstream_brittle',
                upstream=view.name,
                born=view.born,
                limit=limit,
                refused=refused,
                running=view.local_load.running,
                share=self._brittleness.shares.share(view),
                routers=self._brittleness.shares.router_count,
                left_behind=view.left_behind,
                freed_ms=self._clock.now() - view.freed_at,
                sent_ms=self._clock.now() - sent_at,
            )
        self._brittleness.note_answer(view, limit, refused)

    def _note_limit(
        self,
        exchange: exchange_.Exchange,
        view: upstream_view.UpstreamView,
        head: connection_.ResponseHead,
        sent_at: int,
    ) -> None:
        """Record the limit that a response states, or that it states none."""
        limit = self._dialect.limit(head)
        if isinstance(limit, failures.Failure):
            self._decisions.note(
                exchange.id,
                limit.reason,
                upstream=view.name,
                limit=limit.detail,
            )
        elif limit is None:
            self._limits.note_no_limit(view, sent_at)
        else:
            self._limits.note_limit(view, limit)
