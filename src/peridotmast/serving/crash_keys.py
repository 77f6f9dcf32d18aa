"""What identifies a request in the records of crashes of upstreams."""

from __future__ import annotations

import typing as ty

from peridotmast import ids


class CrashKeys(ty.NamedTuple):
    """The request itself, and the parts of its prompt that others share."""

    request: ids.Fingerprint
    """Stays the same when the caller resends the request."""
    parts: tuple[ids.PartId, ...] = ()
    """Parts of the prompt without the last one, each once."""
