"""Answers of the platform's store, in which single objects may be broken."""

from __future__ import annotations

import json
import re
import typing as ty

from peridotmast.coordination import objects
from peridotmast.platform import fields as fields_
from peridotmast.platform import names

_NAME = re.compile(r'"name"\s*:\s*"([^"\\]+)"')
_REVISION = re.compile(rf'"{names.REVISION}"\s*:\s*([0-9]+)')
_DELETED = re.compile(rf'"{names.DELETED}"\s*:\s*true')
_REST = re.compile(
    rf'"({names.HAS_MORE}|{names.AT_REVISION})"\s*:\s*(true|false|[0-9]+)'
)


def parse_list(body: bytes, key: str) -> dict[str, ty.Any]:
    """Return an answer that has a list of objects or events under `key`.

    Where the whole is no JSON, each part of the list that is some is kept,
    and of the others what names them, so that one broken object does not
    hide those beside it.

    Raises
    ------
    ValueError
        If not even the list can be made out.
    """
    text = body.decode('utf-8', 'replace')
    try:
        whole = json.loads(text)
    except (ValueError, RecursionError):
        whole = _salvaged(text, key)
    if not isinstance(whole, dict) or not isinstance(whole.get(key), list):
        raise ValueError(f'no list of {key}')
    return whole


def parse_object(
    item: ty.Any, removed: bool = False
) -> ty.Optional[objects.StoredObject]:
    """Return one object, or None where not even its name can be read.

    The value of an object that is there but has none is an empty object:
    no value stands for no object.
    """
    meta = fields_.Fields(item, 'object').child(names.META)
    if meta is None:
        return None
    name, revision = meta.string('name'), meta.integer(names.REVISION)
    if meta.findings:
        return None
    spec = item.get(names.SPEC)
    if spec is None:
        spec = {}
    return objects.StoredObject(name, revision, None if removed else spec)


def _salvaged(text: str, key: str) -> dict[str, ty.Any]:
    """Return what can be made out of an answer that is no JSON."""
    start = re.search(rf'"{re.escape(key)}"\s*:\s*\[', text)
    if start is None:
        raise ValueError('no list in it')
    parts, end = _parts(text, start.end())
    rest = text[: start.start()] + text[end:]
    whole: dict[str, ty.Any] = {
        name: json.loads(value) for name, value in _REST.findall(rest)
    }
    whole[key] = [found for part in parts if (found := _part(part))]
    return whole


def _parts(text: str, at: int) -> tuple[list[str], int]:
    """Return the parts of a list that begins at `at`, and where it ends.

    Brackets are counted outside of strings; raises ValueError where they
    don't match.
    """
    parts, depth, begin = [], 0, at
    in_string = False
    while at < len(text):
        char = text[at]
        if in_string:
            at += char == '\\'
            in_string = char != '"'
        elif char == '"':
            in_string = True
        elif char in '{[':
            depth += 1
        elif char in '}]':
            depth -= 1
        if depth < 0 or (char == ',' and not depth and not in_string):
            parts.append(text[begin:at])
            begin = at + 1
        if depth < 0:
            return parts, at + 1
        at += 1
    raise ValueError('its list has no end')


def _part(text: str) -> ty.Any:
    """Return one part of a list, or what names it where it is broken."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        pass
    name, revision = _NAME.search(text), _REVISION.search(text)
    if name is None or revision is None:
        return None
    meta = {'name': name[1], names.REVISION: int(revision[1])}
    # As an object and as an event, since either may be asked for.
    named = {names.META: meta}
    deleted = _DELETED.search(text) is not None
    return {**named, names.OBJECT: named, names.DELETED: deleted}
