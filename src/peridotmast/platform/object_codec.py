"""Parser for responses of the platform's store.

A response may contain single malformed objects.
"""

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
_RESPONSE_FIELD = re.compile(
    rf'"({names.HAS_MORE}|{names.AT_REVISION})"\s*:\s*(true|false|[0-9]+)'
)


def parse_list(body: bytes, key: str) -> dict[str, ty.Any]:
    """Parse a response with a list of objects or events under `key`.

    If the response is not valid JSON, each valid list item is kept, so that
    one malformed object does not hide the other objects of the list. Of a
    malformed item, only the name, the revision and the deletion mark are
    kept; it is dropped if its name or revision can't be read.

    Raises
    ------
    ValueError
        If no list can be found under `key`.
    """
    text = body.decode('utf-8', 'replace')
    try:
        response = json.loads(text)
    except (ValueError, RecursionError):
        response = _recover_list(text, key)
    if not isinstance(response, dict) or not isinstance(
        response.get(key), list
    ):
        raise ValueError(f'response has no list of {key}')
    return response


def parse_object(
    item: ty.Any, removed: bool = False
) -> ty.Optional[objects.StoredObject]:
    """Parse one object; return None if its metadata is malformed.

    An existing object without a value gets an empty value, because the value
    None stands for an object that does not exist.
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
    status = item.get(names.STATUS)
    return objects.StoredObject(
        name,
        revision,
        None if removed else spec,
        status if isinstance(status, dict) else None,
    )


def _recover_list(text: str, key: str) -> dict[str, ty.Any]:
    """Return the readable items and fields of a response that is not JSON."""
    start = re.search(rf'"{re.escape(key)}"\s*:\s*\[', text)
    if start is None:
        raise ValueError('list not found in response')
    items, end = _split_list(text, start.end())
    other_text = text[: start.start()] + text[end:]
    response: dict[str, ty.Any] = {
        name: json.loads(value)
        for name, value in _RESPONSE_FIELD.findall(other_text)
    }
    response[key] = [found for item in items if (found := _recover_item(item))]
    return response


def _split_list(text: str, at: int) -> tuple[list[str], int]:
    """Return the items of a list that begins at `at`, and its end offset.

    Items are separated by counting the brackets outside of strings.

    Raises
    ------
    ValueError
        If the list has no closing bracket.
    """
    items, depth, begin = [], 0, at
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
            items.append(text[begin:at])
            begin = at + 1
        if depth < 0:
            return items, at + 1
        at += 1
    raise ValueError('list has no closing bracket')


def _recover_item(text: str) -> ty.Any:
    """Return one list item; a stub with its metadata if it is malformed.

    Returns None if the metadata can't be read either.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        pass
    name, revision = _NAME.search(text), _REVISION.search(text)
    if name is None or revision is None:
        return None
    meta = {'name': name[1], names.REVISION: int(revision[1])}
    # The caller may expect an object or an event, so the result has the
    # fields of both.
    stub = {names.META: meta}
    deleted = _DELETED.search(text) is not None
    return {**stub, names.OBJECT: stub, names.DELETED: deleted}
