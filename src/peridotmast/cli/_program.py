"""Functions shared by the daemons: settings, signals, exit codes."""

from __future__ import annotations

import atexit
import functools
import signal
import sys
import typing as ty

import click
from google.protobuf import message
import prometheus_client

from peridotmast import findings as findings_
from peridotmast import green
from peridotmast import ini
from peridotmast import logs
from peridotmast.serving import policies
from peridotmast.serving.scarcity import order as scarcity_order
from peridotmast import web
from peridotmast.wire import server as server_

BAD_SETTINGS = 2
"""Exit code for invalid settings."""

_LOG_FLUSH_MS = 100
"""Time for which log lines are buffered: at most ten writes a second."""

_MAX_CONNECTION_SHARE = 0.95
"""Largest share of the descriptors for connections of clients and peers."""

M = ty.TypeVar('M', bound=message.Message)


def load_settings(path: str, kind: type[M], check: bool) -> M:
    """Return the checked settings in `path`.

    If there are findings, prints all of them and exits with 2. With `check`,
    exits with 0 if there are none.
    """
    settings, found = check_file(path, kind)
    if found:
        click.echo(str(found), err=True)
        sys.exit(BAD_SETTINGS)
    if check:
        click.echo(f'{path}: no findings')
        sys.exit(0)
    return settings


def check_file(path: str, kind: type[M]) -> tuple[M, findings_.Findings]:
    """Return the settings in `path` and the findings on them."""
    settings, found = ini.load_file(path, kind)
    router = getattr(settings, 'router', None)
    if router is not None and router.policy:
        if router.policy not in policies.POLICIES:
            known = ', '.join(policies.POLICIES)
            found.add(path, f'[router] policy: must be one of {known}')
    telemetry = getattr(settings, 'telemetry', None)
    if telemetry is not None and telemetry.log_level not in logs.LEVELS:
        levels = ', '.join(logs.LEVELS)
        found.add(path, f'[telemetry] log_level: must be one of {levels}')
    scarcity = getattr(settings, 'scarcity', None)
    if scarcity is not None:
        if scarcity.order not in scarcity_order.ORDERS:
            known = ', '.join(scarcity_order.ORDERS)
            found.add(path, f'[scarcity] order: must be one of {known}')
        elif scarcity.refuse and scarcity.order != scarcity_order.PRIORITY:
            needed = scarcity_order.PRIORITY
            found.add(path, f'[scarcity] refuse: needs order = {needed}')
    machine = getattr(settings, 'machine', None)
    if machine is not None:
        share = machine.caller_share + machine.peer_share
        if share > _MAX_CONNECTION_SHARE:
            text = f'at most {_MAX_CONNECTION_SHARE} with caller_share'
            found.add(path, f'[machine] peer_share: {text}')
    return settings, found


def setup(level: str) -> None:
    """Set up the event loop hub and the log of a daemon."""
    green.setup()
    logs.setup(
        level,
        sys.stdout,
        functools.partial(green.call_after_ms, _LOG_FLUSH_MS),
    )
    atexit.register(logs.flush)


def wait_for_stop() -> str:
    """Wait for SIGTERM or SIGINT; return its name."""
    stopped = green.Event()

    def on_signal(name: str) -> None:
        if not stopped.ready():
            stopped.send(name)

    for number in (signal.SIGTERM, signal.SIGINT):
        green.on_signal(number, on_signal, number.name)
    return stopped.wait()


def on_reload(callback: ty.Callable[[], None]) -> None:
    """Call `callback` in a separate task on each SIGHUP."""
    green.on_signal(signal.SIGHUP, green.spawn, callback)


def serve_metrics(
    address: str, registry: prometheus_client.CollectorRegistry
) -> ty.Optional[server_.HttpServer]:
    """Serve /metrics at `address`; return None if it is empty."""
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
    server = server_.HttpServer(address, app)
    server.start()
    return server
