"""Parts of prompts that complete answers have shown to be harmless."""

from __future__ import annotations

import collections

from peridotmast import clock as clock_
from peridotmast import ids

CLEARED_MS = 60_000
"""Time after a complete answer in which a part of its prompt is not suspected
of crashes, in ms: most parts are used more often. A part that begins to crash
upstreams after answers with it is found this much later."""

NEVER = -(1 << 62)

_MAX_PARTS = 8192
"""Maximum number of parts, about 250 bytes each; the ones that were answered
longest ago are dropped."""


class PartClearances:
    """Remembers when a complete answer to a prompt with a part was received.

    Parameters
    ----------
    clock : clock.Clock
        Times the answers.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._answered_at: collections.OrderedDict[ids.Fingerprint, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of parts."""
        return len(self._answered_at)

    def note(self, part: ids.Fingerprint) -> None:
        """Record a complete answer to a prompt with a part."""
        self._answered_at[part] = self._clock.now()
        self._answered_at.move_to_end(part)
        if len(self._answered_at) > _MAX_PARTS:
            self._answered_at.popitem(last=False)

    def answered_at(self, key: ids.Fingerprint) -> int:
        """Return the time of the last answer, in ms; `NEVER` if unknown."""
        return self._answered_at.get(key, NEVER)

    def is_cleared(self, part: ids.Fingerprint) -> bool:
        """Return whether a part is not suspected of crashes at present."""
        return self._clock.now() < self.answered_at(part) + CLEARED_MS
