"""Types of the ids that pass between modules."""

from __future__ import annotations

import typing as ty

RequestKey = ty.NewType('RequestKey', str)
"""``team/request id``: what one accepted request is known by everywhere."""

Fingerprint = ty.NewType('Fingerprint', str)
"""Digest of a request's host, path, team and body; independent of its id."""

StreamId = ty.NewType('StreamId', str)
"""Id of a stream on an engine, derived from the key and the body."""

RouterName = ty.NewType('RouterName', str)
"""Name of a router from its settings."""

Owner = ty.NewType('Owner', str)
"""``router name.incarnation``: one run of one router."""

UpstreamName = ty.NewType('UpstreamName', str)
"""Name of an upstream's VM."""

Address = ty.NewType('Address', str)
"""``IP:port``."""

Version = ty.NewType('Version', int)
"""Version of an object of the platform; grows with each write."""


def request_key(team: str, request_id: str) -> RequestKey:
    """Return the key of a team's request.

    Parameters
    ----------
    team, request_id : str
        As the caller gave them; a team's name holds no ``/``.
    """
    return RequestKey(f'{team}/{request_id}')


def owner_of(name: str, incarnation: int) -> Owner:
    """Return the owner that one run of a router is written down as."""
    return Owner(f'{name}.{incarnation}')
