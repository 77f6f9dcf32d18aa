"""Messages of the schema from JSON values that other programs may write."""

from __future__ import annotations

import typing as ty

from google.protobuf import json_format
from google.protobuf import message as message_

Message = ty.TypeVar('Message', bound=message_.Message)

_MAX_TEXT = 200
"""Maximum number of characters of an error's text."""


class SchemaError(ValueError):
    """Raised for a JSON value that does not fit into a message."""


def parse(value: ty.Any, message: Message) -> Message:
    """Fill `message` from a JSON value and return it.

    Unknown fields are ignored.

    Raises
    ------
    SchemaError
        If the value does not fit. The library itself raises errors of many
        types, depending on the value.
    """
    try:
        return json_format.ParseDict(
            value, message, ignore_unknown_fields=True
        )
    except Exception as exc:
        raise SchemaError(str(exc)[:_MAX_TEXT]) from exc
