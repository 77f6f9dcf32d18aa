"""Packed bytes from other processes, unpacked within bounds."""

from __future__ import annotations

import zlib

_LEVEL = 1
"""Names, addresses and routes that repeat make most of what is packed: higher
levels save a tenth at most, for a third more processor time or twice as much.
"""


class DecompressionError(ValueError):
    """Raised for bytes that are not packed, or unpack to too much."""


def compress(data: bytes) -> bytes:
    """Return `data` packed."""
    return zlib.compress(data, _LEVEL)


def decompress(data: bytes, most: int) -> bytes:
    """Return packed `data` unpacked.

    Parameters
    ----------
    most : int
        Most bytes that it may unpack to.

    Raises
    ------
    DecompressionError
        If it is not packed as it should be, or unpacks to more.
    """
    unpacking = zlib.decompressobj()
    try:
        found = unpacking.decompress(data, most)
    except zlib.error as exc:
        raise DecompressionError(str(exc)) from exc
    if unpacking.unconsumed_tail:
        raise DecompressionError('unpacks to too much')
    return found
