"""Planning of the upstreams for live events: number, order time, cost."""

from __future__ import annotations

import dataclasses
import datetime
import math
import typing as ty

from peridotmast.duties import capacity_plan
from peridotmast.schema import peridotmast_pb2 as pb

_TIMELINE_WIDTH = 60


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Upstreams of one service that are reserved for one event."""

    event: str
    service: str
    needed: int
    """Number of upstreams that carry the expected load."""
    order_at: int
    """Time at which the upstreams are ordered, in ms since 1970."""
    starts_at: int
    """Time at which the event starts, in ms since 1970."""
    release_at: int
    """Time at which the upstreams are released, in ms since 1970."""
    mix: capacity_plan.Mix
    """Cheapest mix that keeps `needed` upstreams after losing a domain."""
    price: float
    """Price of the mix, in the unit of the service's prices."""

    def is_active(self, now: int) -> bool:
        """Return whether the upstreams are needed at `now`."""
        return self.order_at <= now < self.release_at


def plan(config: pb.Config, now: int) -> list[Reservation]:
    """Return the reservations of all events that have not ended at `now`."""
    models = {model.name: model for model in config.models}
    routes = {route.name: route for route in config.routes}
    services = {service.name: service for service in config.services}
    reservations = []
    for event in config.events:
        release_at = (
            event.start_ms + event.duration_ms + config.policy.linger_ms
        )
        model = models.get(event.model)
        route = routes.get(model.route) if model is not None else None
        if model is None or route is None or release_at <= now:
            continue
        reservations += [
            _reservation(
                event, model, services[name], config.policy, release_at
            )
            for name in route.services
            if name in services and services[name].scaled
        ]
    return reservations


def upstreams_needed(
    reservations: ty.Iterable[Reservation], service: str, now: int
) -> int:
    """Return the number of upstreams of `service` for events at `now`."""
    active = [
        item
        for item in reservations
        if item.service == service and item.is_active(now)
    ]
    return sum(item.needed for item in active)


def explain(reservations: ty.Sequence[Reservation]) -> list[str]:
    """Return the plan as lines of text for operators, with a timeline."""
    lines = []
    for item in sorted(reservations, key=lambda item: item.order_at):
        hours = (item.release_at - item.order_at) / 3_600_000
        lines += [
            f'{_format_time(item.order_at)}  order {item.mix.total} of '
            f'{item.service} for {item.event}, '
            f'{item.price:.2f} an hour, {item.price * hours:.2f} in all',
            f'{"":21}{item.mix.describe()}; {item.needed} carry the load',
            f'{_format_time(item.starts_at)}  {item.event} opens',
            f'{_format_time(item.release_at)}  release the upstreams',
        ]
    return lines + _timeline(reservations)


def _reservation(
    event: pb.Event,
    model: pb.Model,
    service: pb.Service,
    policy: pb.Policy,
    release_at: int,
) -> Reservation:
    rate = event.tokens_per_second * policy.headroom
    needed = max(1, math.ceil(rate / model.vm_tokens_per_second))
    market = capacity_plan.market_of(service)
    mix = capacity_plan.cheapest_mix(market, needed)
    lead_ms = service.boot_ms + policy.warmup_ms + policy.margin_ms
    return Reservation(
        event.name,
        service.name,
        needed,
        event.start_ms - lead_ms,
        event.start_ms,
        release_at,
        mix,
        market.price(mix),
    )


def _format_time(ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(ms / 1000, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S')


def _timeline(reservations: ty.Sequence[Reservation]) -> list[str]:
    """Draw each reservation: ``.`` before its event, ``#`` from its start."""
    if not reservations:
        return []
    first = min(item.order_at for item in reservations)
    last = max(item.release_at for item in reservations)
    scale = _TIMELINE_WIDTH / max(1, last - first)
    lines = ['']
    for item in reservations:
        order = int((item.order_at - first) * scale)
        start = int((item.starts_at - first) * scale)
        release = int((item.release_at - first) * scale)
        bar = ' ' * order + '.' * (start - order) + '#' * (release - start)
        lines.append(f'{item.event:>16} |{bar:<{_TIMELINE_WIDTH}}|')
    return lines
