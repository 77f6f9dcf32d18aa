"""Forwards requests to peers that reach upstreams which this router does not.

A request is forwarded at most once. The router that accepted it counts it; the
peer decides on its upstreams as on those of its own requests.
"""

from __future__ import annotations

import base64
import binascii
import dataclasses
import random
import typing as ty

from google.protobuf import message as message_

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import dialect as dialect_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import placement
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_
from peridotmast import signing
from peridotmast.wire import caller_connection
from peridotmast.wire import connection as connection_
from peridotmast.wire import pool as pool_

PATH = '/forward'
"""Path at which routers accept forwarded requests."""

SIGNATURE_HEADER = 'Forward-Signature'
RESULT_HEADER = 'Forward-Result'
"""Headers of the call and of its answer."""

NO_CONNECTION = 'no_connection'
"""Reason of a failure after which a request was sent to no upstream, so that
it may be sent elsewhere without a retry being counted."""

PEER_LOST = 'peer_lost'
"""Reason of a failure of a call whose answer did not arrive."""

LEAVING = 'leaving'
FULL = 'forwards_full'
NO_UPSTREAM = 'no_upstream'
NO_ROOM = 'no_room'
"""Reason of a router whose shares of brittle upstreams are used."""
NO_VERSION = 'no_version'
"""Reason for which a stream has ended: only upstreams of other versions than
the one that began it are left."""
_UNSENT_REASONS = frozenset((
    LEAVING, FULL, NO_UPSTREAM, NO_ROOM, NO_VERSION,
    caller_connection.OVERLOADED,
))  # fmt: skip
"""Reasons of a peer that has sent a request to no upstream."""

_UNABLE_MS = 1000
"""Time for which a peer that reaches no upstream of a service is not asked
again for this service, in ms."""

_UNABLE_RETENTION_MS = 10_000
"""Time after that in which one request in each `_UNABLE_MS` asks such a peer,
and not all of them, in ms."""

_MAX_PEERS = 4
"""Maximum number of peers that one request is offered to."""

_COMPARED = 2
"""Number of peers of which the one with fewer forwarded requests is taken."""

_MAX_REFUSAL_BYTES = 4096

_FORWARDED_ERRORS = range(500, 600)


class PeerView(upstream_view.UpstreamView):
    """A peer, through which requests reach upstreams."""

    is_peer = True


class PeerReservation(placement.Reservation):
    """The load that a forwarded request adds to a peer.

    Parameters
    ----------
    view : PeerView
        The peer.
    exchange : Exchange
        The request.
    service : pb.Service
        Service of the request.
    compared : int
        Number of peers that could be asked.
    runs : int
        Number of attempts that ran or may have run before.
    """

    def __init__(
        self,
        view: PeerView,
        exchange: exchange_.Exchange,
        service: pb.Service,
        compared: int,
        runs: int,
    ) -> None:
        super().__init__(view, exchange, placement.Selection(compared))
        self.service = service
        self.runs = runs


@dataclasses.dataclass
class PeerSent:
    """A forwarded request whose response head has been read."""

    conn: connection_.Connection
    head: connection_.ResponseHead
    verdict: dialect_.Verdict
    sent_at: int
    """Time at which the request was sent, in ms."""
    version: ids.SoftwareVersion
    """Software version of the upstream that answers."""


class PeerSender:
    """Selects peers and forwards requests to them.

    Parameters
    ----------
    clock : clock.Clock
        Clock for deadlines.
    pool : pool.ConnectionPool
        Pool of connections to peers.
    router : str
        Name of this router.
    crashes : crash_tracker.CrashTracker
        Learns which upstreams answer at peers.
    table : upstreams.UpstreamTable
        The upstreams.
    secret : bytes
        Key shared by all routers, which signs the calls; empty for none.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        pool: pool_.ConnectionPool,
        router: str,
        crashes: crash_tracker_.CrashTracker,
        table: upstreams_.UpstreamTable,
        secret: bytes = b'',
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._router = router
        self._crashes = crashes
        self._table = table
        self._secret = secret
        self.members: ty.Callable[[], ty.Iterable[pb.Member]] = lambda: ()
        """Returns the routers that accept requests."""
        self._views: dict[str, PeerView] = {}
        self._unable_until: dict[tuple[str, str], int] = {}
        self._random = random.Random(router)

    def choose(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        avoid: ty.Collection[str],
        runs: int,
        among: ty.Optional[ty.Collection[str]] = None,
    ) -> ty.Optional[PeerReservation]:
        """Reserve a peer for a request, or return None if there is none.

        Parameters
        ----------
        avoid : collection of str
            Names of upstreams and peers that the request was sent to.
        runs : int
            Number of attempts that ran or may have run.
        among : collection of str, optional
            Names of the peers that may be asked; by default all.
        """
        if exchange.forwarded_by:
            return None
        self._update_views()
        if sum(name in avoid for name in self._views) >= _MAX_PEERS:
            return None
        now = self._clock.now()
        usable = [
            view
            for view in self._views.values()
            if view.name not in avoid
            and (among is None or view.name in among)
            and view.health.allows_request()
            and self._unable_until.get((view.name, service.name), 0) <= now
        ]
        if not usable:
            return None
        compared = self._random.sample(usable, min(_COMPARED, len(usable)))
        best = min(compared, key=lambda view: view.local_load.running)
        if (best.name, service.name) in self._unable_until:
            # One request finds out whether the peer is able again.
            self._mark_unable(best, service)
        return PeerReservation(best, exchange, service, len(usable), runs)

    def send(
        self,
        exchange: exchange_.Exchange,
        reservation: placement.Reservation,
        resume: ty.Optional[dialect_.ResumePoint] = None,
    ) -> ty.Union[PeerSent, failures.Failure]:
        """Forward a request and wait for the head of the answer.

        Returns
        -------
        PeerSent or Failure
            A failure of kind NOT_RUN guarantees that no upstream ran the
            request or will run it.
        """
        assert isinstance(reservation, PeerReservation)
        view = reservation.view
        conn = self._pool.acquire(view.address)
        if isinstance(conn, failures.Failure):
            view.health.record_failure()
            return conn
        sent_at = self._clock.now()
        result: ty.Union[PeerSent, failures.Failure, None] = None
        try:
            result = self._exchange(exchange, reservation, conn, resume)
        finally:
            if result is None:
                view.health.release_probe()
                conn.close()
        if isinstance(result, failures.Failure):
            return result
        result.sent_at = sent_at
        return result

    def finish(
        self, view: upstream_view.UpstreamView, conn: connection_.Connection
    ) -> None:
        """Return the connection of a complete answer to the pool."""
        self._pool.release(view.address, conn)

    def tick(self) -> None:
        """Close expired connections; forget what no longer counts."""
        self._pool.close_expired()
        oldest = self._clock.now() - _UNABLE_RETENTION_MS
        self._unable_until = {
            key: until
            for key, until in self._unable_until.items()
            if until > oldest
        }

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _update_views(self) -> None:
        """Create the views of new peers; drop those of lost ones."""
        known, self._views = self._views, {}
        for member in self.members():
            if member.name == self._router or not member.forward_address:
                continue
            view = known.get(member.name)
            is_current = (
                view is not None
                and view.address == member.forward_address
                and view.born == member.incarnation
            )
            if view is None or not is_current:
                view = PeerView(_peer_record(member), self._clock, set())
            self._views[member.name] = view

    def _exchange(
        self,
        exchange: exchange_.Exchange,
        reservation: PeerReservation,
        conn: connection_.Connection,
        resume: ty.Optional[dialect_.ResumePoint],
    ) -> ty.Union[PeerSent, failures.Failure]:
        view, now = reservation.view, self._clock.now()
        if now >= exchange.deadline:
            conn.close()
            return failures.not_run('deadline', 'passed before forwarding')
        failure = self._send(exchange, reservation, conn, now, resume)
        if failure is not None:
            return self._lose(view, conn, failure)
        head = conn.read_head('POST', exchange.deadline)
        if isinstance(head, failures.Failure):
            return self._lose(view, conn, head)
        result = _decode_result(head)
        if isinstance(result, failures.Failure):
            return self._lose(view, conn, result)
        view.health.record_success()
        if result.kind:
            return self._read_failure(exchange, reservation, conn, result)
        if exchange.version not in (None, result.version):
            # The peer's own software ignores the version.
            return self._lose(
                view, conn, failures.unknown('other_version', result.version)
            )
        self._unable_until.pop((view.name, reservation.service.name), None)
        self._note_upstream(result, now)
        version = ids.SoftwareVersion(result.version)
        return PeerSent(conn, _answer_head(head), _verdict(head), now, version)

    def _send(
        self,
        exchange: exchange_.Exchange,
        reservation: PeerReservation,
        conn: connection_.Connection,
        now: int,
        resume: ty.Optional[dialect_.ResumePoint],
    ) -> ty.Optional[failures.Failure]:
        """Send a request; what is sent, a copy of it, is released here."""
        view = reservation.view
        data = self._encode(exchange, reservation, now, resume)
        signature = signing.sign(self._secret, data).hex()
        headers = [('Host', view.address), (SIGNATURE_HEADER, signature)]
        view.health.record_sent()
        return conn.send('POST', PATH, headers, data, exchange.deadline)

    def _lose(
        self,
        view: upstream_view.UpstreamView,
        conn: connection_.Connection,
        failure: failures.Failure,
    ) -> failures.Failure:
        """Return the failure of a call whose answer did not arrive."""
        conn.close()
        view.health.record_failure()
        if failure.reason == 'silent':
            return failure
        detail = f'{failure.reason} {failure.detail}'.strip()
        return failures.unknown(PEER_LOST, detail)

    def _read_failure(
        self,
        exchange: exchange_.Exchange,
        reservation: PeerReservation,
        conn: connection_.Connection,
        result: pb.ForwardResult,
    ) -> failures.Failure:
        """Return the failure that a peer states."""
        body = conn.read_all(exchange.deadline, _MAX_REFUSAL_BYTES)
        if isinstance(body, failures.Failure):
            conn.close()
        else:
            self.finish(reservation.view, conn)
        failure = failures.Failure(
            failures.FailureKind(result.kind),
            result.reason,
            result.detail,
            result.retry_after_ms,
        )
        is_unsent = failure.reason in _UNSENT_REASONS
        if failure.kind is not failures.FailureKind.NOT_RUN or not is_unsent:
            return failure
        if failure.reason == NO_UPSTREAM:
            self._mark_unable(reservation.view, reservation.service)
        return failures.not_run(
            NO_CONNECTION, f'peer {failure.reason}', failure.retry_after_ms
        )

    def _mark_unable(
        self, view: upstream_view.UpstreamView, service: pb.Service
    ) -> None:
        """Record that a peer reaches no upstream of a service."""
        until = self._clock.now() + _UNABLE_MS
        self._unable_until[view.name, service.name] = until

    def _note_upstream(self, result: pb.ForwardResult, sent_at: int) -> None:
        """Record that an upstream answers: it has not crashed before."""
        view = self._table.get(result.upstream)
        if view is not None and view.born == result.born:
            self._crashes.note_response(view, sent_at)

    def _encode(
        self,
        exchange: exchange_.Exchange,
        reservation: PeerReservation,
        now: int,
        resume: ty.Optional[dialect_.ResumePoint],
    ) -> bytes:
        prompt = exchange.prompt
        return pb.ForwardedRequest(
            id=exchange.id,
            router=self._router,
            method=exchange.method,
            target=exchange.target,
            headers=[
                pb.HeaderField(name=name, value=value)
                for name, value in exchange.headers
            ],
            body=exchange.body,
            route=exchange.route,
            service=reservation.service,
            team=exchange.team,
            priority=exchange.priority,
            urgency=exchange.urgency,
            elapsed_ms=now - exchange.arrived_at,
            left_ms=exchange.deadline - now,
            model=prompt.model,
            tokens_in=prompt.tokens_in,
            tokens_out=prompt.tokens_out,
            parts=[
                pb.PromptPart(id=part.id, tokens=part.tokens)
                for part in prompt.parts
            ],
            last_event=resume.last_event if resume is not None else None,
            earlier_runs=reservation.runs,
            traceparent=exchange.traceparent,
            version=exchange.version,
        ).SerializeToString()


def encode_result(result: pb.ForwardResult) -> tuple[str, str]:
    """Return the header that states what became of a request."""
    text = base64.b64encode(result.SerializeToString()).decode()
    return RESULT_HEADER, text


def _decode_result(
    head: connection_.ResponseHead,
) -> ty.Union[pb.ForwardResult, failures.Failure]:
    """Return what became of a request, or a failure if that is malformed."""
    text = head.get(RESULT_HEADER)
    try:
        result = pb.ForwardResult.FromString(
            base64.b64decode(text, validate=True)
        )
    except (binascii.Error, message_.DecodeError) as exc:
        return failures.unknown('malformed_result', str(exc))
    kinds = {kind.value for kind in failures.FailureKind}
    if result.kind not in kinds and (result.kind or not result.upstream):
        return failures.unknown('malformed_result', result.kind[:40])
    return result


def _answer_head(head: connection_.ResponseHead) -> connection_.ResponseHead:
    """Return the head that the upstream has sent."""
    excluded = RESULT_HEADER.lower()
    headers = [(n, v) for n, v in head.headers if n.lower() != excluded]
    return dataclasses.replace(head, headers=headers)


def _verdict(head: connection_.ResponseHead) -> dialect_.Verdict:
    is_promise = head.status in dialect_.NOT_RUN_STATUSES
    if is_promise or head.status in _FORWARDED_ERRORS:
        return dialect_.Verdict.FAILED
    return dialect_.Verdict.ANSWER


def _peer_record(member: pb.Member) -> pb.UpstreamRecord:
    return pb.UpstreamRecord(
        upstream=pb.Upstream(
            name=member.name,
            address=member.forward_address,
            failure_domain=member.failure_domain,
            born=member.incarnation,
        ),
        state=pb.UPSTREAM_STATE_LIVE,
    )
