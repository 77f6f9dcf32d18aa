"""Size of an embedded fleet, and the configuration that it begins with."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.standin import engine as engine_

HOST = 'peridot.example'
"""Host of the routes of the default configuration."""
ENGINE_SERVICE = 'draft-pool'
"""Service of model engines in the default configuration."""
PLAIN_SERVICE = 'booking'
"""Plain service in the default configuration."""

CONFIG = f"""\
[team kalnins]
keys = key-kalnins
weight = 2

[team noor]
keys = key-noor

[route chat]
host = {HOST}
prefix = /chat/
kind = streaming
services = {ENGINE_SERVICE}
timeout_ms = 60000
target_ms = 1300
attempts = 4
resumable = true

[route once]
host = {HOST}
prefix = /once/
kind = streaming
services = {ENGINE_SERVICE}
timeout_ms = 60000
target_ms = 1300

[route holds]
host = {HOST}
prefix = /holds/
kind = non_idempotent
services = {PLAIN_SERVICE}
timeout_ms = 8000
target_ms = 400

[route pages]
host = {HOST}
prefix = /pages/
kind = idempotent
services = {PLAIN_SERVICE}
timeout_ms = 8000
target_ms = 400
attempts = 3

[service {ENGINE_SERVICE}]
engine = true
slots = 32
event_tokens = 2
moves = true
scaled = true
scale_max = 4
boot_ms = 300
reclaimable_price = 0.25

[service {PLAIN_SERVICE}]
slots = 16

[limits]
"""
"""What the operators of the embedded fleet write to the platform."""

DOCUMENT = """\
[model draft-7b]
route = chat
adapters = letters, schedules

[policy]
scaling = fixed
"""
"""The product's own document of the embedded fleet."""


@dataclasses.dataclass
class FleetShape:
    """How large the fleet is and how its parts are set."""

    routers: int = 3
    domains: int = 4
    engines: int = 1
    """Engines in each failure domain."""
    services: int = 2
    engine_profile: engine_.EngineProfile = dataclasses.field(
        default_factory=engine_.EngineProfile
    )
    config: str = CONFIG
    document: str = DOCUMENT
    router: dict[str, ty.Any] = dataclasses.field(default_factory=dict)
    """Settings of the routers that differ from the defaults."""
    bounds: dict[str, ty.Any] = dataclasses.field(default_factory=dict)
    """Bounds that differ from the defaults."""
    trace_file: str = ''
    chat: bool = True
    """Whether routers listen for the chat API too."""
    crash_body: bytes = b''
    """Bytes in request bodies that crash upstreams; empty for none."""
    proxied: bool = False
    """Whether links have proxies in front, for faults of the network."""
