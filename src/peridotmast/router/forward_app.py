"""WSGI application for requests that peers forward."""

from __future__ import annotations

import typing as ty

from google.protobuf import message as message_

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import gateway as gateway_
from peridotmast.serving import peer_sender
from peridotmast.serving import reply as reply_
from peridotmast.serving import response_body
from peridotmast.serving import upstreams as upstreams_
from peridotmast import signing
from peridotmast.wire import caller_connection
from peridotmast.wire.overload import memory_budget
from peridotmast.wire import request_body
from peridotmast.wire import server as server_
from peridotmast.wire import strict_protocol

_REFUSED_STATUS = 503
"""Status of every answer that no upstream has sent. Its meaning is in the
header with the result."""

_OVERHEAD_BYTES = 1 << 20
"""Maximum size of a forwarded request besides the body of its caller."""

_MAX_DETAIL_CHARS = 200
"""Maximum length of the detail of a failure in an answer."""

_SIGNATURE_KEY = 'HTTP_FORWARD_SIGNATURE'


class ForwardApp:
    """WSGI application that answers the requests of peers.

    Parameters
    ----------
    clock : clock.Clock
        Clock for arrival times and deadlines.
    gateway : gateway.Gateway
        Handles the requests.
    table : upstreams.UpstreamTable
        The upstreams.
    limits : server.ServerLimits
        Limits on the bodies of callers.
    decisions : decisions.Decisions
        Records requests that arrive here, and their results.
    secret : bytes
        Key shared by all routers; calls without its signature are refused.
        Empty to accept all calls.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        gateway: gateway_.Gateway,
        table: upstreams_.UpstreamTable,
        limits: server_.ServerLimits,
        decisions: decisions_.Decisions,
        secret: bytes = b'',
    ) -> None:
        self._clock = clock
        self._gateway = gateway
        self._table = table
        self._limits = limits
        self._decisions = decisions
        self._secret = secret

    def __call__(
        self, environ: dict[str, ty.Any], start: ty.Callable[..., ty.Any]
    ) -> ty.Iterable[bytes]:
        conn = environ[strict_protocol.CONNECTION]
        try:
            data = conn.read_body(
                self._limits.max_body_bytes + _OVERHEAD_BYTES,
                self._limits.idle_timeout_ms,
            )
            # The parsed message holds the body once more.
            conn.account.charge(len(data))
        except request_body.InvalidBodyError as exc:
            return self._refuse(start, _refusal(exc))
        except memory_budget.OverloadedError:
            failure = failures.not_run(
                caller_connection.OVERLOADED,
                retry_after_ms=memory_budget.RETRY_MS,
            )
            return self._refuse(start, failure)
        signature = environ.get(_SIGNATURE_KEY, '')
        message = self._parse(environ[strict_protocol.TARGET], data, signature)
        if isinstance(message, failures.Failure):
            return self._refuse(start, message)
        return self._answer(message, conn, start)

    def _parse(
        self, target: str, data: bytes, signature: str
    ) -> ty.Union[pb.ForwardedRequest, failures.Failure]:
        """Return a forwarded request, or why it is not accepted."""
        if target != peer_sender.PATH:
            return failures.invalid('forward_path', target[:80])
        if not signing.is_valid_hex(self._secret, data, signature):
            return failures.invalid('forward_signature')
        try:
            message = pb.ForwardedRequest.FromString(data)
        except message_.DecodeError as exc:
            return failures.invalid('malformed_forward', str(exc))
        missing = [
            name
            for name in ('router', 'method', 'target', 'route', 'service')
            if not getattr(message, name)
        ]
        if missing or message.left_ms <= 0 or message.elapsed_ms < 0:
            detail = f'missing {missing}' if missing else 'invalid times'
            return failures.invalid('malformed_forward', detail)
        return message

    def _answer(
        self,
        message: pb.ForwardedRequest,
        conn: caller_connection.CallerConnection,
        start: ty.Callable[..., ty.Any],
    ) -> ty.Iterable[bytes]:
        self._decisions.note(
            message.id,
            'forward_received',
            sender=message.router,
            service=message.service.name,
            left_ms=message.left_ms,
            earlier_runs=message.earlier_runs,
        )
        conn.watch_for_close()
        exchange = self._exchange(message, conn)
        try:
            result = self._gateway.handle_forwarded(exchange, message.service)
        except caller_connection.CallerDisconnected:
            self._decisions.note(message.id, 'forward_left')
            conn.stop_watching()
            raise
        self._note_result(message, exchange, result)
        if isinstance(result, failures.Failure):
            conn.stop_watching()
            return self._refuse(start, result)
        self._add_result(exchange, result)
        return response_body.ResponseBody(
            result, conn, start, self._decisions, message.id
        )

    def _exchange(
        self,
        message: pb.ForwardedRequest,
        conn: caller_connection.CallerConnection,
    ) -> exchange_.Exchange:
        now = self._clock.now()
        return exchange_.Exchange(
            id=message.id,
            method=message.method,
            target=message.target,
            headers=[(field.name, field.value) for field in message.headers],
            body=message.body,
            route=message.route,
            team=message.team,
            priority=message.priority,
            urgency=message.urgency,
            arrived_at=now - message.elapsed_ms,
            deadline=now + message.left_ms,
            caller=conn,
            prompt=exchange_.Prompt(
                message.model,
                message.tokens_in,
                message.tokens_out,
                tuple(
                    exchange_.PromptPart(part.id, part.tokens)
                    for part in message.parts
                ),
            ),
            last_event=(
                message.last_event if message.HasField('last_event') else None
            ),
            earlier_runs=message.earlier_runs,
            version=(
                ids.SoftwareVersion(message.version)
                if message.HasField('version')
                else None
            ),
            forwarded_by=message.router,
            traceparent=message.traceparent,
        )

    def _note_result(
        self,
        message: pb.ForwardedRequest,
        exchange: exchange_.Exchange,
        result: ty.Union[reply_.Reply, failures.Failure],
    ) -> None:
        if isinstance(result, failures.Failure):
            upstream, outcome = '', result.reason
        else:
            upstream, outcome = result.upstream, str(result.head.status)
        self._decisions.note(
            message.id,
            'forward_answered',
            sender=message.router,
            upstream=upstream,
            outcome=outcome,
            ms=self._clock.now() - exchange.arrived_at,
        )

    def _add_result(
        self, exchange: exchange_.Exchange, reply: reply_.Reply
    ) -> None:
        """Add the header that names the upstream of an answer."""
        view = self._table.get(reply.upstream)
        result = pb.ForwardResult(
            upstream=reply.upstream,
            born=view.born if view else 0,
            version=exchange.version or '',
        )
        header = peer_sender.encode_result(result)
        # An upstream must not be able to state the result.
        reply.head.headers[:] = [
            (name, value)
            for name, value in reply.head.headers
            if name.lower() != header[0].lower()
        ] + [header]

    def _refuse(
        self, start: ty.Callable[..., ty.Any], failure: failures.Failure
    ) -> ty.Iterable[bytes]:
        result = pb.ForwardResult(
            kind=failure.kind.value,
            reason=failure.reason,
            detail=failure.detail[:_MAX_DETAIL_CHARS],
            retry_after_ms=failure.retry_after_ms,
        )
        headers = [
            peer_sender.encode_result(result),
            ('Content-Length', str(len(failure.reason))),
        ]
        start(response_body.status_line(_REFUSED_STATUS), headers)
        return [failure.reason.encode()]


def _refusal(error: request_body.InvalidBodyError) -> failures.Failure:
    """Return the failure of a request whose body was not read."""
    if error.retry_after_ms:
        return failures.not_run(
            error.reason, retry_after_ms=error.retry_after_ms
        )
    return failures.invalid(error.reason)
