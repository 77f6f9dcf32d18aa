"""An attempt elsewhere while the current attempt of a request is silent."""

from __future__ import annotations

import typing as ty

from peridotmast import green
from peridotmast.serving import sender as sender_

_RETRY_MS = 100
"""Pause after a search without a result, in ms."""

SILENT = 'silent'
"""Reason of the failure of an attempt that another one has replaced."""


class Standby:
    """Searches for another attempt while the current one is silent.

    An upstream that is silent may only be late, and another one may refuse the
    request or be as silent. So the current attempt goes on until another one
    has brought what it is waited for.

    Parameters
    ----------
    get_wait_ms : callable
        Returns how long the current attempt may stay silent from now on, in
        ms; 0 or less if another one may be made.
    search : callable
        Makes another attempt, and returns it once the awaited part of its
        answer has arrived. Returns None if none can be made now or if it
        fails.
    replace : callable
        Ends the current attempt with the failure `SILENT`.
    abandon : callable
        Releases an attempt that is not used.
    """

    def __init__(
        self,
        get_wait_ms: ty.Callable[[], int],
        search: ty.Callable[[], ty.Optional[sender_.Sent]],
        replace: ty.Callable[[], None],
        abandon: ty.Callable[[sender_.Sent], None],
    ) -> None:
        self._get_wait_ms = get_wait_ms
        self._search = search
        self._replace = replace
        self._abandon = abandon
        self._found: ty.Optional[sender_.Sent] = None
        self._error: ty.Optional[Exception] = None
        self._searched: ty.Optional[ty.Any] = None
        self._task: ty.Any = green.spawn_after_ms(
            max(1, get_wait_ms()), self._run
        )

    def note_data(self) -> None:
        """End a search: the current attempt has brought data."""
        if self._searched is not None:
            self._end_task()
            self._task = green.spawn_after_ms(
                max(1, self._get_wait_ms()), self._run
            )

    def take(self) -> ty.Optional[sender_.Sent]:
        """Wait for a search that goes on, and return the attempt it found.

        Called once the current attempt has ended.
        """
        if self._searched is not None:
            self._searched.wait()
        self._end_task()
        if self._error is not None:
            raise self._error
        found, self._found = self._found, None
        return found

    def stop(self) -> None:
        """End a search, and abandon an attempt that was found."""
        self._end_task()
        found, self._found = self._found, None
        if found is not None:
            self._abandon(found)

    def _run(self) -> None:
        while self._found is None:
            wait_ms = self._get_wait_ms()
            if wait_ms > 0:
                green.sleep_ms(wait_ms)
                continue
            self._searched = green.Event()
            try:
                self._found = self._search()
            except Exception as exc:
                # Raised where the request is handled.
                self._error = exc
                return
            finally:
                searched, self._searched = self._searched, None
                searched.send(True)
            if self._found is None:
                green.sleep_ms(_RETRY_MS)
        self._replace()

    def _end_task(self) -> None:
        task, self._task = self._task, None
        if task is not None:
            task.kill()
