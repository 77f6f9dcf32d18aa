"""Server-sent events cut out of a stream of bytes."""

from __future__ import annotations

import re

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'^id:[ ]?([0-9]+)\r?$', re.MULTILINE)


class EventReader:
    """Passes on whole events only and knows the last one's id.

    An upstream may stop in the middle of an event; what the caller has got
    must then end between two, so that another upstream can go on.
    """

    def __init__(self) -> None:
        self._rest = b''
        self._catching_up = False
        self.last_id = -1
        """Id of the last event that was passed on; -1 before the first."""

    @property
    def buffered(self) -> bytes:
        """Bytes of an event that is not complete yet."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that `data` completes."""
        self._rest += data
        whole: list[bytes] = []
        start = 0
        for match in _END.finditer(self._rest):
            event = self._rest[start : match.end()]
            start = match.end()
            if self._is_due(event):
                whole.append(event)
        self._rest = self._rest[start:]
        return b''.join(whole)

    def restart(self) -> None:
        """Go on with another upstream, which may begin a little earlier."""
        self._rest = b''
        self._catching_up = True

    def _is_due(self, event: bytes) -> bool:
        match = _ID.search(event)
        if match is None:
            return True
        number = int(match[1])
        if self._catching_up and number <= self.last_id:
            return False
        self._catching_up = False
        self.last_id = number
        return True
