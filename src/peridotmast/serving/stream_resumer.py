"""Makes the attempts that go on with interrupted streams."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.serving import continuation
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import dialect as dialect_
from peridotmast.serving import peer_sender as peer_sender_
from peridotmast.serving import placement
from peridotmast.serving import reply as reply_
from peridotmast.serving import retry_budget
from peridotmast.serving import sender as sender_
from peridotmast.serving import stream as stream_
from peridotmast.serving import version_gate

STALL_GAPS = 4
"""Multiple of the route's target gap after which a stream counts as stalled:
the prefill of a long prompt between two tokens can exceed one target gap."""

MAX_TYPE_CHARS = 40
"""Maximum number of characters of an upstream's content type in a log."""


class StreamResumer:
    """Sends requests that go on with streams, and judges their responses.

    Parameters
    ----------
    clock : clock.Clock
        Clock for deadlines.
    sender : sender.Sender
        Sends the requests.
    places : placement.Placement
        Selects the upstream at which a stream is resumed.
    peers : peer_sender.PeerSender
        Selects the peer through which a stream is resumed.
    budget : retry_budget.RetryBudget
        Limits how often streams are resumed.
    crashes : crash_tracker.CrashTracker
        Tracks requests that crash upstreams.
    versions : version_gate.VersionGate
        Receives responses that go on with no stream, as evidence.
    decisions : decisions.Decisions
        Records these responses.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        sender: sender_.Sender,
        places: placement.Placement,
        peers: peer_sender_.PeerSender,
        budget: retry_budget.RetryBudget,
        crashes: crash_tracker_.CrashTracker,
        versions: version_gate.VersionGate,
        decisions: decisions_.Decisions,
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._placement = places
        self._peers = peers
        self._budget = budget
        self._crashes = crashes
        self._versions = versions
        self._decisions = decisions

    def resume(
        self, stream: stream_.Stream, failure: failures.Failure
    ) -> ty.Union[sender_.Sent, failures.Failure]:
        """Resume at another upstream, which recomputes the prefill.

        Parameters
        ----------
        failure : failures.Failure
            Why the stream is interrupted.

        Raises
        ------
        BrokenAnswer
            If the stream may not be resumed or no upstream is available.
        """
        exchange = stream.exchange
        self._check_may_resume(stream, failure)
        stream.sent.reservation.release()
        avoid = stream.tried | stream.unreached
        reservation = self._placement.choose(
            exchange, stream.service, avoid
        ) or self._peers.choose(
            exchange, stream.service, avoid, exchange.route.attempts - 1
        )
        if reservation is None:
            raise reply_.BrokenAnswer(self._no_place_reason(stream))
        resume_point = dialect_.ResumePoint(stream.last_event)
        result = self.send(stream, reservation, resume_point)
        is_unsent = (
            isinstance(result, failures.Failure)
            and result.reason == peer_sender_.NO_CONNECTION
        )
        known = stream.unreached if is_unsent else stream.tried
        known.add(reservation.view.name)
        stream.runs += not is_unsent
        return result

    def send(
        self,
        stream: stream_.Stream,
        reservation: placement.Reservation,
        resume_point: dialect_.ResumePoint,
    ) -> ty.Union[sender_.Sent, failures.Failure]:
        """Send a request to resume; return what goes on with the stream."""
        result: ty.Union[sender_.Sent, failures.Failure, None] = None
        try:
            result = self._sender.send(
                stream.exchange,
                reservation,
                self._head_timeout_ms(stream),
                resume_point,
            )
        finally:
            if not isinstance(result, sender_.Sent):
                reservation.release()
        if isinstance(result, failures.Failure):
            return result
        mismatch = continuation.find_mismatch(stream.begun, result)
        if mismatch is not None:
            self._refuse(stream, result, mismatch)
            return mismatch
        return result

    def _check_may_resume(
        self, stream: stream_.Stream, failure: failures.Failure
    ) -> None:
        """Take a retry from the budget; raise `BrokenAnswer` if it can't."""
        exchange = stream.exchange
        expired = self._clock.now() >= exchange.deadline
        if expired or not stream.may_resume():
            raise reply_.BrokenAnswer(failure.reason)
        if not stream.has_position:
            raise reply_.BrokenAnswer(stream_.NO_POSITION)
        if self._crashes.retry_after_ms(exchange.crash_keys):
            raise reply_.BrokenAnswer(crash_tracker_.BLOCK_REASON)
        was_unsent = failure.reason == peer_sender_.NO_CONNECTION
        if not was_unsent and not self._budget.take(
            stream.service.name, exchange.id
        ):
            raise reply_.BrokenAnswer('no_budget')

    def _no_place_reason(self, stream: stream_.Stream) -> str:
        lacks_version = self._placement.lacks_version(
            stream.exchange, stream.service.name
        )
        if lacks_version:
            return peer_sender_.NO_VERSION
        return peer_sender_.NO_UPSTREAM

    def _head_timeout_ms(self, stream: stream_.Stream) -> int:
        """Return how long an attempt to resume may take to answer, in ms.

        Silence ends it only if another one may follow.
        """
        if stream.may_resume() and self._budget.has_left(stream.service.name):
            return 2 * STALL_GAPS * stream.exchange.route.target_gap_ms
        return stream.exchange.deadline - self._clock.now()

    def _refuse(
        self,
        stream: stream_.Stream,
        sent: sender_.Sent,
        mismatch: failures.Failure,
    ) -> None:
        """Close a response that does not go on with a stream."""
        view = sent.reservation.view
        sent.reservation.release()
        sent.conn.close()
        self._decisions.note(
            stream.exchange.id,
            'resume_refused',
            upstream=view.name,
            version=view.version,
            last_event=stream.reader.last_id,
            reason=mismatch.reason,
            status=sent.head.status,
            type=sent.head.get('Content-Type')[:MAX_TYPE_CHARS],
        )
        has_run = mismatch.kind is not failures.FailureKind.NOT_RUN
        if has_run and not view.is_peer:
            view.health.record_error()
            route = stream.exchange.route.name
            self._versions.note_end(route, view, sent.sent_at, failed=True)
