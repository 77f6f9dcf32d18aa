"""Memory of a stream for what it has received and not passed on."""

from __future__ import annotations

import typing as ty

if ty.TYPE_CHECKING:
    from peridotmast.wire.overload import memory_budget

_STEP_BYTES = 4096
"""Step in which memory is counted, in bytes. Less than one step is not
counted, so that most events are not: they have a few hundred bytes."""


class StreamHold:
    """Counts what one attempt at a stream holds, as it grows and shrinks.

    Parameters
    ----------
    account : memory_budget.MemoryAccount
        Memory of the request.
    """

    def __init__(self, account: memory_budget.MemoryAccount) -> None:
        self._account = account
        self._counted_bytes = 0

    def resize(self, size: int) -> bool:
        """Count `size` bytes in place of those counted so far.

        Returns
        -------
        bool
            Whether there is room. If not, the count stays as it was, and the
            stream must not go on: a wait could last until what the others
            hold is complete, which may be never.
        """
        counted_bytes = size - size % _STEP_BYTES
        added_bytes = counted_bytes - self._counted_bytes
        if not added_bytes:
            return True
        if added_bytes > 0 and not self._account.try_charge(added_bytes):
            return False
        if added_bytes < 0:
            self._account.discharge(-added_bytes)
        self._counted_bytes = counted_bytes
        return True

    def release(self) -> None:
        """Count nothing any more."""
        self.resize(0)
