"""What live events ask for, when it is ordered, and why."""

from __future__ import annotations

import dataclasses
import datetime
import math
import typing as ty

from peridotmast.duties import capacity_plan
from peridotmast.schema import peridotmast_pb2 as pb

_WIDTH = 60


@dataclasses.dataclass(frozen=True)
class Reservation:
    """The upstreams of one service that one event needs, and when."""

    event: str
    service: str
    needed: int
    """Upstreams that carry the expected load."""
    order_at: int
    """When they are ordered, in ms since 1970."""
    starts_at: int
    release_at: int
    mix: capacity_plan.Mix
    """What they cost least as."""
    price: float
    """Price of that, in upstreams of price 1."""

    def is_active(self, now: int) -> bool:
        """Return whether its upstreams are wanted at `now`."""
        return self.order_at <= now < self.release_at


def plan(config: pb.Config, now: int) -> list[Reservation]:
    """Return the phases of the events that are not over at `now`."""
    models = {model.name: model for model in config.models}
    routes = {route.name: route for route in config.routes}
    services = {service.name: service for service in config.services}
    phases = []
    for event in config.events:
        ends = event.start_ms + event.duration_ms + config.policy.linger_ms
        model = models.get(event.model)
        route = routes.get(model.route) if model is not None else None
        if model is None or route is None or ends <= now:
            continue
        phases += [
            _phase(event, model, services[name], config.policy, ends)
            for name in route.services
            if name in services and services[name].scaled
        ]
    return phases


def upstreams_needed(
    phases: ty.Iterable[Reservation], service: str, now: int
) -> int:
    """Return the upstreams of `service` that events need at `now`."""
    due = [p for p in phases if p.service == service and p.is_active(now)]
    return sum(phase.needed for phase in due)


def explain(phases: ty.Sequence[Reservation]) -> list[str]:
    """Return the plan as lines for operators, with a timeline."""
    lines = []
    for phase in sorted(phases, key=lambda phase: phase.order_at):
        hours = (phase.release_at - phase.order_at) / 3_600_000
        lines += [
            f'{_when(phase.order_at)}  order {phase.mix.total} of '
            f'{phase.service} for {phase.event}, '
            f'{phase.price:.2f} an hour, {phase.price * hours:.2f} in all',
            f'{"":21}{phase.mix.describe()}; {phase.needed} carry the load',
            f'{_when(phase.starts_at)}  {phase.event} opens',
            f'{_when(phase.release_at)}  give them back',
        ]
    return lines + _timeline(phases)


def _phase(
    event: pb.Event,
    model: pb.Model,
    service: pb.Service,
    policy: pb.Policy,
    ends: int,
) -> Reservation:
    load = event.tokens_per_second * policy.headroom
    needed = max(1, math.ceil(load / model.vm_tokens_per_second))
    market = capacity_plan.market_of(service)
    mix = capacity_plan.cheapest_mix(market, needed)
    lead = service.boot_ms + policy.warmup_ms + policy.margin_ms
    return Reservation(
        event.name,
        service.name,
        needed,
        event.start_ms - lead,
        event.start_ms,
        ends,
        mix,
        market.price(mix),
    )


def _when(ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(ms / 1000, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S')


def _timeline(phases: ty.Sequence[Reservation]) -> list[str]:
    """Draw each phase: ``.`` getting ready, ``#`` open or lingering."""
    if not phases:
        return []
    first = min(phase.order_at for phase in phases)
    last = max(phase.release_at for phase in phases)
    scale = _WIDTH / max(1, last - first)
    lines = ['']
    for phase in phases:
        start = int((phase.order_at - first) * scale)
        opens = int((phase.starts_at - first) * scale)
        ends = int((phase.release_at - first) * scale)
        bar = ' ' * start + '.' * (opens - start) + '#' * (ends - opens)
        lines.append(f'{phase.event:>16} |{bar:<{_WIDTH}}|')
    return lines
