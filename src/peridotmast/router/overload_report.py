"""What a router holds for clients and does against overload: metrics, log."""

from __future__ import annotations

import collections
import typing as ty

import prometheus_client

from peridotmast import clock as clock_
from peridotmast import logs
from peridotmast.wire.overload import events as events_
from peridotmast.wire.overload import shared_resources
from peridotmast.wire import server as server_

_LOG_INTERVAL_MS = 1000
"""Minimum time between two log lines: clients decide how much there is to
report."""


class OverloadReport:
    """Reports the resources that the servers of a router share.

    Parameters
    ----------
    router : str
        Name of the router.
    clock : clock.Clock
        Times the log lines.
    shared : shared_resources.SharedResources
        What the servers share.
    servers : dict of str to server.HttpServer
        The servers by name.
    registry : prometheus_client.CollectorRegistry
        Registry of the metrics.
    rpc_connections : int
        Maximum number of gRPC connections, which the library keeps to; it
        does not tell how many there are.
    """

    def __init__(
        self,
        router: str,
        clock: clock_.Clock,
        shared: shared_resources.SharedResources,
        servers: ty.Mapping[str, server_.HttpServer],
        registry: prometheus_client.CollectorRegistry,
        rpc_connections: int,
    ) -> None:
        self._clock = clock
        self._shared = shared
        self._servers = servers
        self._log = logs.get('overload', router=router)
        self._reported: collections.Counter[events_.OverloadEvent] = (
            collections.Counter()
        )
        self._logged_at = clock.now() - _LOG_INTERVAL_MS
        self._counter = prometheus_client.Counter(
            'peridotmast_overload',
            'Actions against overload by clients, by kind.',
            ['action'],
            registry=registry,
        )
        self._create_gauges(registry, rpc_connections)

    def tick(self) -> None:
        """Count new actions, and log them at most once a second."""
        now = self._clock.now()
        if now - self._logged_at < _LOG_INTERVAL_MS:
            return
        new = self._shared.events.counts - self._reported
        if not new:
            return
        self._logged_at = now
        self._reported += new
        for event, count in new.items():
            self._counter.labels(event.value).inc(count)
        memory = self._shared.memory
        self._log.warning(
            'overload',
            memory_bytes=memory.used_bytes,
            memory_max_bytes=memory.max_bytes,
            connections=sum(len(s.connections) for s in self._open()),
            connections_max=sum(
                s.connections.max_connections for s in self._open()
            ),
            **{event.value: count for event, count in new.items()},
        )

    def _open(self) -> ty.Iterable[server_.HttpServer]:
        return self._servers.values()

    def _create_gauges(
        self,
        registry: prometheus_client.CollectorRegistry,
        rpc_connections: int,
    ) -> None:
        memory = self._shared.memory
        self._gauge(
            'request_memory_bytes',
            'Memory of requests that are read, run or answered.',
            registry,
        ).set_function(lambda: memory.used_bytes)
        self._gauge(
            'request_memory_max_bytes',
            'Memory that all requests together may take.',
            registry,
        ).set_function(lambda: memory.max_bytes)
        connections = self._gauge(
            'connections', 'Open connections by server.', registry, ['server']
        )
        limits = self._gauge(
            'connections_max',
            'Connections that a server may have.',
            registry,
            ['server'],
        )
        for name, server in self._servers.items():
            table = server.connections
            connections.labels(name).set_function(table.__len__)
            limits.labels(name).set(table.max_connections)
        limits.labels('rpc').set(rpc_connections)
        self._gauge(
            'answers_waiting',
            'Answers of upstreams that wait for memory.',
            registry,
        ).set_function(memory.answers.__len__)

    def _gauge(
        self,
        name: str,
        text: str,
        registry: prometheus_client.CollectorRegistry,
        labels: ty.Sequence[str] = (),
    ) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f'peridotmast_{name}', text, labels, registry=registry
        )
