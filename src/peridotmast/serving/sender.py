"""One attempt: a request sent to one upstream, and the head of its answer."""

from __future__ import annotations

import dataclasses
import typing as ty
import weakref

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import ids
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import dialect as dialect_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import placement
from peridotmast.serving import upstream_limits as upstream_limits_
from peridotmast.serving import upstream_view
from peridotmast.wire import connection as connection_
from peridotmast.wire import pool as pool_

_FOREIGN_LIMIT = 3
"""Answers to other requests that are passed over on one connection."""

_FOREIGN_BYTES = 1 << 20
"""Longest body of such an answer that is read away."""

Verdict = dialect_.Verdict

_UNATTRIBUTED = frozenset(
    (Verdict.FOREIGN, Verdict.ELSEWHERE, Verdict.GARBLED)
)
"""Verdicts on answers that may come from another upstream."""

_InUse = weakref.WeakKeyDictionary[connection_.Connection, ids.Fingerprint]


@dataclasses.dataclass
class Sent:
    """An attempt whose answer has begun."""

    place: placement.Reservation
    conn: connection_.Connection
    head: connection_.ResponseHead
    verdict: Verdict
    at: int
    """Moment at which the request went out, in ms."""


class Sender:
    """Sends requests over kept connections and checks whose answer comes.

    Parameters
    ----------
    clock : clock.Clock
        Times the waits.
    pool : pool_.ConnectionPool
        Connections to upstreams.
    dialect : dialect.Dialect
        What upstreams speak.
    decisions : decisions.Decisions
        Notes answers that belong to others.
    crashes : crash_tracker.CrashTracker
        Records failed attempts and responses of upstreams.
    limits : upstream_limits.UpstreamLimits
        Records the limits that upstreams state.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        pool: pool_.ConnectionPool,
        dialect: dialect_.Dialect,
        decisions: decisions_.Decisions,
        crashes: crash_tracker_.CrashTracker,
        limits: upstream_limits_.UpstreamLimits,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._dialect = dialect
        self._decisions = decisions
        self._crashes = crashes
        self._limits = limits
        self._in_use: weakref.WeakKeyDictionary[
            upstream_view.UpstreamView, _InUse
        ] = weakref.WeakKeyDictionary()

    def send(
        self,
        exchange: exchange_.Exchange,
        place: placement.Reservation,
        silence_ms: int,
        resume: ty.Optional[dialect_.ResumePoint] = None,
    ) -> ty.Union[Sent, failures.Failure]:
        """Send the request and wait for the head of its answer.

        Parameters
        ----------
        silence_ms : int
            Longest time without the head.

        Returns
        -------
        Sent or Failure
            The kind of a failure tells whether the request may have run.
        """
        view = place.view
        conn = self._pool.acquire(view.address)
        if isinstance(conn, failures.Failure):
            view.health.record_failure()
            return conn
        in_use = self._in_use.setdefault(view, weakref.WeakKeyDictionary())
        in_use[conn] = exchange.fingerprint
        sent: ty.Union[Sent, failures.Failure, None] = None
        sent_at = self._clock.now()
        try:
            sent = self._exchange(exchange, place, conn, silence_ms, resume)
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
        """Record that an answer did not arrive or was incomplete.

        Parameters
        ----------
        sent_at : int
            Time at which the request was sent, in ms.
        was_answering : bool, optional
            Whether the upstream had sent an event of the answer.
        """
        if failure.reason == crash_tracker_.BLOCK_REASON:
            # Cancelled by this router: not a failure of the upstream.
            return
        view.health.record_failure()
        self._crashes.note_failure(
            exchange.fingerprint, view, failure, sent_at, was_answering
        )

    def finish(self, sent: Sent) -> None:
        """Take the connection of an answer that has ended back."""
        in_use = self._in_use.get(sent.place.view)
        if in_use is not None:
            in_use.pop(sent.conn, None)
        self._pool.release(sent.place.view.address, sent.conn)

    def abort_run(self, view: upstream_view.UpstreamView) -> None:
        """Break off what an upstream's run has left unanswered.

        Another run has begun at its address: what was sent to the one
        before is lost, also where its connections have not noticed.
        """
        self._pool.close_idle(view.address)
        for conn in list(self._in_use.pop(view, ())):
            conn.cancel('upstream_restarted')

    def cancel_attempts(self, fingerprint: ids.Fingerprint) -> None:
        """Cancel all attempts of a request that are in progress.

        An attempt queued at an upstream would crash it once it runs.
        """
        for in_use in self._in_use.values():
            for conn, conn_fingerprint in list(in_use.items()):
                if conn_fingerprint == fingerprint:
                    conn.cancel(crash_tracker_.BLOCK_REASON)

    def _exchange(
        self,
        exchange: exchange_.Exchange,
        place: placement.Reservation,
        conn: connection_.Connection,
        silence_ms: int,
        resume: ty.Optional[dialect_.ResumePoint],
    ) -> ty.Union[Sent, failures.Failure]:
        now = self._clock.now()
        left = exchange.deadline - now
        if left <= 0:
            return failures.not_run('deadline', 'no time was left to send')
        headers = self._dialect.headers(exchange, place.view, left, resume)
        deadline = min(exchange.deadline, now + silence_ms)
        place.view.health.record_sent()
        failure = conn.send(
            exchange.method, exchange.target, headers, exchange.body, deadline
        )
        if failure is not None:
            return failure
        for _ in range(_FOREIGN_LIMIT):
            head = conn.read_head(exchange.method, deadline)
            if isinstance(head, failures.Failure):
                return head
            place.view.note_activity()
            verdict = self._dialect.verdict(exchange, head)
            if verdict not in _UNATTRIBUTED:
                self._crashes.note_response(place.view, now)
                self._note_limit(exchange, place.view, head, now)
            if verdict is not Verdict.FOREIGN:
                return Sent(place, conn, head, verdict, now)
            self._decisions.note(
                exchange.id,
                'foreign_answer',
                upstream=place.view.name,
                status=head.status,
            )
            rest = conn.read_all(deadline, _FOREIGN_BYTES)
            if isinstance(rest, failures.Failure):
                return rest
        return failures.unknown('foreign_answers', 'none was its own')

    def _note_limit(
        self,
        exchange: exchange_.Exchange,
        view: upstream_view.UpstreamView,
        head: connection_.ResponseHead,
        sent_at: int,
    ) -> None:
        """Record the limit that an answer states, or that it states none."""
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
