"""Errors with which faulty engines answer in place of a stream's events."""

from __future__ import annotations

import dataclasses

_TEXT = b'{"error": "engine is gone"}\n\n'
"""The blank line makes it look like a whole event."""
_EVENT = b'data: ' + _TEXT
"""The error as an event, which callers would take for a part of a stream."""

IN_STREAM = (
    b'HTTP/1.1 500 Internal Server Error\r\n'
    b'Content-Type: text/plain\r\n'
    b'Content-Length: %d\r\n\r\n%b' % (len(_EVENT), _EVENT)
)
"""Head and text of an error, to be written into an open stream."""


@dataclasses.dataclass(frozen=True)
class ResumeError:
    """Sealed answer to a request that resumes a stream, without its events."""

    status: str
    media_type: str
    body: bytes


EARLY_END = 'resume_empty'
RESUME_ERRORS = {
    'resume_404': ResumeError('404 Not Found', 'text/plain', _EVENT),
    'resume_json': ResumeError('200 OK', 'application/json', _TEXT),
    EARLY_END: ResumeError('200 OK', 'text/event-stream', b''),
}
"""By the name of the fault."""
