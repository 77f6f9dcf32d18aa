"""Rendezvous hashing: an order of names that is the same at all routers."""

from __future__ import annotations

import functools
import hashlib

_CACHE_SIZE = 8192
"""Number of cached hashes: five for each of 330 routers, with room for names
that are no longer in use."""


@functools.lru_cache(maxsize=_CACHE_SIZE)
def of(purpose: str, name: str) -> int:
    """Return the rank of `name` in the order for one purpose.

    Parameters
    ----------
    purpose : str
        Purpose of the order; each purpose has an independent order.
    name : str
        The name to rank; the lowest rank comes first.
    """
    digest = hashlib.blake2b(f'{purpose}|{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')
