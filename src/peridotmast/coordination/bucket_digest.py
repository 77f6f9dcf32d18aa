"""A digest of many records by which two nodes find where they differ."""

from __future__ import annotations

import hashlib

BUCKETS = 64
"""Parts that are compared by themselves."""


class BucketDigest:
    """Exclusive or of the hashes of records, by buckets of their names.

    Adding and removing a record are the same step, so a change costs the
    same at any number of records.
    """

    def __init__(self) -> None:
        self.parts = [0] * BUCKETS
        """One digest for each bucket."""

    def flip(self, name: str, state: str) -> None:
        """Add the record `name` in `state`, or take it out again."""
        self.parts[bucket_of(name)] ^= _hash(f'{name}|{state}')

    def total(self) -> int:
        """Return one digest of everything."""
        return _hash(repr(self.parts))


def bucket_of(name: str) -> int:
    """Return the bucket that the record `name` falls into."""
    return _hash(name) % BUCKETS


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')
