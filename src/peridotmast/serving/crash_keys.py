"""What identifies a request in the records of crashes of upstreams."""

from __future__ import annotations

import hashlib
import typing as ty

from peridotmast import ids

_PART_PREFIX = 'part:'

_MAX_PART_LENGTH = 64
"""Longest id of a part that is used as it is, in characters; callers choose
the ids, and peers reject long names."""


class CrashKeys(ty.NamedTuple):
    """The request itself, and the parts of its prompt that others share."""

    request: ids.Fingerprint
    """Stays the same when the caller resends the request."""
    parts: tuple[ids.Fingerprint, ...] = ()
    """Keys of the parts of the prompt without the last one, each once."""

    def all(self) -> tuple[ids.Fingerprint, ...]:
        """Return the key of the request and those of its parts."""
        return self.request, *self.parts


def of_parts(part_ids: ty.Iterable[str]) -> tuple[ids.Fingerprint, ...]:
    """Return the keys of parts of a prompt, each once."""
    return tuple(dict.fromkeys(map(_part_key, part_ids)))


def is_part(key: ids.Fingerprint) -> bool:
    """Return whether `key` is that of a part, not of a request."""
    return key.startswith(_PART_PREFIX)


def _part_key(part_id: str) -> ids.Fingerprint:
    if len(part_id) > _MAX_PART_LENGTH:
        part_id = hashlib.blake2b(part_id.encode(), digest_size=8).hexdigest()
    return ids.Fingerprint(_PART_PREFIX + part_id)
