"""HTTP servers of a router: platform callers, chat API, metrics."""

from __future__ import annotations

import typing as ty

import prometheus_client

from peridotmast import clock as clock_
from peridotmast.coordination import members as members_
from peridotmast import machine
from peridotmast.platform import caller_app
from peridotmast.platform import directory as directory_
from peridotmast.router import chat_api
from peridotmast.router import connection_shares
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.router import forward_app
from peridotmast.router import overload_report
from peridotmast.router import serving as serving_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast import web
from peridotmast.wire.overload import shared_resources
from peridotmast.wire import server as server_

_RESOLVE_TTL_S = 2.0
"""How long callers may cache a resolved address: the longest time for which a
lost router still gets requests. Each lookup costs about a millisecond."""


class HttpServers:
    """Serves HTTP on the configured addresses.

    Parameters
    ----------
    file : pb.RouterFile
        Checked settings.
    clock : clock.Clock
        Times requests.
    fleet_state : fleet_state.FleetState
        Configuration and members.
    serving : serving.Serving
        Answers requests.
    registry : prometheus_client.CollectorRegistry
        Metrics that are served.
    forward_listen : str
        Address for requests that peers forward.
    secret : bytes
        Key shared by all routers, by which peers are recognized.
    """

    def __init__(
        self,
        file: pb.RouterFile,
        clock: clock_.Clock,
        fleet_state: fleet_state_.FleetState,
        serving: serving_.Serving,
        registry: prometheus_client.CollectorRegistry,
        forward_listen: str,
        secret: bytes,
    ) -> None:
        cfg = file.router
        self._fleet_state = fleet_state
        self._registry = registry
        self._limits = server_.ServerLimits(write_timeout_ms=cfg.write_ms)
        memory_bytes = machine.memory_bytes(file.machine.memory_mb)
        self.shared = shared_resources.SharedResources(
            clock, int(memory_bytes * file.machine.request_share)
        )
        """What all servers share."""
        shares = connection_shares.ConnectionShares(
            connection_shares.total_connections(file),
            bool(cfg.chat_listen),
        )
        application = caller_app.PlatformCallerApp(
            clock, serving.gateway, self._limits, serving.decisions
        )
        self.platform = server_.HttpServer(
            cfg.listen,
            application,
            self._limits,
            self.shared,
            shares.of('platform'),
        )
        """Server for callers of the platform."""
        self.platform.retry_after_ms = serving.gateway.retry_ms
        self.forward = server_.HttpServer(
            forward_listen,
            forward_app.ForwardApp(
                clock,
                serving.gateway,
                fleet_state.upstream_table,
                self._limits,
                serving.decisions,
                secret,
            ),
            server_.ServerLimits(write_timeout_ms=cfg.write_ms),
            self.shared,
            shares.of('forward'),
        )
        """Server for requests that peers forward."""
        self.chat: ty.Optional[server_.HttpServer] = None
        """Server of the chat API, if it is configured."""
        if cfg.chat_listen:
            app = self._base_app()
            chat_api.ChatApi(
                clock,
                fleet_state.config,
                serving.gateway,
                fleet_state.members,
                int(_RESOLVE_TTL_S * 1000),
            ).add_routes(app)
            self.chat = server_.HttpServer(
                cfg.chat_listen,
                app,
                shared=self.shared,
                max_connections=shares.of('chat'),
            )
        directory = directory_.PlatformDirectory(
            fleet_state.members,
            min(_RESOLVE_TTL_S, file.bounds.resolve_ttl_s),
        )
        self.auxiliary = {
            name: server_.HttpServer(
                address,
                application,
                shared=self.shared,
                max_connections=shares.of(name),
            )
            for name, address, application in (
                ('ready', cfg.ready_listen, directory.readiness_app),
                ('directory', cfg.directory_listen, directory.resolve_app),
                (
                    'metrics',
                    file.telemetry.metrics_listen,
                    self._base_app(max_body=0),
                ),
            )
            if address
        }
        """Readiness, directory and metrics servers by name."""
        self._overload = overload_report.OverloadReport(
            cfg.name,
            clock,
            self.shared,
            self._by_name(),
            registry,
            connection_shares.rpc_connections(file),
        )

    def start(self) -> None:
        """Start to accept connections."""
        for server in self._servers():
            server.start()

    def tick(self) -> None:
        """Report what was done against overload."""
        self._overload.tick()

    def stop(self) -> None:
        """Stop all servers at once."""
        for server in self._servers():
            server.stop()

    def close_idle(self) -> None:
        """Close idle connections, and busy ones after their answers."""
        self.platform.close_idle()
        if self.chat is not None:
            self.chat.close_idle()

    def set_limits(self, limits: pb.CallerLimits) -> None:
        """Apply the limits on size and duration of callers' requests."""
        if limits.max_header_bytes:
            self._limits.max_header_bytes = limits.max_header_bytes
            self._limits.max_body_bytes = limits.max_body_bytes
            self._limits.header_timeout_ms = limits.header_timeout_ms
            self._limits.idle_timeout_ms = limits.idle_timeout_ms

    def _servers(self) -> ty.Iterable[server_.HttpServer]:
        return self._by_name().values()

    def _by_name(self) -> dict[str, server_.HttpServer]:
        chat = {'chat': self.chat} if self.chat else {}
        return {
            'platform': self.platform,
            'forward': self.forward,
            **chat,
            **self.auxiliary,
        }

    def _base_app(self, max_body: int = 1 << 20) -> web.WebApp:
        app = web.WebApp('http', max_body)
        app.route('GET', '/metrics', self._show_metrics)
        app.route('GET', '/healthz', self._show_health)
        return app

    def _show_metrics(self, req: web.Request) -> web.Response:
        return web.Response(
            200,
            prometheus_client.generate_latest(self._registry),
            prometheus_client.CONTENT_TYPE_LATEST,
        )

    def _show_health(self, req: web.Request) -> web.Response:
        me, config = self._fleet_state.members.me, self._fleet_state.config
        serving = me.ready and me.state == members_.ALIVE
        body = {
            'serving': serving,
            'config': config.routes.version,
            'document': config.product.version,
        }
        return web.json_response(body, 200 if serving else 503)
