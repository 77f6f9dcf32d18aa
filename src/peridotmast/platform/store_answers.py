"""Objects in the answers of the platform's store."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast.platform import fields as fields_
from peridotmast.platform import names
from peridotmast.platform import object_codec
from peridotmast import revisions
from peridotmast.wire import http_client

_CONFLICT = 409


def write_result(
    response: ty.Union[http_client.Response, failures.Failure], name: str
) -> ty.Union[objects.StoredObject, failures.Failure]:
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
        return objects.StoredObject(name, 0)
    return parse_object(response)


def parse_object(
    response: http_client.Response,
) -> ty.Union[objects.StoredObject, failures.Failure]:
    """Return the object in an answer, with a revision of the answer's era."""
    if response.status not in (200, 201):
        return failures.unavailable('store_refused', str(response.status))
    try:
        stored = object_codec.parse_object(response.json())
    except ValueError as exc:
        return failures.unavailable('store_garbled', str(exc)[:200])
    if stored is None:
        return failures.unavailable('store_garbled', 'response has no object')
    return _in_era(stored, era_of(response))


@dataclasses.dataclass(frozen=True)
class Page:
    """A response with a list of objects or events."""

    objects: list[ty.Optional[objects.StoredObject]]
    """The objects; None for each one that failed to parse."""
    revision: int
    has_more: bool


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
        body = object_codec.parse_list(response.body, key)
        fields = fields_.Fields(body, 'response')
        revision = fields.integer(names.AT_REVISION)
        fields.raise_if_malformed()
    except ValueError as exc:
        return failures.unavailable('store_garbled', str(exc)[:200])
    era = era_of(response)
    parse = _parse_event if key == names.EVENTS else object_codec.parse_object
    found = map(parse, body[key])
    return Page(
        [stored and _in_era(stored, era) for stored in found],
        revisions.make(era, revision),
        bool(body.get(names.HAS_MORE)),
    )


def era_of(response: http_client.Response) -> int:
    """Return the era that an answer names; 0 if it names none."""
    text = response.header(names.ERA)
    return int(text) if text.isdecimal() else 0


def _in_era(stored: objects.StoredObject, era: int) -> objects.StoredObject:
    revision = revisions.make(era, stored.revision)
    return dataclasses.replace(stored, revision=revision)


def _parse_event(event: ty.Any) -> ty.Optional[objects.StoredObject]:
    if not isinstance(event, dict):
        return None
    deleted = bool(event.get(names.DELETED))
    return object_codec.parse_object(event.get(names.OBJECT), deleted)
