"""Request fingerprints, which identify a request resent under a new id."""

from __future__ import annotations

import hashlib

from peridotmast import ids

_DIGEST_BYTES = 8
"""Digest size. For 10 million distinct requests, the probability of any
collision is 3 in a million."""


def compute(host: str, path: str, team: str, body: bytes) -> ids.Fingerprint:
    """Return the fingerprint of a request.

    The method, the query and all headers but ``Host`` are left out.

    Parameters
    ----------
    host : str
        Value of the ``Host`` header, compared without regard to case.
    path : str
        Raw request path, without the query.
    team : str
        Caller's team; empty if unknown.
    body : bytes
        Complete request body.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (host.lower(), path, team):
        digest.update(part.encode('latin-1', 'replace') + b'\x00')
    digest.update(body)
    return ids.Fingerprint(digest.hexdigest())
