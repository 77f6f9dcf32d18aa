"""Revisions of stored objects, which order writes of all eras of the store.

The counter of the platform's store goes back when the store returns from an
older copy, so that a number then names another write. Each return begins an
era, which a revision has in front of the number.
"""

from __future__ import annotations

_PER_ERA = 10**12
"""Number that the store's counter never reaches. A power of ten, so that logs
show the era and the number."""


def make(era: int, number: int) -> int:
    """Return the revision for a number of the store's counter in an era."""
    return era * _PER_ERA + number


def era_of(revision: int) -> int:
    """Return the era of a revision; 0 if the store has named none."""
    return revision // _PER_ERA


def number_of(revision: int) -> int:
    """Return the number of the store's counter in a revision."""
    return revision % _PER_ERA
