"""peridotmast-router: serves callers on one entry VM."""

from __future__ import annotations

import sys

import click

from peridotmast.cli import _program
from peridotmast import green
from peridotmast import logs
from peridotmast import machine
from peridotmast.router import router as router_
from peridotmast.router import settings_watch
from peridotmast.schema import peridotmast_pb2 as pb

_SETTINGS_CHECK_MS = 1000
"""Interval at which the settings file is checked: it may change without a
signal, and changes must be in force within two seconds."""


@click.command()
@click.option(
    '--config',
    required=True,
    envvar='PERIDOTMAST_NODE_FILE',
    help='INI file with settings.',
)
@click.option('--check', is_flag=True, help='Only check the settings.')
def main(config: str, check: bool) -> None:
    """Serve callers until SIGTERM, then drain."""
    settings = _program.load_settings(config, pb.RouterFile, check)
    _program.setup(settings.telemetry.log_level)
    machine.return_freed_memory()
    log = logs.get('router', router=settings.router.name)
    try:
        router = router_.Router(settings)
        router.start()
    except OSError as exc:
        log.error('cannot_start', error=str(exc))
        sys.exit(1)
    settings_file_watch = settings_watch.SettingsWatch(
        config,
        settings,
        lambda path: _program.check_file(path, pb.RouterFile),
        router.apply_settings,
    )
    tasks = green.Tasks(
        lambda name, exc: log.error('task_failed', task=name, error=repr(exc))
    )
    tasks.run_every(
        'settings', _SETTINGS_CHECK_MS, settings_file_watch.reload_if_changed
    )
    _program.on_reload(settings_file_watch.reload_if_changed)
    log.info('stopping', signal=_program.wait_for_stop())
    router.drain()
    router.stop()


if __name__ == '__main__':
    main()
