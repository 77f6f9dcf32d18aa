"""Syntax of server-sent events.

Source: "Server-sent events" in the HTML standard. It lets readers ignore a
line that is no known field; here such a line shows that an upstream has
written something else into its stream, unless it has the form of a field and
stands beside known ones.
"""

from __future__ import annotations

import re
import typing as ty

Bytes = ty.Union[bytes, bytearray]

_FIELDS = rb'(?:data|event|id|retry)'
"""Pattern of the names of the fields that events consist of."""
_EVENT = re.compile(
    rb'(?:\xef\xbb\xbf)?'
    rb'(?:(?::|[A-Za-z][A-Za-z0-9_.-]*:)[^\n]*\n|' + _FIELDS + rb'?\r?\n)*+'
)
"""Pattern of comments and fields, which may have names of their own. A byte
order mark may come first."""
_START = rb'(?:^|(?<=\xef\xbb\xbf))'
"""Pattern of the beginning of a line."""
_KNOWN_FIELD = re.compile(_START + _FIELDS + rb'[:\r\n]', re.MULTILINE)
_DATA = re.compile(_START + rb'data[:\r\n]', re.MULTILINE)
_LONG_ID = re.compile(_START + rb'id:[ ]?[0-9]+[ ]*\r?$', re.MULTILINE)
_NUMBER = re.compile(_START + rb'id:[ ]?([0-9]{1,18})\r?$', re.MULTILINE)
"""Ids with more digits are ignored: they may overflow the messages between
routers, and Python refuses to convert thousands of digits."""
_CONTENT = re.compile(rb'[\r\n][^:\r\n]')
"""Pattern of the first byte of a line that is no comment, past the first."""
_STATUS_LINE = re.compile(rb'HTTP/1\.[0-9] [0-9]{3}\b[^\n]*\r\n')
_HEADER = re.compile(rb'(?!' + _FIELDS + rb'[:\r\n])[A-Za-z]')
"""Pattern of the beginning of a line that is no known field."""
_BARE_LINE_END = re.compile(rb'[^\r]\n')


def has_content(data: Bytes) -> bool:
    """Return whether there is a line that is no comment."""
    is_comment = data[:1] in (b'', b':', b'\r', b'\n')
    return not is_comment or _CONTENT.search(data) is not None


def has_data(event: bytes) -> bool:
    """Return whether an event has data, so that readers receive it."""
    return _DATA.search(event) is not None


def has_long_id(event: bytes) -> bool:
    """Return whether an event has digits as its id, however many."""
    return _LONG_ID.search(event) is not None


def number_of(event: bytes) -> ty.Optional[int]:
    """Return the id of an event; None if it is no number or missing."""
    match = _NUMBER.search(event)
    return int(match[1]) if match is not None else None


def is_event(data: bytes) -> bool:
    """Return whether all lines are fields or comments, one of them known."""
    if not _EVENT.fullmatch(data) or not _KNOWN_FIELD.search(data):
        return False
    return b'HTTP/1.' not in data or not _holds_head(data)


def _holds_head(event: bytes) -> bool:
    """Return whether the head of a response follows a part of an event.

    A status line may be text of an event, but then a field that events have
    follows it, or a blank line that ends as the lines before it do.
    """
    bare = _BARE_LINE_END.search(event)
    bare_at = bare.start() if bare is not None else len(event)
    return any(
        _HEADER.match(event, match.end()) is not None
        or match.start() > bare_at
        and event.startswith(b'\r\n', match.end())
        for match in _STATUS_LINE.finditer(event)
    )
