"""Settings of an embedded fleet's routers."""

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
    """Return the settings of a router that listens at free ports.

    Parameters
    ----------
    shape : shape.FleetShape
        Bounds and faces that all routers of the fleet have.
    host : str
        IP number that it listens at.
    settings : dict
        Those of the router's own section.
    platform : pb.PlatformSettings
        Where the stand-ins of the platform are.
    """
    free = f'{host}:0'
    values = {
        'listen': free,
        'peer_listen': free,
        'ready_listen': free,
        'directory_listen': free,
        **settings,
    }
    if shape.chat:
        values.setdefault('chat_listen', free)
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
        telemetry=ini.defaults(
            pb.TelemetrySettings, trace_file=shape.trace_file
        ),
    )
