"""Admission of requests from all APIs: route, team, limits, metrics."""

from __future__ import annotations

import dataclasses
import functools
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import demand as demand_
from peridotmast.serving import dispatcher as dispatcher_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import peer_sender as peer_sender_
from peridotmast.serving import quota as quota_
from peridotmast.serving import reply as reply_
from peridotmast.serving import route_table
from peridotmast.serving.scarcity import control as scarcity_
from peridotmast.serving import urgency
from peridotmast import tracing
from peridotmast.wire import connection

_NO_CONFIG_RETRY_MS = 500
"""Retry time sent by a router that has no configuration yet, in ms."""

_STALE_CONFIG_RETRY_MS = 300
"""Retry time sent by a router that knows that its configuration is outdated,
in ms. In this time, a large configuration spreads from 31 to 252 of 330
routers over the slow links of `features/spread.feature`, and a caller may
retry at any router."""

_OTHER_ROUTER_RETRY_MS = 50
"""Retry time if the caller only has to use another router, in ms."""

_MAX_FORWARDED = 512
"""Maximum number of requests of peers in progress. Each takes two connections,
and small VMs have some 4,000 descriptors."""


_STOPPED = 'stopped'
"""Reason of the failure of a request that its router has not ended before it
stops."""


class _RouterStopped(Exception):
    """Raised in the task of a request that waits while its router stops."""


@dataclasses.dataclass
class IncomingRequest:
    """A request as parsed by one of the APIs."""

    id: str
    method: str
    target: str
    host: str
    key: str
    """API key of the team; empty if there is none."""
    headers: connection.Headers
    """Headers that may be forwarded to an upstream."""
    body: bytes
    arrived_at: int
    """Time of arrival on the router's clock, in ms."""
    caller_timeout_ms: int
    """Time for which the caller waits for the response after the request has
    arrived, in ms; 0 if the caller does not state it."""
    prompt: exchange_.Prompt
    caller: exchange_.Caller
    route: ty.Optional[pb.Route] = None
    """Route selected by the API; if None, it is found by host and target."""
    priority: ty.Optional[int] = None
    """Priority set by the API; if None, that of the team or route applies."""
    resumes: ty.Optional[str] = None
    """Id of the attempt that brought the first event of the stream that the
    caller takes up; empty if it does not state it, None for a new request."""
    last_event: ty.Optional[int] = None
    """Id of the last event that the caller has of the stream that it takes
    up; None if there is none or if it is not known to be a number."""
    needs_known_end: bool = False
    """Whether the API states the end of a stream to the caller."""
    traceparent: str = ''
    """Trace context of the request, as a W3C ``traceparent`` value."""


class Gateway:
    """Admits requests from all APIs and records their results.

    Parameters
    ----------
    clock : clock.Clock
        Clock for arrival times and durations.
    dispatcher : dispatcher.Dispatcher
        Sends admitted requests to upstreams.
    quota : quota.Quota
        Rate limits of the teams.
    demand : demand.Demand
        Counts requested tokens by service.
    metrics : metrics.ServingMetrics
        Counts requests and observes their latencies.
    decisions : decisions.Decisions
        Records the decisions on each request.
    tracer : tracing.Tracing
        Opens a span for each request.
    scarcity : scarcity.control.ScarcityControl
        Orders requests while capacity is short.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        dispatcher: dispatcher_.Dispatcher,
        quota: quota_.Quota,
        demand: demand_.Demand,
        metrics: metrics_.ServingMetrics,
        decisions: decisions_.Decisions,
        tracer: tracing.Tracing,
        scarcity: scarcity_.ScarcityControl,
    ) -> None:
        self._clock = clock
        self._dispatcher = dispatcher
        self._decisions = decisions
        self._tracer = tracer
        self._quota = quota
        self._demand = demand
        self._metrics = metrics
        self._scarcity = scarcity
        self._routes: ty.Optional[route_table.RouteTable] = None
        self._stops_at: ty.Optional[int] = None
        self.config_is_stale: ty.Callable[[], bool] = lambda: False
        """Return whether a peer is known to use a newer configuration."""
        self.take_quota: ty.Callable[[str, int], int] = quota.take
        """Deduct tokens from a team's limit and return 0, or return the time
        after which to retry, in ms."""
        self._forwarded = 0
        self._waiting: set[ty.Any] = set()
        """Tasks of requests whose responses have not begun."""
        self.in_flight = 0
        """Number of requests in progress, until their responses have ended."""

    def drain(self, stops_at: int) -> None:
        """Stop accepting requests that may outlast this router.

        Parameters
        ----------
        stops_at : int
            Time at which the router stops, in ms. A request is accepted only
            if its deadline is not after it.
        """
        self._stops_at = stops_at

    def close(self) -> None:
        """Refuse all new requests: the router stops now."""
        self._stops_at = 0

    def configure(self, config: pb.Config) -> None:
        """Apply a configuration."""
        self._routes = route_table.RouteTable(config)
        self._quota.configure(config.teams)
        self._scarcity.configure(config.services)

    def fail_waiting(self) -> int:
        """Answer requests that wait with a failure; return their number."""
        for task in self._waiting:
            green.call_after_ms(0, functools.partial(self._fail, task))
        return len(self._waiting)

    def _fail(self, task: ty.Any) -> None:
        if task in self._waiting:
            green.raise_in_task(task, _RouterStopped())

    def handle(
        self, request: IncomingRequest
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        """Return the response to a request, or a failure.

        The caller of this method must call ``close`` of a `reply.Reply`.
        """
        self.in_flight += 1
        span = self._tracer.start(
            'router.request', request.traceparent, request=request.id
        )
        request.traceparent = self._tracer.traceparent_of(span)
        result: ty.Union[reply_.Reply, failures.Failure, None] = None
        try:
            result = self._handle(request, span)
        finally:
            if not isinstance(result, reply_.Reply):
                self.in_flight -= 1
                span.end()
        return result

    def handle_forwarded(
        self, exchange: exchange_.Exchange, service: pb.Service
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        """Return the response to a request that a peer has forwarded.

        The peer counts the request for the limits of its team, the demand and
        the usage. The caller must call ``close`` of a `reply.Reply`.
        """
        if self._stops_at is not None:
            return failures.not_run(
                peer_sender_.LEAVING, '', _OTHER_ROUTER_RETRY_MS
            )
        if self._forwarded >= _MAX_FORWARDED:
            return failures.not_run(
                peer_sender_.FULL, '', _OTHER_ROUTER_RETRY_MS
            )
        self._begin_forwarded(1)
        span = self._tracer.start(
            'router.forwarded', exchange.traceparent, request=exchange.id
        )
        exchange.traceparent = self._tracer.traceparent_of(span)
        result: ty.Union[reply_.Reply, failures.Failure, None] = None
        try:
            result = self._dispatch(exchange, service)
        finally:
            if not isinstance(result, reply_.Reply):
                self._begin_forwarded(-1)
                span.end()
        if isinstance(result, failures.Failure):
            return result
        close = result.close

        def close_and_count() -> None:
            close()
            span.end()
            self._begin_forwarded(-1)

        result.close = close_and_count
        return result

    def _begin_forwarded(self, change: int) -> None:
        """Count a forwarded request that begins, or that ends if -1."""
        self._forwarded += change
        self.in_flight += change

    def retryable_if_stale(
        self, failure: failures.Failure
    ) -> failures.Failure:
        """Return `failure`, made retryable if the configuration is outdated.

        Callers do not retry a permanent failure, although a newer
        configuration that has not arrived here yet may allow the request.
        """
        reason, retry_ms = self._stale_config()
        if not reason:
            return failure
        detail = f'{failure.reason} {failure.detail}'.strip()
        return failures.not_run(reason, detail, retry_ms)

    def retry_ms(self) -> int:
        """Return the retry time of a rejected request, in ms; 0 for none."""
        return self._stale_config()[1]

    def _stale_config(self) -> tuple[str, int]:
        """Return why a rejection is not final, and its retry time in ms."""
        if self._routes is None:
            return 'no_config', _NO_CONFIG_RETRY_MS
        if self.config_is_stale():
            return 'config_behind', _STALE_CONFIG_RETRY_MS
        return '', 0

    def _handle(
        self, request: IncomingRequest, span: tracing.Span
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        admitted = self._resolve(request)
        if isinstance(admitted, failures.Failure):
            return self._record_refusal(request, admitted, '')
        exchange, service = admitted
        if self._outlasts_router(exchange):
            failure = failures.not_run('leaving', '', _OTHER_ROUTER_RETRY_MS)
            return self._record_refusal(request, failure, service.name)
        wait_ms = self.take_quota(exchange.team, exchange.cost)
        if wait_ms:
            failure = failures.not_run(
                'team_limit', self._quota.describe(exchange.team), wait_ms
            )
            return self._record_refusal(request, failure, service.name)
        # Also counted if refused for lack of capacity, which must be ordered.
        self._demand.count_request(service.name, exchange.prompt.tokens_in)
        ticket = self._scarcity.admit(exchange, service)
        if isinstance(ticket, failures.Failure):
            self._quota.refund(exchange.team, exchange.cost)
            return self._record_refusal(request, ticket, service.name)
        result: ty.Union[reply_.Reply, failures.Failure, None] = None
        try:
            result = self._dispatch(exchange, service)
        finally:
            if not isinstance(result, reply_.Reply):
                ticket.end()
        if isinstance(result, failures.Failure):
            if result.kind is failures.FailureKind.NOT_RUN:
                self._quota.refund(exchange.team, exchange.cost)
            return self._record_refusal(request, result, service.name)
        return self._record_response(exchange, service, result, span, ticket)

    def _dispatch(
        self, exchange: exchange_.Exchange, service: pb.Service
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        """Return the response to a request, or a failure at the stop."""
        task = green.current()
        self._waiting.add(task)
        try:
            return self._dispatcher.answer(exchange, service)
        except _RouterStopped:
            return failures.unknown(_STOPPED)
        finally:
            self._waiting.discard(task)

    def _outlasts_router(self, exchange: exchange_.Exchange) -> bool:
        """Return whether the router may stop before the request ends."""
        return self._stops_at is not None and (
            exchange.deadline > self._stops_at
        )

    def _record_response(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        reply: reply_.Reply,
        span: tracing.Span,
        ticket: scarcity_.Ticket,
    ) -> reply_.Reply:
        """Count a response that has begun, and record its end when closed."""
        priority = str(exchange.priority)
        waited_ms = self._clock.now() - exchange.arrived_at
        outcome = str(reply.head.status)
        self._metrics.requests.labels(service.name, outcome).inc()
        self._metrics.first_byte.labels(service.name, priority).observe(
            waited_ms / 1000
        )
        close, upstream = reply.close, reply.upstream
        is_success = reply.head.is_success
        if isinstance(reply.body, bytes):
            exchange.drop_body()

        # A reference to `reply` here would keep it, with its body, until the
        # garbage collector runs.
        def close_and_count() -> None:
            close()
            span.end()
            self.in_flight -= 1
            took_ms = self._clock.now() - exchange.arrived_at
            if is_success:
                ticket.end(waited_ms, took_ms)
            else:
                ticket.end()
            self._metrics.answer_time.labels(service.name, priority).observe(
                took_ms / 1000
            )
            self._decisions.note(
                exchange.id,
                'answered',
                route=exchange.route.name,
                team=exchange.team,
                upstream=upstream,
                status=outcome,
                first_ms=waited_ms,
                target_ms=exchange.route.target_ms,
                ms=took_ms,
            )

        reply.close = close_and_count
        return reply

    def _resolve(
        self, request: IncomingRequest
    ) -> ty.Union[tuple[exchange_.Exchange, pb.Service], failures.Failure]:
        routes = self._routes
        if routes is None:
            return failures.not_run('no_config', '', _NO_CONFIG_RETRY_MS)
        route = request.route or routes.route(
            request.host, request.target.partition('?')[0]
        )
        if route is None:
            missing = failures.missing('no_route', request.target[:80])
            return self.retryable_if_stale(missing)
        team = routes.team_of(request.key) if request.key else None
        if team is None and routes.requires_key and not route.public:
            return self.retryable_if_stale(failures.invalid('no_key'))
        service = routes.services.get(routes.pick_service(route))
        if service is None:
            return failures.not_run('no_service', route.name)
        deadline = request.arrived_at + route.timeout_ms
        if request.caller_timeout_ms:
            deadline = min(
                deadline, request.arrived_at + request.caller_timeout_ms
            )
        priority = _priority(request, route, team)
        exchange = exchange_.Exchange(
            id=request.id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            route=route,
            team=team.name if team else '',
            priority=priority,
            urgency=urgency.level(
                priority,
                request.prompt.tokens_in,
                route.target_ms,
                self._demand.prefill_rate(service.name),
            ),
            arrived_at=request.arrived_at,
            deadline=deadline,
            caller=request.caller,
            prompt=request.prompt,
            cost=_cost(request.prompt, team),
            resumes=request.resumes,
            last_event=request.last_event if route.resumable else None,
            needs_known_end=request.needs_known_end,
            traceparent=request.traceparent,
        )
        return exchange, service

    def _record_refusal(
        self, request: IncomingRequest, failure: failures.Failure, service: str
    ) -> failures.Failure:
        self._metrics.requests.labels(service, failure.reason).inc()
        self._decisions.note(
            request.id,
            'refused',
            reason=failure.reason,
            kind=failure.kind.value,
            detail=failure.detail,
            retry_after_ms=failure.retry_after_ms,
            ms=self._clock.now() - request.arrived_at,
        )
        return failure


def _priority(
    request: IncomingRequest, route: pb.Route, team: ty.Optional[pb.Team]
) -> int:
    if request.priority is not None:
        return request.priority
    if team is not None and team.priority >= 0:
        return team.priority
    return route.priority


def _cost(prompt: exchange_.Prompt, team: ty.Optional[pb.Team]) -> int:
    """Return the cost of a request under the limit of its team.

    In tokens, or 1 if the limit of the team is in requests.
    """
    if team is None:
        return 0
    if not team.by_tokens:
        return 1
    return prompt.tokens_in + prompt.tokens_out or team.default_tokens
