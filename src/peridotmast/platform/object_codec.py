"""Parser for responses of the platform's store.

A response may contain single malformed objects.
"""

from __future__ import annotations

import itertools
import json
import re
import typing as ty

from peridotmast.coordination import objects
from peridotmast.platform import fields as fields_
from peridotmast.platform import framed_list
from peridotmast.platform import names

_WRITTEN_FIELDS = (names.SPEC, names.STATUS)
"""Fields of an object that other programs write."""
_FRAME_FIELDS = frozenset(
    (*_WRITTEN_FIELDS, names.META, names.OBJECT, names.DELETED)
)
_META_KEY = f'"{names.META}"'
_META = re.compile(rf'"{names.META}"\s*:\s*(?=\{{)')
_BEGINS_WITH_META = re.compile(
    rf'\s*\{{(\s*"{names.DELETED}"\s*:\s*\w+\s*,)?'
    rf'(\s*"{names.OBJECT}"\s*:\s*\{{)?\s*"{names.META}"'
)
_ITEM_START = re.compile(
    r'\{\s*"('
    + '|'.join((names.META, names.SPEC, names.STATUS))
    + f'|{names.OBJECT}|{names.DELETED}'
    + r')"\s*:'
)
"""Where an item of a list may begin; an object has few other fields."""
_ITEM_BOUNDARY = re.compile(rf'\}}\s*,\s*(?={_ITEM_START.pattern})')
"""Where an item follows another one."""
_DELETED = re.compile(rf'"{names.DELETED}"\s*:\s*true')
_DECODER = json.JSONDecoder()
_MAX_TRIES = 64
"""Maximum number of places at which the metadata of an item is looked for. A
try in an item that is nested too deeply takes a thousand levels."""
_FIELD_VALUE_BYTES = 8
"""Length of the text before a place that is searched for a colon."""
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


def parse_unread(
    unread: framed_list.Unread,
) -> ty.Optional[objects.StoredObject]:
    """Return the object of an item that can't be read, with an empty value.

    Returns None if its metadata can't be told from what other programs have
    written, because a value precedes them.
    """
    return parse_object(unread.leading_fields(names.OBJECT, _WRITTEN_FIELDS))


def find_suspects(page: framed_list.FramedList) -> set[int]:
    """Return the indices of the items that may be several, or none.

    The value of an object that is not JSON can close the brackets of another
    one, so that both are read as one that has the text of all objects between
    them. It can also close its own object, which then lacks the fields that
    follow the value.
    """
    nested = {
        number
        for number, item in enumerate(page.items)
        if page.count(item, _META_KEY) > 1
    }
    fields = [_frame_fields(item.value) for item in page.items]
    usual = frozenset(itertools.chain.from_iterable(fields))
    return nested | {
        number for number, found in enumerate(fields) if found != usual
    }


def _frame_fields(item: ty.Any) -> frozenset[str]:
    """Return the fields of the store in an object or an event."""
    if not isinstance(item, dict):
        return frozenset()
    inner = item.get(names.OBJECT)
    return _FRAME_FIELDS & {*item, *(inner if isinstance(inner, dict) else ())}


def _recover_list(text: str, key: str) -> dict[str, ty.Any]:
    """Return the readable items and fields of a response that is not JSON."""
    start = re.search(rf'"{re.escape(key)}"\s*:\s*\[', text)
    if start is None:
        raise ValueError('list not found in response')
    before = text[: start.start()]
    try:
        items, end = _split_list(text, start.end())
        # Brackets that an item does not close, or closes twice, move the end.
        json.loads(text[: start.end()] + text[end - 1 :])
        after = text[end:]
    except (ValueError, RecursionError):
        items, after = _split_by_objects(text, start.end())
    response: dict[str, ty.Any] = {
        name: json.loads(value)
        for part in (after, before)
        for name, value in _RESPONSE_FIELD.findall(part)
    }
    parts = itertools.chain.from_iterable(map(_split_joined, items))
    response[key] = [found for item in parts if (found := _recover_item(item))]
    return response


def _split_joined(text: str) -> list[str]:
    """Return the items in a text that was taken for one.

    Two items that are no JSON, each with an odd quote or bracket, enclose the
    items between them.
    """
    try:
        json.loads(text)
        return [text]
    except (ValueError, RecursionError):
        pass
    parts, unread = [], 0
    for boundary in _ITEM_BOUNDARY.finditer(text):
        if boundary.end() <= unread:
            # Inside an item that was read as a whole.
            continue
        parts.append(text[unread : boundary.start() + 1])
        unread = boundary.end()
        end = _end_of_item(text, unread)
        if end is not None:
            parts.append(text[unread:end])
            unread = end
    return [part.lstrip(', \n') for part in (*parts, text[unread:])]


def _split_by_objects(text: str, at: int) -> tuple[list[str], str]:
    """Return the items of a list with unbalanced brackets, and what follows.

    Each item that is JSON is found by itself. What lies between two of them
    is one that is not.
    """
    items, unread = [], at
    while start := _ITEM_START.search(text, at):
        end = None
        if not _is_field_value(text, start.start()):
            end = _end_of_item(text, start.start())
        if end is None:
            at = start.end()
            continue
        items += [text[unread : start.start()], text[start.start() : end]]
        at = unread = end
    return [*items, text[unread:]], text[unread:]


def _is_field_value(text: str, at: int) -> bool:
    """Return whether what begins at an offset is the value of a field.

    An item of a list is none; a thousand levels of nested objects are.
    """
    before = text[max(0, at - _FIELD_VALUE_BYTES) : at]
    return before.rstrip().endswith(':')


def _end_of_item(text: str, at: int) -> ty.Optional[int]:
    """Return where the JSON item at an offset ends; None if there is none."""
    try:
        item, end = _DECODER.raw_decode(text, at)
    except (ValueError, RecursionError):
        return None
    is_item = isinstance(item.get(names.META), dict) or isinstance(
        item.get(names.OBJECT), dict
    )
    return end if is_item else None


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
    meta = _find_meta(text)
    if meta is None:
        return None
    # The caller may expect an object or an event, so the result has the
    # fields of both.
    stub = {names.META: meta}
    deleted = _DELETED.search(text) is not None
    return {**stub, names.OBJECT: stub, names.DELETED: deleted}


def _find_meta(text: str) -> ty.Optional[dict[str, ty.Any]]:
    """Return the metadata of an item that is not JSON; None if unreadable.

    The value may contain what looks like metadata of another object. The own
    ones come before the value or after it.
    """
    places = [match.end() for match in _META.finditer(text)]
    if not _BEGINS_WITH_META.match(text):
        places.reverse()
    for place in places[:_MAX_TRIES]:
        try:
            meta, _ = _DECODER.raw_decode(text, place)
        except (ValueError, RecursionError):
            continue
        return {
            name: meta[name]
            for name in ('name', names.REVISION)
            if name in meta
        }
    return None
