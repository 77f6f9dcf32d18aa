"""Splitter of a byte stream into server-sent events."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id:[ ]?([0-9]+)\r?$', re.MULTILINE)


class EventReader:
    """Returns only complete events and tracks the id of the last one.

    An upstream may fail in the middle of an event. The part forwarded to the
    caller must then end at an event boundary, so that another upstream can
    continue the stream.
    """

    def __init__(self, last_id: int = -1) -> None:
        self._buffer = b''
        self._skipping_seen = last_id >= 0
        self.last_id = last_id
        """Id of the last event that was returned; -1 before the first."""

    @property
    def buffered(self) -> bytes:
        """Bytes of an incomplete event."""
        return self._buffer

    @property
    def is_inside_event(self) -> bool:
        """Whether a part of an event was received, not only a comment."""
        lines = self._buffer.splitlines()
        return any(line and not line.startswith(b':') for line in lines)

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that `data` completes."""
        self._buffer += data
        complete: list[bytes] = []
        start = 0
        for match in _EVENT_END.finditer(self._buffer):
            event = self._buffer[start : match.end()]
            start = match.end()
            if self._is_new(event):
                complete.append(event)
        self._buffer = self._buffer[start:]
        return b''.join(complete)

    def restart(self) -> None:
        """Continue with another upstream, whose stream may repeat events."""
        self._buffer = b''
        self._skipping_seen = True

    def _is_new(self, event: bytes) -> bool:
        match = _EVENT_ID.search(event)
        if match is None:
            return True
        number = int(match[1])
        if self._skipping_seen and number <= self.last_id:
            return False
        self._skipping_seen = False
        self.last_id = number
        return True
