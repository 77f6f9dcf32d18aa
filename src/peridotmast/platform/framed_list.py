"""Strict reader for the lists in the answers of the platform's store.

An item that is not JSON ends the list: nothing that follows it is read, as
its text may contain anything, also what looks like other items.
"""

from __future__ import annotations

import dataclasses
import json
import re
import typing as ty

Json = ty.Any

_BLANKS = re.compile(r'[ \t\n\r]*')
_INVALID_UTF8 = re.compile('[\udc80-\udcff]')
"""Bytes that are not UTF-8, as `surrogateescape` decodes them."""
_NAME = re.compile(r'"name"[ \t\n\r]*:[ \t\n\r]*("(?:[^"\\]|\\.){1,1024}")')
_COMPARED_CHARS = 256
"""Length of the texts of two items that are compared to identify an item."""


def _reject_constant(text: str) -> ty.NoReturn:
    raise ValueError(f'{text} is not JSON')


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


@dataclasses.dataclass(frozen=True)
class Item:
    """An item of a list, and where its text is."""

    value: Json
    start: int
    end: int


@dataclasses.dataclass(frozen=True)
class Unread:
    """The text of an answer from the first item that can't be read."""

    text: str
    """The whole answer."""
    start: int
    """Offset of the item."""

    def is_same_item(self, other: Unread) -> bool:
        """Return whether both texts begin with the same item."""
        return self._compared_item() == other._compared_item()

    def is_same_list(self, other: Unread) -> bool:
        """Return whether the lists have the same items from here on."""
        return self._rest_of_list() == other._rest_of_list()

    def leading_fields(
        self, partial: str, stops: ty.Collection[str]
    ) -> dict[str, Json]:
        """Return the fields of the item that precede what can't be read.

        Parameters
        ----------
        partial : str
            Field with an object, of which only the leading fields are read.
        stops : collection of str
            Fields before which to stop, as other programs write them.
        """
        return _leading_fields(self.text, self.start, partial, stops)

    def find_names(self) -> set[str]:
        """Return all names that are mentioned from here on, by any item."""
        found = _NAME.finditer(self.text, self.start)
        texts = {match.group(1) for match in found}
        return {name for text in texts if (name := _decode_name(text))}

    def _compared_item(self) -> str:
        return self.text[self.start : self.start + _COMPARED_CHARS]

    def _rest_of_list(self) -> str:
        return self.text[self.start : self.text.rindex(']')]


@dataclasses.dataclass(frozen=True)
class FramedList:
    """A list in an answer, up to its first item that can't be read."""

    text: str
    """The whole answer."""
    items: list[Item]
    fields: dict[str, Json]
    """The other fields of the answer."""
    unread: ty.Optional[Unread]
    """The rest of the answer; None if the whole list was read."""

    def cut(self, number: int) -> FramedList:
        """Return the list as if the item at an index could not be read."""
        unread = Unread(self.text, self.items[number].start)
        return dataclasses.replace(
            self, items=self.items[:number], unread=unread
        )

    def count(self, item: Item, text: str) -> int:
        """Return how often a text occurs in the text of an item."""
        return self.text.count(text, item.start, item.end)


def read_list(body: bytes, key: str) -> FramedList:
    """Read the list under `key` in an answer, in time linear in its size.

    Raises
    ------
    ValueError
        If there is no such list, or the fields of the answer can't be read.
    """
    text = body.decode('utf-8', 'surrogateescape')
    fields, at = _read_fields_before(text, key)
    items, at, is_closed = _read_items(text, at)
    if is_closed:
        after = _read_fields_after(text, at)
        if after is not None:
            return FramedList(text, items, {**fields, **after}, None)
        if not items:
            raise ValueError('answer does not end after its list')
        # The bracket that closes the list is part of its last item.
        at = items.pop().start
    # No item follows the last closing bracket.
    after = _read_fields_after(text, text.rfind(']'))
    if after is None:
        raise ValueError('fields after the list not found')
    return FramedList(text, items, {**fields, **after}, Unread(text, at))


def read_value(body: bytes) -> Json:
    """Return the value that an answer has.

    Raises
    ------
    ValueError
        If the answer is not JSON.
    """
    text = body.decode()
    found = _decode(text, _skip(text, 0))
    if found is None or _skip(text, found[1]) != len(text):
        raise ValueError('not JSON, or nested too deeply')
    return found[0]


def _read_items(text: str, at: int) -> tuple[list[Item], int, bool]:
    """Return the items from an offset on, and where they end.

    Returns
    -------
    tuple of list of Item, int and bool
        The items; the offset at which the list is closed, or else of the
        first item that can't be read; whether the list is closed.
    """
    items: list[Item] = []
    if text.startswith(']', at):
        return items, at, True
    while found := _decode(text, at):
        item = Item(found[0], at, found[1])
        next_ = _skip(text, item.end)
        if text.startswith(']', next_):
            return [*items, item], next_, True
        if not text.startswith(',', next_):
            break
        items.append(item)
        at = _skip(text, next_, ',')
    return items, at, False


def _read_fields_before(text: str, key: str) -> tuple[dict[str, Json], int]:
    """Return the fields before the list, and where its items begin.

    Raises
    ------
    ValueError
        If there is no list under `key`.
    """
    fields: dict[str, Json] = {}
    at = _skip(text, 0)
    opening = '{'
    while text.startswith(opening, at):
        name, at = _read_field_name(text, _skip(text, at, opening))
        if name == key and text.startswith('[', at):
            return fields, _skip(text, at, '[')
        found = _decode(text, at)
        if name is None or found is None:
            break
        fields[name], at = found[0], _skip(text, found[1])
        opening = ','
    raise ValueError(f'answer has no list of {key}')


def _read_fields_after(text: str, at: int) -> ty.Optional[dict[str, Json]]:
    """Return the fields after a list that is closed at an offset.

    Returns None if the answer does not end after them.
    """
    if at < 0:
        return None
    rest = '{"":[' + text[at:]
    found = _decode(rest, 0)
    if found is None or _skip(rest, found[1]) != len(rest):
        return None
    fields = found[0]
    del fields['']
    return fields


def _leading_fields(
    text: str, at: int, partial: str, stops: ty.Collection[str]
) -> dict[str, Json]:
    fields: dict[str, Json] = {}
    opening = '{'
    while text.startswith(opening, at):
        name, at = _read_field_name(text, _skip(text, at, opening))
        if name is None or name in stops:
            break
        if name == partial:
            fields[name] = _leading_fields(text, at, partial, stops)
            break
        found = _decode(text, at)
        if found is None:
            break
        fields[name], at = found[0], _skip(text, found[1])
        opening = ','
    return fields


def _read_field_name(text: str, at: int) -> tuple[ty.Optional[str], int]:
    """Return the name of the field at an offset, and where its value is.

    The name is None if there is no field.
    """
    found = _decode(text, at) if text.startswith('"', at) else None
    if found is None:
        return None, at
    at = _skip(text, found[1])
    if not text.startswith(':', at):
        return None, at
    return found[0], _skip(text, at, ':')


def _decode(text: str, at: int) -> ty.Optional[tuple[Json, int]]:
    """Return the JSON value at an offset and its end; None if unreadable."""
    try:
        value, end = _DECODER.raw_decode(text, at)
    except (ValueError, RecursionError):
        return None
    if not text.isascii() and _INVALID_UTF8.search(text, at, end):
        return None
    return value, end


def _decode_name(text: str) -> str:
    """Return the string that a JSON text stands for, or empty."""
    found = _decode(text, 0)
    return found[0] if found is not None else ''


def _skip(text: str, at: int, passed: str = '') -> int:
    """Return the offset after `passed` and the blanks that follow it."""
    match = _BLANKS.match(text, at + len(passed))
    return match.end() if match else at
