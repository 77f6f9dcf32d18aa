"""JSON documents in which some values are texts that need not be JSON."""

from __future__ import annotations

import dataclasses
import json
import re
import typing as ty

_PLACEHOLDER = re.compile(r'"\\u0000([0-9]+)"')


@dataclasses.dataclass(frozen=True)
class RawText:
    """A value that is shown as it is, as the platform's store does."""

    text: str


def encode(value: ty.Any) -> bytes:
    """Return `value` as JSON, but for the texts in it."""
    texts: list[str] = []

    def mark(raw: RawText) -> str:
        texts.append(raw.text)
        return f'\0{len(texts) - 1}'

    document = json.dumps(value, default=mark)
    return _PLACEHOLDER.sub(
        lambda match: texts[int(match.group(1))], document
    ).encode(errors='surrogateescape')
