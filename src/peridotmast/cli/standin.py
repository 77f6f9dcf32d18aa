"""peridotmast-standin: stand-ins for the platform and the upstreams."""

from __future__ import annotations

import click

from peridotmast.cli import _program
from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import ini
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import engine


@click.command()
@click.option('--config', help='INI file with settings.')
@click.option('--check', is_flag=True, help='Only check the settings.')
def main(config: str, check: bool) -> None:
    """Run stand-ins until SIGTERM and print their addresses."""
    if config:
        settings = _program.load_settings(config, pb.StandinFile, check)
    else:
        settings = pb.StandinFile(
            standin=ini.defaults(pb.StandinSettings),
            telemetry=ini.defaults(pb.TelemetrySettings),
        )
    _program.setup(settings.telemetry.log_level)
    cfg = settings.standin
    shape = shape_.FleetShape(
        routers=0,
        domains=cfg.domains,
        engines=cfg.engines,
        engine_profile=engine.EngineProfile(step_ms=cfg.step_ms),
    )
    fleet = fleet_.Fleet(shape, listen=cfg.listen)
    fleet.start()
    click.echo('[platform]')
    click.echo(f'objects = {fleet.store.address}')
    click.echo(f'cloud = {fleet.cloud.address}')
    _program.wait_for_stop()
    fleet.stop()
