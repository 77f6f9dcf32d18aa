"""Settings for the routers of an embedded fleet."""

from __future__ import annotations

import typing as ty

from peridotmast.embedded import shape as shape_
from peridotmast import ini
from peridotmast.schema import peridotmast_pb2 as pb


def make(
    shape: shape_.FleetShape,
    host: str,
    settings: dict[str, ty.Any],
    platform: pb.PlatformSettings,
) -> pb.RouterFile:
    """Return the settings of a router that listens on free ports.

    Parameters
    ----------
    shape : shape.FleetShape
        Settings common to all routers of the fleet.
    host : str
        IP address on which it listens.
    settings : dict
        Values for the ``[router]`` section.
    platform : pb.PlatformSettings
        Addresses of the platform's stand-ins.
    """
    any_port = f'{host}:0'
    values = {
        'listen': any_port,
        'peer_listen': any_port,
        'ready_listen': any_port,
        'directory_listen': any_port,
        **settings,
    }
    if shape.chat:
        values.setdefault('chat_listen', any_port)
    seeds = values.pop('seeds')
    cfg = ini.defaults(pb.RouterSettings, **values)
    cfg.seeds.extend(seeds)
    return pb.RouterFile(
        router=cfg,
        platform=ini.defaults(
            pb.PlatformSettings,
            objects=platform.objects,
            cloud=platform.cloud,
        ),
        bounds=ini.defaults(pb.BoundsSettings, **shape.bounds),
        scarcity=ini.defaults(pb.ScarcitySettings, **shape.scarcity),
        machine=ini.defaults(pb.MachineSettings, **shape.machine),
        telemetry=ini.defaults(
            pb.TelemetrySettings, trace_file=shape.trace_file
        ),
    )
