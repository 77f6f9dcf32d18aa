"""Where every face hands its requests in: checks, route, team, limits."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import demand as demand_
from peridotmast.serving import dispatcher as dispatcher_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import quota as quota_
from peridotmast.serving import reply as reply_
from peridotmast.serving import route_table
from peridotmast.serving import urgency
from peridotmast import tracing
from peridotmast.wire import connection

_START_RETRY_MS = 500
"""What a caller is told to wait for a router that knows no configuration."""

_BEHIND_RETRY_MS = 300
"""What a caller is told to wait where this router knows that it is behind: on
thin links a large configuration goes from 31 to 252 of 330 routers in this
time (links of the feature `spread`), and the next try goes to any of them."""

_ELSEWHERE_MS = 50
"""What a caller is told to wait where it need only ask another router."""


@dataclasses.dataclass
class IncomingRequest:
    """A request as a face has read it."""

    id: str
    method: str
    target: str
    host: str
    key: str
    """Key that names the team; empty where there is none."""
    headers: connection.Headers
    """Headers that may go on to an upstream."""
    body: bytes
    arrived_at: int
    """Moment of its arrival on the router's clock, in ms."""
    caller_timeout_ms: int
    """How long the caller waits from then on; 0 where it did not say."""
    prompt: exchange_.Prompt
    caller: exchange_.Caller
    route: ty.Optional[pb.Route] = None
    """Route that the face has chosen; else host and target tell it."""
    priority: ty.Optional[int] = None
    """Rank that the face has chosen; else team and route tell it."""
    traceparent: str = ''
    """Trace that the request belongs to."""


class Gateway:
    """Takes requests in from all faces.

    Parameters
    ----------
    clock : clock.Clock
        Times requests.
    dispatcher : dispatcher.Dispatcher
        Gets them answered.
    quota : quota.Quota
        Limits of the teams.
    demand : demand.Demand
        Counts what is asked for.
    metrics : metrics.ServingMetrics
        Counts them.
    decisions : decisions.Decisions
        Notes what was decided on each.
    tracer : tracing.Tracing
        Opens a span for each.
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
    ) -> None:
        self._clock = clock
        self._dispatcher = dispatcher
        self._decisions = decisions
        self._tracer = tracer
        self._quota = quota
        self._demand = demand
        self._metrics = metrics
        self._routes: ty.Optional[route_table.RouteTable] = None
        self._takes_all_until = 0
        self._leaves_at: ty.Optional[int] = None
        self.config_is_stale: ty.Callable[[], bool] = lambda: False
        """Says whether a newer configuration is known to be in force at a
        peer."""
        self.take_quota: ty.Callable[[str, int], int] = quota.take
        """Lets a team's tokens pass, or says how long to wait, in ms."""
        self.in_flight = 0
        """Requests that are being answered."""

    def drain(self, accept_all_until: int, ends_at: int) -> None:
        """Take less and less on: the router ends at `ends_at`, in ms.

        From `accept_all_until` on, only what is answered by then in any
        case: the others would be cut off by the end.
        """
        self._takes_all_until = accept_all_until
        self._leaves_at = ends_at

    def close(self) -> None:
        """Pass on nothing any more: the router ends now."""
        self._takes_all_until, self._leaves_at = 0, 0

    def configure(self, config: pb.Config) -> None:
        """Put a configuration into force."""
        self._routes = route_table.RouteTable(config)
        self._quota.configure(config.teams)

    def handle(
        self, asked: IncomingRequest
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        """Return the answer, or why there is none.

        Where it is a `reply.Reply`, its ``close`` must be called.
        """
        self.in_flight += 1
        span = self._tracer.start(
            'router.request', asked.traceparent, request=asked.id
        )
        asked.traceparent = self._tracer.traceparent_of(span)
        result: ty.Union[reply_.Reply, failures.Failure, None] = None
        try:
            result = self._handle(asked, span)
        finally:
            if not isinstance(result, reply_.Reply):
                self.in_flight -= 1
                span.end()
        return result

    def retryable_if_stale(
        self, failure: failures.Failure
    ) -> failures.Failure:
        """Return a final "no", but not from what is old, or nothing yet.

        Callers don't ask again after it; what they ask for may be in the
        newer configuration that is on its way here.
        """
        why, retry_ms = self._outdated()
        if not why:
            return failure
        detail = f'{failure.reason} {failure.detail}'.strip()
        return failures.not_run(why, detail, retry_ms)

    def retry_ms(self) -> int:
        """Return when to come back who was told "no" here; 0 for never."""
        return self._outdated()[1]

    def _outdated(self) -> tuple[str, int]:
        """Return why a "no" is not final here, and when to come back."""
        if self._routes is None:
            return 'no_config', _START_RETRY_MS
        if self.config_is_stale():
            return 'config_behind', _BEHIND_RETRY_MS
        return '', 0

    def _handle(
        self, asked: IncomingRequest, span: tracing.Span
    ) -> ty.Union[reply_.Reply, failures.Failure]:
        found = self._read(asked)
        if isinstance(found, failures.Failure):
            return self._refused(asked, found, '')
        exchange, service = found
        if self._is_too_late(exchange):
            failure = failures.not_run('leaving', '', _ELSEWHERE_MS)
            return self._refused(asked, failure, service.name)
        wait_ms = self.take_quota(exchange.team, exchange.cost)
        if wait_ms:
            failure = failures.not_run(
                'team_limit', self._quota.describe(exchange.team), wait_ms
            )
            return self._refused(asked, failure, service.name)
        self._demand.count_request(service.name, exchange.prompt.tokens_in)
        result = self._dispatcher.answer(exchange, service)
        if isinstance(result, failures.Failure):
            if result.kind is failures.FailureKind.NOT_RUN:
                self._quota.refund(exchange.team, exchange.cost)
            return self._refused(asked, result, service.name)
        return self._begun(exchange, service, result, span)

    def _is_too_late(self, exchange: exchange_.Exchange) -> bool:
        """Return whether the router may be gone before the answer is."""
        leaves_at = self._leaves_at
        if leaves_at is None or exchange.arrived_at < self._takes_all_until:
            return False
        return exchange.deadline > leaves_at

    def _begun(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        reply: reply_.Reply,
        span: tracing.Span,
    ) -> reply_.Reply:
        """Count an answer that has begun, and its end when it comes."""
        priority = str(exchange.priority)
        waited = self._clock.now() - exchange.arrived_at
        outcome = str(reply.head.status)
        self._metrics.requests.labels(service.name, outcome).inc()
        self._metrics.first_byte.labels(service.name, priority).observe(
            waited / 1000
        )
        close = reply.close

        def close_and_count() -> None:
            close()
            span.end()
            self.in_flight -= 1
            took = self._clock.now() - exchange.arrived_at
            self._metrics.answer_time.labels(service.name, priority).observe(
                took / 1000
            )
            self._decisions.note(
                exchange.id,
                'answered',
                route=exchange.route.name,
                team=exchange.team,
                upstream=reply.upstream,
                status=outcome,
                first_ms=waited,
                target_ms=exchange.route.target_ms,
                ms=took,
            )

        reply.close = close_and_count
        return reply

    def _read(
        self, asked: IncomingRequest
    ) -> ty.Union[tuple[exchange_.Exchange, pb.Service], failures.Failure]:
        routes = self._routes
        if routes is None:
            return failures.not_run('no_config', '', _START_RETRY_MS)
        route = asked.route or routes.route(
            asked.host, asked.target.partition('?')[0]
        )
        if route is None:
            missing = failures.missing('no_route', asked.target[:80])
            return self.retryable_if_stale(missing)
        team = routes.team_of(asked.key) if asked.key else None
        if team is None and routes.requires_key and not route.public:
            return self.retryable_if_stale(failures.invalid('no_key'))
        service = routes.services.get(routes.pick_service(route))
        if service is None:
            return failures.not_run('no_service', route.name)
        deadline = asked.arrived_at + route.timeout_ms
        if asked.caller_timeout_ms:
            deadline = min(
                deadline, asked.arrived_at + asked.caller_timeout_ms
            )
        priority = _priority(asked, route, team)
        exchange = exchange_.Exchange(
            id=asked.id,
            method=asked.method,
            target=asked.target,
            headers=asked.headers,
            body=asked.body,
            route=route,
            team=team.name if team else '',
            priority=priority,
            urgency=urgency.level(
                priority,
                asked.prompt.tokens_in,
                route.target_ms,
                self._demand.prefill_rate(service.name),
            ),
            arrived_at=asked.arrived_at,
            deadline=deadline,
            caller=asked.caller,
            prompt=asked.prompt,
            cost=_cost(asked.prompt, team),
            traceparent=asked.traceparent,
        )
        return exchange, service

    def _refused(
        self, asked: IncomingRequest, failure: failures.Failure, service: str
    ) -> failures.Failure:
        self._metrics.requests.labels(service, failure.reason).inc()
        self._decisions.note(
            asked.id,
            'refused',
            reason=failure.reason,
            kind=failure.kind.value,
            detail=failure.detail,
            retry_after_ms=failure.retry_after_ms,
            ms=self._clock.now() - asked.arrived_at,
        )
        return failure


def _priority(
    asked: IncomingRequest, route: pb.Route, team: ty.Optional[pb.Team]
) -> int:
    if asked.priority is not None:
        return asked.priority
    if team is not None and team.priority >= 0:
        return team.priority
    return route.priority


def _cost(prompt: exchange_.Prompt, team: ty.Optional[pb.Team]) -> int:
    """Return what a request counts towards its team's limit."""
    if team is None:
        return 0
    if not team.by_tokens:
        return 1
    return prompt.tokens_in + prompt.tokens_out or team.default_tokens
