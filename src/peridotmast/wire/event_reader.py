"""Splitter of a byte stream into server-sent events."""

from __future__ import annotations

import re
import typing as ty

MAX_FILLER_BYTES = 1 << 20
"""Maximum number of bytes that are received without completing an event, in
bytes. Events have a few hundred bytes, and comments that keep a connection
alive come seconds apart."""

_EVENT_END = re.compile(rb'\r?\n(?:\r?\n)+')
_MAX_PARTIAL_END = 3
"""Number of bytes of an event's end that may precede its last byte."""
_EVENT_ID = re.compile(rb'^id:[ ]?([0-9]{1,18})\r?$', re.MULTILINE)
"""Ids with more digits are ignored: they may overflow the messages between
routers, and Python refuses to convert thousands of digits."""

_LAST_ENDS = (b'\n\n', b'\n\r\n')
"""Bytes that the end of an event ends with."""
_CONTENT = re.compile(rb'[\r\n][^:\r\n]')
"""Pattern of the first byte of a line that is no comment, past the first."""


class EventReader:
    """Returns only complete events and tracks the id of the last one.

    An upstream may fail in the middle of an event. The part forwarded to the
    caller must then end at an event boundary, so that another upstream can
    continue the stream.
    """

    def __init__(self, last_id: int = -1) -> None:
        self._buffer = bytearray()
        self._filler_bytes = 0
        self._repeated_id = -1
        self._skipping_seen = last_id >= 0
        self.has_event = False
        """Whether an event was returned, not only comments."""
        self.last_id = last_id
        """Id of the last event that was returned; -1 before the first."""

    @property
    def buffered(self) -> bytes:
        """Bytes of an incomplete event."""
        return bytes(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of an incomplete event."""
        return len(self._buffer)

    @property
    def is_endless(self) -> bool:
        """Whether so much was received without an event that none is expected.

        Comments, blank lines, a part of an event, and events that were
        repeated more than once count as no event.
        """
        return self._filler_bytes > MAX_FILLER_BYTES

    @property
    def is_inside_event(self) -> bool:
        """Whether a part of an event was received, not only a comment."""
        return _has_content(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that `data` completes."""
        # What was searched before is not searched again: an event may arrive
        # in many small pieces.
        searched = max(0, len(self._buffer) - _MAX_PARTIAL_END)
        self._buffer += data
        self._filler_bytes += len(data)
        end = self._find_last_end(searched)
        if not end:
            return b''
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        # Thousands of comments may arrive at once.
        if not _has_content(complete):
            return complete
        return b''.join(e for e in _split(complete) if self._is_new(e))

    def clear(self) -> None:
        """Discard the incomplete event."""
        self._buffer.clear()

    def restart(self) -> None:
        """Continue with another upstream, whose stream may repeat events."""
        self.clear()
        self._filler_bytes = 0
        self._repeated_id = -1
        self._skipping_seen = True

    def _find_last_end(self, start: int) -> int:
        """Return where the last complete event ends, 0 if there is none."""
        ends = ((self._buffer.rfind(t, start), len(t)) for t in _LAST_ENDS)
        return max(at + size if at >= 0 else 0 for at, size in ends)

    def _is_new(self, event: bytes) -> bool:
        match = _EVENT_ID.search(event)
        if match is None and not _has_content(event):
            return True
        if match is not None:
            number = int(match[1])
            if self._skipping_seen and number <= self.last_id:
                if number > self._repeated_id:
                    self._repeated_id = number
                    self._filler_bytes = 0
                return False
            self._skipping_seen = False
            self.last_id = number
        self.has_event = True
        self._filler_bytes = 0
        return True


def _split(events: bytes) -> ty.Iterator[bytes]:
    """Yield complete events one by one."""
    start = 0
    for match in _EVENT_END.finditer(events):
        yield events[start : match.end()]
        start = match.end()


def _has_content(events: ty.Union[bytes, bytearray]) -> bool:
    """Return whether there is a line that is no comment."""
    is_comment = events[:1] in (b'', b':', b'\r', b'\n')
    return not is_comment or _CONTENT.search(events) is not None
