"""Syntax of HTTP/1.1 that requests and responses share."""

from __future__ import annotations

import re

TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
"""Pattern of a method or a header name."""

TEXT = rb'[^\x00-\x08\x0a-\x1f\x7f]*'
"""Pattern of a header value, with the blanks around it, or of a reason."""

BLANKS = b' \t'
"""Bytes around a header value that are no part of it."""

HEADER = re.compile(rb'(' + TOKEN + rb'):(' + TEXT + rb')\r\n')
"""Pattern of a header line with its line end."""


class MalformedError(Exception):
    """Raised for a message that is not one in the protocol."""


class CutShortError(Exception):
    """Raised if a connection ends inside a message."""
