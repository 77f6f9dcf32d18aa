"""Types of the identifiers that modules exchange."""

from __future__ import annotations

import typing as ty

RequestKey = ty.NewType('RequestKey', str)
"""``team/request id``: identifies an accepted request in all modules."""

Fingerprint = ty.NewType('Fingerprint', str)
"""Digest of the host, path, team and body of a request, without its id; or
``part:`` and the id of a part of prompts."""

StreamId = ty.NewType('StreamId', str)
"""Id of a stream at an engine, derived from the request's key and body."""

RouterName = ty.NewType('RouterName', str)
"""Name of a router, from its settings."""

Owner = ty.NewType('Owner', str)
"""``router name.incarnation``: identifies one run of a router."""

UpstreamName = ty.NewType('UpstreamName', str)
"""Name of the VM of an upstream."""

Address = ty.NewType('Address', str)
"""``IP:port``."""

SoftwareVersion = ty.NewType('SoftwareVersion', str)
"""Version of the software of an upstream, as the platform names it."""

Version = ty.NewType('Version', int)
"""Version of a platform object; increases with each write."""


def request_key(team: str, request_id: str) -> RequestKey:
    """Return the key of a request.

    Parameters
    ----------
    team, request_id : str
        As sent by the caller; a team name contains no ``/``.
    """
    return RequestKey(f'{team}/{request_id}')


def owner_of(name: str, incarnation: int) -> Owner:
    """Return the owner id of one run of a router, as it is stored."""
    return Owner(f'{name}.{incarnation}')
