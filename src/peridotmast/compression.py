"""Compression of messages between processes, with bounded decompression."""

from __future__ import annotations

import zlib

_COMPRESSION_LEVEL = 1
"""Compressed messages mostly consist of repeated names, addresses and routes.
Higher levels save at most a tenth of the size, and take 1.3 to 2 times the
processor time."""


class DecompressionError(ValueError):
    """Raised for data that is not valid or decompresses to too many bytes."""


def compress(data: bytes) -> bytes:
    """Return `data` compressed with zlib."""
    return zlib.compress(data, _COMPRESSION_LEVEL)


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Return zlib-compressed `data` decompressed.

    Parameters
    ----------
    max_bytes : int
        Maximum size of the decompressed data, in bytes.

    Raises
    ------
    DecompressionError
        If `data` is not valid, or decompresses to more than `max_bytes`.
    """
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(data, max_bytes)
    except zlib.error as exc:
        raise DecompressionError(str(exc)) from exc
    if decompressor.unconsumed_tail:
        raise DecompressionError('decompressed data exceeds the size limit')
    return result
