"""Codec for the operator's configuration in the platform's store."""

from __future__ import annotations

import typing as ty

from peridotmast.platform import fields as fields_
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb

Json = dict[str, ty.Any]

_ROUTE_PRIORITY = -1
"""Priority value of a team whose requests use the priority of the route."""
_MAX_PRIORITY = 1000
"""Largest request priority in a configuration."""
_TOKEN_UNIT = 'token_stream'
_REQUEST_KIND_NAMES = {
    kind: name for name, kind in names.REQUEST_KINDS.items()
}


def read_version(spec: ty.Any) -> int:
    """Return the version of a document; 0 if missing or malformed."""
    fields = fields_.Fields(spec, 'config')
    version = fields.integer('version', 0)
    return 0 if fields.findings else version


def read_config(spec: ty.Any) -> pb.Config:
    """Convert a document of the platform to a configuration.

    Unknown fields are ignored, because the platform adds fields from time to
    time.

    Raises
    ------
    fields.MalformedDocumentError
        If the document does not conform to the platform's specification. The
        exception lists all findings.
    """
    fields = fields_.Fields(spec, 'config')
    config = pb.Config(
        routes=[_route(item) for item in fields.children('routes')],
        services=[_service(item) for item in fields.children('services')],
        teams=[_team(item) for item in fields.children('tenants')],
        limits=_limits(fields.child('limits') or _empty_object(fields)),
    )
    fields.raise_if_malformed()
    return config


def write_config(config: pb.Config, version: int) -> Json:
    """Convert a configuration to a document of the platform.

    Only the stand-ins of the platform write such documents.
    """
    return {
        'version': version,
        'routes': [_route_json(route) for route in config.routes],
        'services': [_service_json(service) for service in config.services],
        'tenants': [_team_json(team) for team in config.teams],
        'limits': {
            'max-header-bytes': config.limits.max_header_bytes,
            'max-body-bytes': config.limits.max_body_bytes,
            'header-timeout-ms': config.limits.header_timeout_ms,
            'idle-timeout-ms': config.limits.idle_timeout_ms,
        },
    }


def _empty_object(fields: fields_.Fields) -> fields_.Fields:
    """Return a reader for an object without fields."""
    return fields_.Fields({}, 'nothing', fields.findings)


def _route(item: fields_.Fields) -> pb.Route:
    services, weights = _traffic_split(item)
    return pb.Route(
        name=item.string('name'),
        host=item.string('host'),
        prefix=item.string('prefix'),
        kind=item.choice('kind', names.REQUEST_KINDS),
        timeout_ms=item.integer('timeout-ms', minimum=1),
        target_ms=item.integer('target-latency-ms', 1000) or 1000,
        priority=item.integer('priority', 0, maximum=_MAX_PRIORITY),
        attempts=item.integer('attempts', 1) or 1,
        public=item.boolean('public'),
        resumable=item.boolean('resumable'),
        target_gap_ms=item.integer('target-gap-ms', 1000) or 1000,
        services=services,
        weights=weights,
    )


def _traffic_split(item: fields_.Fields) -> tuple[list[str], list[int]]:
    """Return the services of a route and their weights."""
    parts = item.children('traffic-split')
    if not parts:
        return [item.string('service')], [1]
    return (
        [part.string('service') for part in parts],
        [part.integer('weight') for part in parts],
    )


def _route_json(route: pb.Route) -> Json:
    weights = route.weights or [1] * len(route.services)
    return {
        'name': route.name,
        'host': route.host,
        'prefix': route.prefix,
        'kind': _REQUEST_KIND_NAMES[route.kind],
        'timeout-ms': route.timeout_ms,
        'target-latency-ms': route.target_ms,
        'priority': route.priority,
        'attempts': route.attempts,
        'public': route.public,
        'resumable': route.resumable,
        'target-gap-ms': route.target_gap_ms,
        'traffic-split': [
            {'service': service, 'weight': weight}
            for service, weight in zip(route.services, weights)
        ],
    }


def _service(item: fields_.Fields) -> pb.Service:
    service = pb.Service(
        name=item.string('name'),
        max_connections=item.integer('max-conns', 256) or 256,
        slots=item.integer('capacity-slots', 1) or 1,
    )
    engine = item.child('engine')
    if engine is not None:
        service.engine = True
        service.slots = engine.integer('capacity-slots', minimum=1)
        service.memory_tokens = engine.integer('kv-tokens', minimum=1)
        service.token_bytes = engine.number('kv-bytes', 0)
        service.moves = engine.boolean('moves')
        service.handle_ms = int(1000 * engine.number('handle-s', 0))
        service.event_tokens = engine.integer('stride', 1) or 1
    scale = item.child('scale')
    if scale is not None:
        _read_scale(service, scale)
    return service


def _read_scale(service: pb.Service, scale: fields_.Fields) -> None:
    prices = scale.numbers('zone-prices')
    service.scaled = True
    service.scale_min = scale.integer('min', 0)
    service.scale_max = scale.integer('max')
    service.boot_ms = int(1000 * scale.number('boot-s'))
    service.reclaimable_price = scale.number('spot-price', 1) or 1
    service.domains.extend(prices)
    service.prices.extend(prices.values())


def _service_json(service: pb.Service) -> Json:
    item: Json = {
        'name': service.name,
        'health-path': names.HEALTH_PATH,
        'max-conns': service.max_connections,
    }
    if service.engine:
        item['engine'] = {
            'capacity-slots': service.slots,
            'kv-tokens': service.memory_tokens,
            'kv-bytes': service.token_bytes,
            'moves': service.moves,
            'handle-s': service.handle_ms / 1000,
            'stride': service.event_tokens,
        }
    if service.scaled:
        item['scale'] = {
            'min': service.scale_min,
            'max': service.scale_max,
            'boot-s': service.boot_ms / 1000,
            'spot-price': service.reclaimable_price,
            'zone-prices': dict(zip(service.domains, service.prices)),
        }
    return item


def _team(item: fields_.Fields) -> pb.Team:
    return pb.Team(
        name=item.string('name'),
        keys=item.strings('api-keys'),
        priority=item.integer(
            'priority', _ROUTE_PRIORITY, maximum=_MAX_PRIORITY
        ),
        rate=item.number('rate-per-s', 0),
        burst=item.number('burst', 0),
        by_tokens=item.has('unit') and item.string('unit') == _TOKEN_UNIT,
        default_tokens=item.integer('uncached-tokens', 1) or 1,
        weight=1,
    )


def _team_json(team: pb.Team) -> Json:
    item: Json = {
        'name': team.name,
        'api-keys': list(team.keys),
        'rate-per-s': team.rate,
        'burst': team.burst,
    }
    if team.by_tokens:
        item['unit'] = _TOKEN_UNIT
        item['uncached-tokens'] = team.default_tokens
    if team.priority != _ROUTE_PRIORITY:
        item['priority'] = team.priority
    return item


def _limits(item: fields_.Fields) -> pb.CallerLimits:
    return pb.CallerLimits(
        max_header_bytes=item.integer('max-header-bytes', 16384) or 16384,
        max_body_bytes=item.integer('max-body-bytes', 1 << 22) or 1 << 22,
        header_timeout_ms=item.integer('header-timeout-ms', 3000) or 3000,
        idle_timeout_ms=item.integer('idle-timeout-ms', 15000) or 15000,
    )
