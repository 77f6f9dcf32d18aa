"""Size and initial configuration of an embedded fleet."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.standin import engine as engine_

HOST = 'peridot.example'
"""Host of the routes in the default configuration."""
ENGINE_SERVICE = 'draft-pool'
"""Name of the model engines' service in the default configuration."""
PLAIN_SERVICE = 'booking'
"""Name of the plain service in the default configuration."""

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
"""Configuration that the operators write to the platform."""

DOCUMENT = """\
[model draft-7b]
route = chat
adapters = letters, schedules

[policy]
scaling = fixed
"""
"""Initial version of the product's own document."""


@dataclasses.dataclass
class FleetShape:
    """Size of the fleet and settings of its parts."""

    routers: int = 3
    domains: int = 4
    engines: int = 1
    """Engines in each failure domain."""
    services: int = 2
    """Failure domains with an upstream of the plain service."""
    engine_profile: engine_.EngineProfile = dataclasses.field(
        default_factory=engine_.EngineProfile
    )
    config: str = CONFIG
    document: str = DOCUMENT
    router: dict[str, ty.Any] = dataclasses.field(default_factory=dict)
    """Settings of the routers that differ from the defaults."""
    bounds: dict[str, ty.Any] = dataclasses.field(default_factory=dict)
    """Bounds that differ from the defaults."""
    scarcity: dict[str, ty.Any] = dataclasses.field(default_factory=dict)
    """Settings under scarcity that differ from the defaults."""
    machine: dict[str, ty.Any] = dataclasses.field(default_factory=dict)
    """What a router may use of its VM, where it differs from the defaults."""
    trace_file: str = ''
    chat: bool = True
    """Whether routers also serve the chat API."""
    crash_body: bytes = b''
    """Requests whose body contains this crash upstreams; empty for none."""
    proxied: bool = False
    """Whether links pass through proxies that can inject network faults."""
