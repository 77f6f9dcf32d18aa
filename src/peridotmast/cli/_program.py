"""What the daemons share: settings, checks, signals, exit codes."""

from __future__ import annotations

import signal
import sys
import typing as ty

import click
from google.protobuf import message
import prometheus_client

from peridotmast import green
from peridotmast import http_server
from peridotmast import ini
from peridotmast import logs
from peridotmast.router import policy
from peridotmast import web

BAD_SETTINGS = 2
"""Exit code for settings that were found wrong."""

M = ty.TypeVar('M', bound=message.Message)


def load_settings(path: str, kind: type[M], check: bool) -> M:
    """Return the checked settings in `path`.

    All findings are printed together and the program exits with 2; with
    `check` it exits with 0 where there are none.
    """
    settings, found = ini.load_file(path, kind)
    router = getattr(settings, 'router', None)
    if router is not None and router.policy:
        try:
            policy.make(router.policy, '')
        except ValueError as exc:
            found.add(path, f'[router] policy: {exc}')
    telemetry = getattr(settings, 'telemetry', None)
    if telemetry is not None and telemetry.log_level not in logs.LEVELS:
        levels = ', '.join(logs.LEVELS)
        found.add(path, f'[telemetry] log_level: must be one of {levels}')
    if found:
        click.echo(str(found), err=True)
        sys.exit(BAD_SETTINGS)
    if check:
        click.echo(f'{path}: no findings')
        sys.exit(0)
    return settings


def begin(level: str) -> None:
    """Set the hub and the log up."""
    green.setup()
    logs.setup(level)


def wait_for_stop() -> str:
    """Wait for SIGTERM or SIGINT; return its name."""
    stopped = green.Event()

    def on_signal(name: str) -> None:
        if not stopped.ready():
            stopped.send(name)

    for number in (signal.SIGTERM, signal.SIGINT):
        green.on_signal(number, on_signal, number.name)
    return stopped.wait()


def serve_metrics(
    address: str, registry: prometheus_client.CollectorRegistry
) -> ty.Optional[http_server.HttpServer]:
    """Serve /metrics at `address`; None where it is empty."""
    if not address:
        return None
    app = web.WebApp('metrics')
    app.route(
        'GET',
        '/metrics',
        lambda req: web.Response(
            200,
            prometheus_client.generate_latest(registry),
            prometheus_client.CONTENT_TYPE_LATEST,
        ),
    )
    server = http_server.HttpServer(address, app)
    server.start()
    return server
