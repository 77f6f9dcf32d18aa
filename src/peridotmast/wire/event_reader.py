"""Splitter of a byte stream into server-sent events."""

from __future__ import annotations

import enum
import re
import typing as ty

from peridotmast.wire import event_syntax

MAX_FILLER_BYTES = 1 << 20
"""Maximum number of bytes that are received without completing an event, in
bytes. Events have a few hundred bytes, and comments that keep a connection
alive come seconds apart."""

_EVENT_END = re.compile(rb'\r?\n(?:\r?\n)+')
_MAX_PARTIAL_END = 3
"""Number of bytes of an event's end that may precede its last byte."""
_LAST_ENDS = (b'\n\n', b'\n\r\n')
"""Bytes that the end of an event ends with."""


class Fault(enum.Enum):
    """Why bytes are not the next event of a stream."""

    NO_EVENT = 'no_event'
    """They hold a line that is no field, or the head of a response."""
    NO_ID = 'no_id'
    """The event has no id, but those before it have."""
    ID_WENT_BACK = 'id_went_back'
    """The id is not above that of the event before it."""
    IDS_SKIP = 'ids_skip'
    """A stream whose ids follow one another goes on after a gap."""


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
        self._follows = True
        """Whether each id is one above the id before it, the first one 1."""
        self.has_event = False
        """Whether an event was returned, not only comments."""
        self.last_id = last_id
        """Id of the last event that was returned; -1 before the first."""
        self.fault: ty.Optional[Fault] = None
        """Why nothing that follows the last event is returned any more."""

    @property
    def buffered(self) -> bytes:
        """Bytes of an incomplete event."""
        return bytes(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of an incomplete event."""
        return len(self._buffer)

    @property
    def last_repeated_id(self) -> int:
        """Id of the last event that was skipped as repeated; -1 if none."""
        return self._repeated_id

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
        return event_syntax.has_content(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that `data` completes.

        After a fault nothing is returned until the next `restart`.
        """
        if self.fault is not None:
            return b''
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
        if not event_syntax.has_content(complete):
            return complete
        return b''.join(self._new_events(complete))

    def clear(self) -> None:
        """Discard the incomplete event."""
        self._buffer.clear()

    def restart(self) -> None:
        """Continue with another upstream, whose stream may repeat events."""
        self.clear()
        self.fault = None
        self._filler_bytes = 0
        self._repeated_id = -1
        self._skipping_seen = True

    def at_last_event(self) -> EventReader:
        """Return a reader for another attempt, which goes on from here."""
        reader = EventReader(self.last_id)
        reader._follows = self._follows
        return reader

    def _find_last_end(self, start: int) -> int:
        """Return where the last complete event ends, 0 if there is none."""
        ends = ((self._buffer.rfind(t, start), len(t)) for t in _LAST_ENDS)
        return max(at + size if at >= 0 else 0 for at, size in ends)

    def _new_events(self, events: bytes) -> ty.Iterator[bytes]:
        """Yield the events that are new, up to the first fault."""
        for event in _split(events):
            if not event_syntax.has_content(event):
                yield event
                continue
            number = event_syntax.number_of(event)
            if self._is_repeated(number):
                continue
            self.fault = self._find_fault(event, number)
            if self.fault is not None:
                return
            self._note(number)
            yield event

    def _is_repeated(self, number: ty.Optional[int]) -> bool:
        """Return whether an upstream repeats an event that was returned."""
        if number is None or not self._skipping_seen or number > self.last_id:
            return False
        if number > self._repeated_id:
            self._repeated_id = number
            self._filler_bytes = 0
        return True

    def _find_fault(
        self, event: bytes, number: ty.Optional[int]
    ) -> ty.Optional[Fault]:
        """Return why bytes are not the next event; None if they are."""
        if not event_syntax.is_event(event):
            return Fault.NO_EVENT
        if self.last_id < 0:
            return None
        if number is not None:
            return self._find_id_fault(number)
        if not event_syntax.has_data(event):
            return None
        if event_syntax.has_long_id(event) and not self._skipping_seen:
            return None
        return Fault.NO_ID

    def _find_id_fault(self, number: int) -> ty.Optional[Fault]:
        if number <= self.last_id:
            return Fault.ID_WENT_BACK
        is_resumed = self._skipping_seen and self._follows
        if is_resumed and number > self.last_id + 1:
            return Fault.IDS_SKIP
        return None

    def _note(self, number: ty.Optional[int]) -> None:
        """Record an event that is returned."""
        if number is not None:
            self._follows &= number == max(0, self.last_id) + 1
            self._skipping_seen = False
            self.last_id = number
        self.has_event = True
        self._filler_bytes = 0


def _split(events: bytes) -> ty.Iterator[bytes]:
    """Yield complete events one by one."""
    start = 0
    for match in _EVENT_END.finditer(events):
        yield events[start : match.end()]
        start = match.end()
