"""HTTP API for callers: chat completions and service calls."""

from __future__ import annotations

import hashlib
import json
import re
import typing as ty
import uuid


from peridotmast import clock as clock_
from peridotmast.coordination import config_feed as config_feed_
from peridotmast.coordination import members as members_
from peridotmast.coordination import router_selector
from peridotmast import failures
from peridotmast import logs
from peridotmast.router import chat_answers
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast import schema_json
from peridotmast.serving import continuation
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import gateway as gateway_
from peridotmast import tracing
from peridotmast import web
from peridotmast.wire import caller_connection
from peridotmast.wire import framing

MAX_REQUEST_ID_LENGTH = 120
"""Maximum length of a caller's request id, in characters."""

PRIORITIES = {'interactive': 0, 'standard': 1, 'draft': 2}
"""Priority of a request by its kind of work; 0 is the highest."""

_DEADLINES_MS = {
    'interactive': 30_000,
    'standard': 60_000,
    'draft': 600_000,
}
_REQUEST_ID = re.compile(r'[A-Za-z0-9._:-]+')
_DEFAULT_MAX_TOKENS = 256
_MAX_RESOLVED = 3
_AUTH_SCHEME = 'bearer '


class ChatApi:
    """Serves chat completions and service calls through the gateway.

    Parameters
    ----------
    clock : clock.Clock
        Times requests.
    feed : config_feed.ConfigFeed
        Models and routes.
    gateway : gateway.Gateway
        Handles the requests.
    members : members.Members
        Routers that callers may use.
    keep_ms : int
        How long callers may cache resolved addresses.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        feed: config_feed_.ConfigFeed,
        gateway: gateway_.Gateway,
        members: members_.Members,
        keep_ms: int,
    ) -> None:
        self._clock = clock
        self._feed = feed
        self._gateway = gateway
        self._router_selector = router_selector.RouterSelector(
            members, _MAX_RESOLVED
        )
        self._keep_ms = keep_ms
        self._log = logs.get('chat')

    def add_routes(self, app: web.WebApp) -> None:
        """Register the handlers with `app`."""
        app.route('POST', '/v1/chat/completions', self._chat)
        app.route('POST', '/v1/services/([^/]+)/([^/]+)', self._service)
        app.route('GET', '/resolve', self._resolve)

    def _chat(self, req: web.Request) -> web.Response:
        parsed = self._read_chat(req)
        if isinstance(parsed, failures.Failure):
            return web.failure_response(parsed)
        incoming, body = parsed
        reply = self._gateway.handle(incoming)
        if isinstance(reply, failures.Failure):
            return web.failure_response(
                reply, incoming.id, _http_status(reply)
            )
        answer = chat_answers.ChatAnswer(
            reply, incoming.id, body.model, _reserve_until_deadline(incoming)
        )
        if answer.has_failed or not body.stream:
            return answer.completion()
        headers = [
            ('X-Request-Id', incoming.id),
            ('Cache-Control', 'no-cache'),
        ]
        return web.Response(
            200,
            answer.event_stream(),
            continuation.EVENT_STREAM,
            headers,
            answer.close,
        )

    def _service(
        self, req: web.Request, service: str, name: str
    ) -> web.Response:
        incoming = self._read_service(req, service, name)
        if isinstance(incoming, failures.Failure):
            return web.failure_response(incoming)
        reply = self._gateway.handle(incoming)
        if isinstance(reply, failures.Failure):
            return web.failure_response(
                reply, incoming.id, _http_status(reply)
            )
        try:
            body = chat_answers.read_body(
                reply, _reserve_until_deadline(incoming)
            )
        finally:
            reply.close()
        if isinstance(body, failures.Failure):
            return web.failure_response(body, incoming.id)
        response = web.Response(reply.head.status, body, 'text/plain')
        if reply.head.framing is framing.Framing.CONNECTION:
            response.ends_with_connection = True
        response.headers.append(('X-Request-Id', incoming.id))
        return response

    def _resolve(self, req: web.Request) -> web.Response:
        domain = req.query.get('failure_domain', '')
        routers = self._router_selector.select(
            domain, lambda m: bool(m.chat_address)
        )
        return web.json_response(
            {
                'addresses': [member.chat_address for member in routers],
                'keep_ms': self._keep_ms,
            }
        )

    def _read_chat(
        self, req: web.Request
    ) -> ty.Union[
        tuple[gateway_.IncomingRequest, pb.ChatRequest], failures.Failure
    ]:
        body = _parse(req, pb.ChatRequest())
        if isinstance(body, failures.Failure):
            return body
        config = self._feed.config
        model = next((m for m in config.models if m.name == body.model), None)
        if model is None:
            unknown = failures.invalid('unknown_model', body.model[:80])
            return self._gateway.retryable_if_stale(unknown)
        if body.adapter and body.adapter not in model.adapters:
            unknown = failures.invalid('unknown_adapter', body.adapter[:80])
            return self._gateway.retryable_if_stale(unknown)
        max_tokens = body.max_tokens or min(
            _DEFAULT_MAX_TOKENS, model.max_tokens
        )
        if not 1 <= max_tokens <= model.max_tokens:
            beyond = failures.invalid(
                'max_tokens', f'must be from 1 to {model.max_tokens}'
            )
            return self._gateway.retryable_if_stale(beyond)
        if not body.messages:
            return failures.invalid('messages', 'at least one is needed')
        route = next((r for r in config.routes if r.name == model.route), None)
        if route is None:
            return failures.not_run('no_route', model.route)
        incoming = self._build_request(req, body, route, 'chat')
        if isinstance(incoming, failures.Failure):
            return incoming
        if body.HasField('idempotent') and not body.idempotent:
            incoming.route = _without_retries(route)
        content = {
            'model': body.model,
            'adapter': body.adapter,
            'messages': [[m.role, m.content] for m in body.messages],
            'max_tokens': max_tokens,
        }
        incoming.body = json.dumps(content).encode()
        incoming.needs_known_end = True
        incoming.prompt = _prompt(body, max_tokens)
        return incoming, body

    def _read_service(
        self, req: web.Request, service: str, name: str
    ) -> ty.Union[gateway_.IncomingRequest, failures.Failure]:
        body = _parse(req, pb.ServiceRequest())
        if isinstance(body, failures.Failure):
            return body
        kind = pb.NON_IDEMPOTENT
        if not body.HasField('idempotent') or body.idempotent:
            kind = pb.IDEMPOTENT
        route = next(
            (
                route
                for route in self._feed.config.routes
                if service in route.services and route.kind == kind
            ),
            None,
        )
        if route is None:
            missing = failures.missing('no_route', service[:80])
            return self._gateway.retryable_if_stale(missing)
        incoming = self._build_request(req, body, route, name)
        if not isinstance(incoming, failures.Failure):
            incoming.body = body.payload.encode()
        return incoming

    def _build_request(
        self, req: web.Request, body: ty.Any, route: pb.Route, path: str
    ) -> ty.Union[gateway_.IncomingRequest, failures.Failure]:
        """Return a request with the fields of both chat and service calls."""
        request_id = body.request_id or req.header('X-Request-Id')
        if request_id and (
            len(request_id) > MAX_REQUEST_ID_LENGTH
            or not _REQUEST_ID.fullmatch(request_id)
        ):
            return failures.invalid(
                'request_id',
                f'at most {MAX_REQUEST_ID_LENGTH} of A-Z a-z 0-9 . _ : -',
            )
        work = body.work or req.header('X-Work') or 'standard'
        if work not in PRIORITIES:
            return failures.invalid('work', 'interactive, standard or draft')
        if body.deadline_ms < 0:
            return failures.invalid('deadline_past', 'deadline_ms is negative')
        request_id = request_id or uuid.uuid4().hex
        return gateway_.IncomingRequest(
            id=request_id,
            method='POST',
            target=route.prefix + path,
            host=route.host,
            key=_bearer_token(req.header('Authorization')),
            headers=[('Host', route.host), ('Content-Type', web.JSON)],
            body=b'',
            arrived_at=self._clock.now(),
            caller_timeout_ms=body.deadline_ms or _DEADLINES_MS[work],
            prompt=exchange_.Prompt(),
            caller=ty.cast(caller_connection.CallerConnection, req.connection),
            route=route,
            priority=PRIORITIES[work],
            traceparent=req.header(tracing.TRACEPARENT),
        )


def _reserve_until_deadline(
    incoming: gateway_.IncomingRequest,
) -> chat_answers.Reserve:
    """Return what reserves memory for the answer to a request."""
    deadline = incoming.arrived_at + incoming.caller_timeout_ms
    return lambda size: incoming.caller.reserve_answer(size, deadline)


def _parse(
    req: web.Request, message: ty.Any
) -> ty.Union[ty.Any, failures.Failure]:
    try:
        return schema_json.parse(json.loads(req.body or b'{}'), message)
    except (ValueError, RecursionError) as exc:
        return failures.invalid('malformed', str(exc)[:200])


def _bearer_token(authorization: str) -> str:
    if authorization.lower().startswith(_AUTH_SCHEME):
        return authorization[len(_AUTH_SCHEME) :].strip()
    return ''


def _without_retries(route: pb.Route) -> pb.Route:
    """Return a copy of the route that allows a single attempt."""
    single = pb.Route()
    single.CopyFrom(route)
    single.resumable = False
    single.attempts = 1
    return single


def _prompt(body: pb.ChatRequest, max_tokens: int) -> exchange_.Prompt:
    """Return the prompt split into instructions, history and last message.

    Words are counted as tokens; the parts are only used to find engines that
    already hold a prefix of the prompt in memory.
    """
    groups: dict[str, list[str]] = {'system': [], 'history': [], 'own': []}
    for message in body.messages[:-1]:
        kind = 'system' if message.role == 'system' else 'history'
        groups[kind].append(message.content)
    groups['own'].append(body.messages[-1].content)
    digest = hashlib.blake2b(f'{body.model}|{body.adapter}'.encode())
    parts = []
    for texts in groups.values():
        words = ' '.join(texts).split()
        digest.update(' '.join(words).encode())
        if words:
            name = digest.hexdigest()[:16]
            parts.append(exchange_.PromptPart(name, len(words)))
    return exchange_.Prompt(
        model=body.model,
        tokens_in=max(1, sum(part.tokens for part in parts)),
        tokens_out=max_tokens,
        parts=tuple(parts),
    )


def _http_status(failure: failures.Failure) -> int:
    """Return the HTTP status for failures with a special one, else 0."""
    is_not_run = failure.kind is failures.FailureKind.NOT_RUN
    if is_not_run and failure.reason == 'team_limit':
        return 429
    return 401 if failure.reason == 'no_key' else 0
