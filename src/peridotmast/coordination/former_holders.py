"""Former holders of a lease, which must not get it back too soon.

The lease's object has a time for each of them, in ms, since the latest moment
at which it can have acted. The time ends when the current holder acquired the
lease or, if the lease was released, when it was released. Routers whose time
exceeds the length of a lease are omitted.
"""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import objects

_ANY_ROUTER = '*'

UNKNOWN: ty.Final[dict[str, int]] = {_ANY_ROUTER: 0}
"""Stands for any router: who held the lease before is not known."""


def read(spec: ty.Optional[objects.Json]) -> dict[str, int]:
    """Return the former holders in a stored lease, with their times.

    Routers of an older version write a single name.
    """
    former = (spec or {}).get('before') or {}
    if isinstance(former, str):
        return {former: 0}
    return {router: int(ms) for router, ms in former.items()}


def read_aged(
    spec: ty.Optional[objects.Json], ms: int, length_ms: int
) -> dict[str, int]:
    """Return the former holders whose times are within a lease `ms` later."""
    return {
        router: before_ms + ms
        for router, before_ms in read(spec).items()
        if before_ms + ms < length_ms
    }


def has_held(spec: objects.Json, router: str) -> bool:
    """Return whether a router may be one of the former holders."""
    former = read(spec)
    return router in former or _ANY_ROUTER in former
