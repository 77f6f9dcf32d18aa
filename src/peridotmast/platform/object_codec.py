"""Parser for the objects and events in answers of the platform's store.

Other programs write the values of objects, so a value may contain anything,
also the text of other objects. What belongs to the store itself is the frame:
the fields of an object and the order of a list.
"""

from __future__ import annotations

import itertools
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

Parse = ty.Callable[[ty.Any], ty.Optional[objects.StoredObject]]


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


def parse_event(event: ty.Any) -> ty.Optional[objects.StoredObject]:
    """Parse the object of an event; one without a value if it is removed."""
    if not isinstance(event, dict):
        return None
    deleted = bool(event.get(names.DELETED))
    return parse_object(event.get(names.OBJECT), deleted)


def parse_unread(
    unread: framed_list.Unread, parse: Parse
) -> ty.Optional[objects.StoredObject]:
    """Return the object of an item that can't be read, with an empty value.

    Returns None if its metadata can't be told from what other programs have
    written, because a value precedes them.
    """
    return parse(unread.leading_fields(names.OBJECT, _WRITTEN_FIELDS))


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
