"""Objects in the answers of the platform's store."""

from __future__ import annotations

import dataclasses
import itertools
import typing as ty

from peridotmast.coordination import objects as objects_
from peridotmast import failures
from peridotmast.platform import fields as fields_
from peridotmast.platform import framed_list
from peridotmast.platform import names
from peridotmast.platform import object_codec
from peridotmast import revisions
from peridotmast.wire import http_client

GARBLED = 'store_garbled'
"""Failure reason: the store has answered, and the answer can't be read."""

_CONFLICT = 409


def write_result(
    response: ty.Union[http_client.Response, failures.Failure], name: str
) -> ty.Union[objects_.StoredObject, failures.Failure]:
    """Return the object after a write, or the failure of the write."""
    if isinstance(response, failures.Failure):
        # A write without a response may have taken effect or may do so
        # later.
        return failures.unknown(response.reason, response.detail)
    if response.status == _CONFLICT:
        return failures.conflict('changed', name)
    if response.status == 404:
        return failures.missing('no_object', name)
    if response.status in (429, 503):
        return failures.not_run('store_busy', str(response.status))
    if response.status not in (200, 201, 204):
        return failures.unknown('store_error', str(response.status))
    if not response.body:
        return objects_.StoredObject(name, 0)
    return parse_object(response, name)


def parse_object(
    response: http_client.Response, name: str
) -> ty.Union[objects_.StoredObject, failures.Failure]:
    """Return the object `name` in an answer, with a revision of its era."""
    if response.status not in (200, 201):
        return failures.unavailable('store_refused', str(response.status))
    try:
        value = framed_list.read_value(response.body)
    except ValueError as exc:
        return failures.unavailable(GARBLED, str(exc)[:200])
    stored = object_codec.parse_object(value)
    if stored is None or stored.name != name:
        return failures.unavailable(GARBLED, f'response is not {name}')
    return _in_era(stored, era_of(response))


@dataclasses.dataclass(frozen=True)
class Page:
    """A response with a list of objects or events."""

    objects: list[ty.Optional[objects_.StoredObject]]
    """The objects; None for each one whose metadata can't be read."""
    revision: int
    has_more: bool
    suspects: frozenset[int] = frozenset()
    """Indices of objects that are not certain to be objects of the store."""
    unread: ty.Optional[framed_list.Unread] = None
    """The rest of the list, if its first item is not JSON."""
    unread_object: ty.Optional[objects_.StoredObject] = None
    """The object of that item, with an empty value; None if unknown."""

    @property
    def last(self) -> ty.Optional[objects_.StoredObject]:
        """The last object that could be read."""
        return next(filter(None, reversed(self.objects)), None)

    def is_of_era(self, revision: int) -> bool:
        """Return whether the page has the era of a revision."""
        return revisions.era_of(self.revision) == revisions.era_of(revision)

    def begins_with_item(self, item: framed_list.Unread) -> bool:
        """Return whether the first item is this one, which is not JSON."""
        return (
            not self.objects
            and self.unread is not None
            and self.unread.is_same_item(item)
        )

    def begins_with_list(self, rest: framed_list.Unread) -> bool:
        """Return whether all items are those of the rest of another page."""
        return (
            not self.objects
            and self.unread is not None
            and self.unread.is_same_list(rest)
        )


def parse_page(
    response: http_client.Response, key: str
) -> ty.Union[Page, failures.Failure]:
    """Return the page in an answer, with revisions of the answer's era.

    Parameters
    ----------
    key : str
        Field that has the objects or events.
    """
    if response.status not in (200, 201):
        return failures.unavailable('store_refused', str(response.status))
    try:
        page = framed_list.read_list(response.body, key)
        fields = fields_.Fields(page.fields, 'response')
        number = fields.integer(names.AT_REVISION)
        fields.raise_if_malformed()
    except ValueError as exc:
        return failures.unavailable(GARBLED, str(exc)[:200])
    is_watch = key == names.EVENTS
    era = era_of(response)
    parse = _parser(is_watch, era)
    found = [parse(item.value) for item in page.items]
    suspects = object_codec.find_suspects(page)
    if None in found and (suspects or page.unread is not None):
        # An item without metadata may be part of an object's value.
        page = page.cut(found.index(None))
        found = found[: len(page.items)]
        suspects = object_codec.find_suspects(page)
    revision = revisions.make(era, number)
    suspects |= _find_disordered(found, is_watch, revision)
    unread_object = None
    if page.unread is not None:
        unread_object = object_codec.parse_unread(page.unread, parse)
    return Page(
        found,
        revision,
        bool(page.fields.get(names.HAS_MORE)),
        frozenset(suspects),
        page.unread,
        unread_object,
    )


def era_of(response: http_client.Response) -> int:
    """Return the era that an answer names; 0 if it names none."""
    text = response.header(names.ERA)
    return int(text) if text.isdecimal() else 0


def _parser(is_watch: bool, era: int) -> object_codec.Parse:
    """Return the parser of objects or events with revisions of an era."""

    def parse(item: ty.Any) -> ty.Optional[objects_.StoredObject]:
        if is_watch:
            stored = object_codec.parse_event(item)
        else:
            stored = object_codec.parse_object(item)
        return stored and _in_era(stored, era)

    return parse


def _in_era(stored: objects_.StoredObject, era: int) -> objects_.StoredObject:
    revision = revisions.make(era, stored.revision)
    return dataclasses.replace(stored, revision=revision)


def _find_disordered(
    found: list[ty.Optional[objects_.StoredObject]],
    is_watch: bool,
    revision: int,
) -> set[int]:
    """Return the indices up to the last object that is out of order.

    The store lists objects by name and events by revision, and no object has
    a later revision than the answer.
    """
    known = [(n, stored) for n, stored in enumerate(found) if stored]
    late = (n for n, stored in known if stored.revision > revision)
    keys: list[tuple[int, ty.Any]] = [
        (n, stored.revision if is_watch else stored.name)
        for n, stored in known
    ]
    swapped = (
        n for (_, key), (n, next_) in itertools.pairwise(keys) if next_ <= key
    )
    last = max(itertools.chain(late, swapped), default=-1)
    return set(range(last + 1))
