"""Rendezvous hashing: an order of names that all routers agree on."""

from __future__ import annotations

import functools
import hashlib

_KEPT = 8192
"""Hashes that are kept: five for each of 330 routers, and runs before."""


@functools.lru_cache(maxsize=_KEPT)
def of(what: str, name: str) -> int:
    """Return the place of `name` among others, for one purpose.

    Parameters
    ----------
    what : str
        The purpose: each has an order of its own.
    name : str
        Whose place it is; the lowest comes first.
    """
    digest = hashlib.blake2b(f'{what}|{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')
